//! Specification of the intent row of one non-idempotent request, which its caller sends to
//! any of three routers repeatedly.
//!
//! Late commits, lost answers of the table, the crash of a router, calls that arrive late, lost
//! answers of the endpoint and the resolution of the row by an operator are modelled as steps.
//! Each fault happens at most once. Pauses need no step, because any step may happen late.

mod state;
mod variant;

use self::state::{Call, IntentBase, IntentRow, IntentState, Phase};
pub use self::{state::State, variant::Variant};
use crate::Specification;

/// Number of routers.
const ROUTERS: usize = 3;

// Indices of `State::faults`.
const LOST_COMMIT_ANSWER: usize = 0;
const LATE_COMMIT: usize = 1;
const DEATH: usize = 2;
const LOST_CALL_ANSWER: usize = 3;
const RESOLUTION: usize = 4;

/// Specification of the intent row, to be explored.
#[derive(Debug, Clone, Copy)]
pub struct IntentSpec {
    /// Change to the protocol, if any.
    pub variant: Variant,
    /// Maximum number of attempts of the request, over all routers.
    pub attempts_max: u8,
}

impl Specification for IntentSpec {
    type State = State;

    fn initial(&self) -> State {
        State {
            row: None,
            last_revision: 0,
            phases: [Phase::Idle; ROUTERS],
            began_before_not_run: [false; ROUTERS],
            took_over: [false; ROUTERS],
            pending_records: [None; ROUTERS],
            calls: [None; ROUTERS],
            answered: [false; ROUTERS],
            runs: 0,
            max_seen_fencing: 0,
            attempts: 0,
            faults: [false; 5],
            has_false_not_run: false,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for router in 0..ROUTERS {
            self.router_steps(state, router, &mut next);
            self.endpoint_steps(state, router, &mut next);
            self.apply_late_commit(state, router, &mut next);
        }
        self.resolve(state, &mut next);
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.runs > 1 {
            Some("the request ran twice")
        } else if state.has_false_not_run {
            Some("a request that was refused as not run has run")
        } else {
            None
        }
    }
}

impl IntentSpec {
    fn router_steps(&self, state: &State, router: usize, next: &mut Vec<State>) {
        match state.phases[router] {
            Phase::Idle => self.begin_attempt(state, router, next),
            Phase::Admitted(base) => {
                self.record_call(state, router, base, next);
                self.refuse(state, router, base, next);
            }
            Phase::RecordUnknown(base) => self.read_back(state, router, base, next),
            Phase::Permitted(base) => {
                self.send(state, router, base, next);
                self.withdraw(state, router, base, next);
            }
            Phase::Sent(base) => self.receive_answer(state, router, base, next),
            Phase::Dead => return,
        }
        if !state.faults[DEATH] {
            let mut dead = *state;
            dead.faults[DEATH] = true;
            dead.phases[router] = Phase::Dead;
            next.push(dead);
        }
    }

    /// A retry of the caller arrives; the router reads the row.
    fn begin_attempt(&self, state: &State, router: usize, next: &mut Vec<State>) {
        if state.attempts == self.attempts_max || state.pending_records[router].is_some() {
            return;
        }
        let mut started = *state;
        started.attempts += 1;
        started.began_before_not_run[router] = false;
        started.answered[router] = false;
        started.took_over[router] =
            state.row.is_some_and(|row| row.state != IntentState::Withdrawn);
        let base = match state.row {
            None => IntentBase { revision: 0, fencing: 0 },
            Some(row) if row.state == IntentState::Withdrawn || self.takes_over(&row) => {
                IntentBase { revision: row.revision, fencing: row.fencing }
            }
            Some(_) => return,
        };
        started.phases[router] = Phase::Admitted(base);
        next.push(started);
    }

    fn takes_over(&self, row: &IntentRow) -> bool {
        let is_open = matches!(row.state, IntentState::Recorded | IntentState::OutcomeUnknown);
        is_open && self.may_take_over()
    }

    fn may_take_over(&self) -> bool {
        matches!(
            self.variant,
            Variant::TakeOverWithoutFencing
                | Variant::TakeOverWithFencing
                | Variant::TakeOverWithFencingAndIds
        )
    }

    /// The router commits the record of its call.
    fn record_call(&self, state: &State, router: usize, base: IntentBase, next: &mut Vec<State>) {
        let mut known = *state;
        let is_written = known.write(base, router, base.fencing + 1, IntentState::Recorded);
        known.phases[router] = match is_written {
            true => Phase::Permitted(known.base()),
            false => Phase::Idle,
        };
        next.push(known);
        if !state.faults[LOST_COMMIT_ANSWER] {
            let mut lost = *state;
            lost.faults[LOST_COMMIT_ANSWER] = true;
            lost.write(base, router, base.fencing + 1, IntentState::Recorded);
            lost.phases[router] = Phase::RecordUnknown(base);
            next.push(lost);
        }
        if !state.faults[LATE_COMMIT] {
            let mut late = *state;
            late.faults[LATE_COMMIT] = true;
            late.pending_records[router] = Some(base);
            late.phases[router] = Phase::RecordUnknown(base);
            next.push(late);
        }
    }

    /// A commit whose answer the router no longer waits for takes effect, if it still can.
    fn apply_late_commit(&self, state: &State, router: usize, next: &mut Vec<State>) {
        let Some(base) = state.pending_records[router] else { return };
        let mut applied = *state;
        applied.pending_records[router] = None;
        applied.write(base, router, base.fencing + 1, IntentState::Recorded);
        next.push(applied);
    }

    /// The router reads the row back after a commit of unknown outcome, or gives up.
    fn read_back(&self, state: &State, router: usize, base: IntentBase, next: &mut Vec<State>) {
        let mut read = *state;
        let own_row = state.row.filter(|row| usize::from(row.router) == router);
        let is_own = own_row.is_some_and(|row| {
            row.state == IntentState::Recorded && row.fencing == base.fencing + 1
        });
        read.phases[router] = if self.variant == Variant::NoReadBack {
            Phase::Permitted(IntentBase {
                revision: state.last_revision,
                fencing: base.fencing + 1,
            })
        } else if is_own {
            Phase::Permitted(state.base())
        } else if state.base() == base {
            Phase::Admitted(base)
        } else {
            Phase::Idle
        };
        next.push(read);
        let mut gives_up = *state;
        gives_up.phases[router] = Phase::Idle;
        next.push(gives_up);
    }

    /// The router refuses the request before it has recorded its call.
    fn refuse(&self, state: &State, router: usize, base: IntentBase, next: &mut Vec<State>) {
        let mut refused = *state;
        refused.phases[router] = Phase::Idle;
        let reports_not_run = match self.variant {
            _ if state.took_over[router] => false,
            Variant::RefusalWithoutRow => true,
            Variant::WithdrawalDeletesRow => state.base() == base,
            _ => refused.write(base, router, base.fencing, IntentState::Withdrawn),
        };
        if reports_not_run {
            refused.report_not_run();
        }
        next.push(refused);
    }

    /// The router withdraws the record of a call that it has not sent.
    fn withdraw(&self, state: &State, router: usize, base: IntentBase, next: &mut Vec<State>) {
        let mut withdrawn = *state;
        withdrawn.phases[router] = Phase::Idle;
        if state.took_over[router] {
            withdrawn.write(base, router, base.fencing, IntentState::OutcomeUnknown);
            next.push(withdrawn);
            return;
        }
        let is_written = withdrawn.write(base, router, base.fencing, IntentState::Withdrawn);
        if is_written && self.variant == Variant::WithdrawalDeletesRow {
            withdrawn.row = None;
        }
        if is_written {
            withdrawn.report_not_run();
        }
        next.push(withdrawn);
    }

    fn send(&self, state: &State, router: usize, base: IntentBase, next: &mut Vec<State>) {
        if state.calls[router].is_some() {
            return;
        }
        let mut sent = *state;
        let call = Call {
            fencing: base.fencing,
            began_before_not_run: state.began_before_not_run[router],
        };
        sent.calls[router] = Some(call);
        sent.phases[router] = Phase::Sent(base);
        next.push(sent);
    }

    /// The call of a router arrives at the endpoint, which runs or rejects it.
    fn endpoint_steps(&self, state: &State, router: usize, next: &mut Vec<State>) {
        let Some(call) = state.calls[router] else { return };
        let mut ran = *state;
        ran.calls[router] = None;
        let checks_fencing = matches!(
            self.variant,
            Variant::TakeOverWithFencing | Variant::TakeOverWithFencingAndIds
        );
        let checks_ids = self.variant == Variant::TakeOverWithFencingAndIds;
        let is_fenced = checks_fencing && call.fencing < state.max_seen_fencing;
        let is_duplicate = checks_ids && state.runs > 0;
        ran.max_seen_fencing = state.max_seen_fencing.max(call.fencing);
        if !is_fenced && !is_duplicate {
            ran.runs += 1;
            ran.has_false_not_run |= call.began_before_not_run;
            ran.answered[router] = true;
        }
        next.push(ran);
    }

    /// The router receives the answer, or gives up waiting for it.
    fn receive_answer(
        &self,
        state: &State,
        router: usize,
        base: IntentBase,
        next: &mut Vec<State>,
    ) {
        if state.answered[router] {
            let mut done = *state;
            done.phases[router] = Phase::Idle;
            done.write(base, router, base.fencing, IntentState::Done);
            next.push(done);
        }
        if !state.faults[LOST_CALL_ANSWER] {
            let mut lost = *state;
            lost.faults[LOST_CALL_ANSWER] = true;
            lost.phases[router] = Phase::Idle;
            lost.write(base, router, base.fencing, IntentState::OutcomeUnknown);
            next.push(lost);
        }
    }

    /// An operator resolves the row according to whether the request ran, once no call is in
    /// transit and the holder of the row, which wrote it, can no longer send one.
    fn resolve(&self, state: &State, next: &mut Vec<State>) {
        let Some(row) = state.row else { return };
        let holder = usize::from(row.router);
        let may_send = match row.state {
            IntentState::OutcomeUnknown => false,
            IntentState::Recorded => {
                let ignores_holder = self.variant == Variant::ResolutionWhileHolderRuns;
                state.phases[holder] != Phase::Dead && !ignores_holder
            }
            IntentState::Withdrawn | IntentState::Done => return,
        };
        // After a take-over, earlier holders may still be permitted to send.
        let may_be_permitted =
            |phase: &Phase| matches!(phase, Phase::RecordUnknown(_) | Phase::Permitted(_));
        let may_send =
            may_send || (self.may_take_over() && state.phases.iter().any(may_be_permitted));
        let is_in_transit = state.calls.iter().any(Option::is_some);
        if state.faults[RESOLUTION] || is_in_transit || may_send {
            return;
        }
        let mut resolved = *state;
        resolved.faults[RESOLUTION] = true;
        let resolved_state =
            if state.runs == 0 { IntentState::Withdrawn } else { IntentState::Done };
        resolved.write(state.base(), holder, row.fencing, resolved_state);
        next.push(resolved);
    }
}
