//! Specification of the intent row: one non-idempotent request that its caller sends to
//! any of three routers, over and over.
//!
//! Late commits, lost answers of the table, the death of a router, calls that arrive late,
//! lost answers of the endpoint, and an operator who resolves the row are steps. Each
//! fault happens at most once; pauses need no step of their own.

mod state;
mod variant;

use self::state::{Base, Call, Phase, Row, RowState};
pub use self::{state::State, variant::Variant};
use crate::Specification;

/// Routers.
const ROUTERS: usize = 3;

const LOST_ANSWER: usize = 0;
const LATE_COMMIT: usize = 1;
const DEATH: usize = 2;
const LOST_CALL_ANSWER: usize = 3;
const RESOLUTION: usize = 4;

/// The specification.
#[derive(Debug, Clone, Copy)]
pub struct IntentSpec {
    /// How the protocol is changed.
    pub variant: Variant,
    /// Most attempts of the request, over all routers.
    pub attempts_max: u8,
}

impl Specification for IntentSpec {
    type State = State;

    fn initial(&self) -> State {
        State {
            row: None,
            last_revision: 0,
            phases: [Phase::Idle; ROUTERS],
            is_refused: [false; ROUTERS],
            took_over: [false; ROUTERS],
            late: [None; ROUTERS],
            calls: [None; ROUTERS],
            answered: [false; ROUTERS],
            runs: 0,
            seen_fencing: 0,
            attempts: 0,
            faults: [false; 5],
            is_lie: false,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for router in 0..ROUTERS {
            self.router_steps(state, router, &mut next);
            self.endpoint_steps(state, router, &mut next);
            self.late_commit(state, router, &mut next);
        }
        self.resolve(state, &mut next);
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.runs > 1 {
            Some("the request ran twice")
        } else if state.is_lie {
            Some("a request that was refused as not run has run")
        } else {
            None
        }
    }
}

impl IntentSpec {
    fn router_steps(&self, state: &State, router: usize, next: &mut Vec<State>) {
        match state.phases[router] {
            Phase::Idle => self.begin(state, router, next),
            Phase::Admitted(base) => {
                self.record(state, router, base, next);
                self.refuse(state, router, base, next);
            }
            Phase::Unknown(base) => self.read_back(state, router, base, next),
            Phase::Permit(base) => {
                self.send(state, router, base, next);
                self.withdraw(state, router, base, next);
            }
            Phase::Sent(base) => self.take_answer(state, router, base, next),
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
    fn begin(&self, state: &State, router: usize, next: &mut Vec<State>) {
        if state.attempts == self.attempts_max || state.late[router].is_some() {
            return;
        }
        let mut began = *state;
        began.attempts += 1;
        began.is_refused[router] = false;
        began.answered[router] = false;
        began.took_over[router] = state.row.is_some_and(|row| row.state != RowState::Withdrawn);
        let base = match state.row {
            None => Base { revision: 0, fencing: 0 },
            Some(row) if row.state == RowState::Withdrawn || self.takes_over(&row) => {
                Base { revision: row.revision, fencing: row.fencing }
            }
            Some(_) => return,
        };
        began.phases[router] = Phase::Admitted(base);
        next.push(began);
    }

    fn takes_over(&self, row: &Row) -> bool {
        let is_open = matches!(row.state, RowState::Recorded | RowState::OutcomeUnknown);
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

    /// The router commits its record.
    fn record(&self, state: &State, router: usize, base: Base, next: &mut Vec<State>) {
        let mut answered = *state;
        let is_written = answered.write(base, router, base.fencing + 1, RowState::Recorded);
        answered.phases[router] = match is_written {
            true => Phase::Permit(answered.base()),
            false => Phase::Idle,
        };
        next.push(answered);
        if !state.faults[LOST_ANSWER] {
            let mut lost = *state;
            lost.faults[LOST_ANSWER] = true;
            lost.write(base, router, base.fencing + 1, RowState::Recorded);
            lost.phases[router] = Phase::Unknown(base);
            next.push(lost);
        }
        if !state.faults[LATE_COMMIT] {
            let mut late = *state;
            late.faults[LATE_COMMIT] = true;
            late.late[router] = Some(base);
            late.phases[router] = Phase::Unknown(base);
            next.push(late);
        }
    }

    /// A commit whose answer was given up takes effect, if it still can.
    fn late_commit(&self, state: &State, router: usize, next: &mut Vec<State>) {
        let Some(base) = state.late[router] else { return };
        let mut applied = *state;
        applied.late[router] = None;
        applied.write(base, router, base.fencing + 1, RowState::Recorded);
        next.push(applied);
    }

    /// The router reads back its record of unknown outcome, or gives up.
    fn read_back(&self, state: &State, router: usize, base: Base, next: &mut Vec<State>) {
        let mut read = *state;
        let found = state.row.filter(|row| usize::from(row.router) == router);
        let is_own = found
            .is_some_and(|row| row.state == RowState::Recorded && row.fencing == base.fencing + 1);
        read.phases[router] = if self.variant == Variant::NoReadBack {
            Phase::Permit(Base { revision: state.last_revision, fencing: base.fencing + 1 })
        } else if is_own {
            Phase::Permit(state.base())
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

    /// The router refuses the request before it has recorded it.
    fn refuse(&self, state: &State, router: usize, base: Base, next: &mut Vec<State>) {
        let mut refused = *state;
        refused.phases[router] = Phase::Idle;
        let says_not_run = match self.variant {
            _ if state.took_over[router] => false,
            Variant::RefusalWithoutRow => true,
            Variant::WithdrawalDeletesRow => state.base() == base,
            _ => refused.write(base, router, base.fencing, RowState::Withdrawn),
        };
        if says_not_run {
            refused.say_not_run();
        }
        next.push(refused);
    }

    /// The router withdraws a record whose call it did not send.
    fn withdraw(&self, state: &State, router: usize, base: Base, next: &mut Vec<State>) {
        let mut withdrawn = *state;
        withdrawn.phases[router] = Phase::Idle;
        if state.took_over[router] {
            withdrawn.write(base, router, base.fencing, RowState::OutcomeUnknown);
            next.push(withdrawn);
            return;
        }
        let is_written = withdrawn.write(base, router, base.fencing, RowState::Withdrawn);
        if is_written && self.variant == Variant::WithdrawalDeletesRow {
            withdrawn.row = None;
        }
        if is_written {
            withdrawn.say_not_run();
        }
        next.push(withdrawn);
    }

    fn send(&self, state: &State, router: usize, base: Base, next: &mut Vec<State>) {
        if state.calls[router].is_some() {
            return;
        }
        let mut sent = *state;
        let call = Call { fencing: base.fencing, is_refused: state.is_refused[router] };
        sent.calls[router] = Some(call);
        sent.phases[router] = Phase::Sent(base);
        next.push(sent);
    }

    /// The call of a router arrives at the endpoint.
    fn endpoint_steps(&self, state: &State, router: usize, next: &mut Vec<State>) {
        let Some(call) = state.calls[router] else { return };
        let mut ran = *state;
        ran.calls[router] = None;
        let checks_fencing = matches!(
            self.variant,
            Variant::TakeOverWithFencing | Variant::TakeOverWithFencingAndIds
        );
        let checks_ids = self.variant == Variant::TakeOverWithFencingAndIds;
        let is_old = checks_fencing && call.fencing < state.seen_fencing;
        let is_known = checks_ids && state.runs > 0;
        ran.seen_fencing = state.seen_fencing.max(call.fencing);
        if !is_old && !is_known {
            ran.runs += 1;
            ran.is_lie |= call.is_refused;
            ran.answered[router] = true;
        }
        next.push(ran);
    }

    /// The router gets the answer, or gives it up.
    fn take_answer(&self, state: &State, router: usize, base: Base, next: &mut Vec<State>) {
        if state.answered[router] {
            let mut done = *state;
            done.phases[router] = Phase::Idle;
            done.write(base, router, base.fencing, RowState::Done);
            next.push(done);
        }
        if !state.faults[LOST_CALL_ANSWER] {
            let mut lost = *state;
            lost.faults[LOST_CALL_ANSWER] = true;
            lost.phases[router] = Phase::Idle;
            lost.write(base, router, base.fencing, RowState::OutcomeUnknown);
            next.push(lost);
        }
    }

    /// An operator resolves the row, truthfully: "did not run" only once no call is on
    /// its way and its holder cannot send it any more.
    fn resolve(&self, state: &State, next: &mut Vec<State>) {
        let Some(row) = state.row else { return };
        let holder = usize::from(row.router);
        let may_send = match row.state {
            RowState::OutcomeUnknown => false,
            RowState::Recorded => {
                let trusts = self.variant == Variant::ResolutionWhileHolderRuns;
                state.phases[holder] != Phase::Dead && !trusts
            }
            RowState::Withdrawn | RowState::Done => return,
        };
        // After a take-over, earlier holders may still have a permit.
        let has_permit = |phase: &Phase| matches!(phase, Phase::Unknown(_) | Phase::Permit(_));
        let may_send = may_send || (self.may_take_over() && state.phases.iter().any(has_permit));
        let is_on_its_way = state.calls.iter().any(Option::is_some);
        if state.faults[RESOLUTION] || is_on_its_way || may_send {
            return;
        }
        let mut resolved = *state;
        resolved.faults[RESOLUTION] = true;
        let found = if state.runs == 0 { RowState::Withdrawn } else { RowState::Done };
        resolved.write(state.base(), holder, row.fencing, found);
        next.push(resolved);
    }
}
