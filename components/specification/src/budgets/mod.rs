//! Specification of budgets: the grants of one account to three routers, which are spent,
//! lent, settled, returned, closed by a witness, and reopened by a router that was only paused.
//!
//! The specification follows the rules in `docs/design/budgets.md`; comments give the numbers
//! of the rules. Every request and every loan is of one token, only one router lends, and a
//! request costs its token as soon as it is reserved. The bills of a dead router are held by
//! its peers, which may commit them at any time (rule 5). Two rules are not modelled: the
//! release of tokens in doubt by an operator (rule 11), because it is the operator's own
//! decision, and restarts under the same name (rule 13), because the restarted process begins
//! without any rights.
//!
//! Each step of a router uses the state that the router last read. A pause or a network
//! partition is therefore a step that happens late, and an unavailable store is a commit that
//! happens late. Each of the other faults happens at most once.

mod state;
mod variant;

use self::state::{Faults, Router};
pub use self::{
    state::State,
    variant::{Limits, Variant},
};
use crate::Specification;

/// Number of routers.
const ROUTERS: usize = 3;

/// Index of the only router that lends.
const LENDER: usize = 0;

/// Specification of budgets, to be explored.
#[derive(Debug, Clone, Copy)]
pub struct BudgetSpec {
    /// Change to the protocol, if any.
    pub variant: Variant,
    /// Bounds of the exploration.
    pub limits: Limits,
}

impl Specification for BudgetSpec {
    type State = State;

    fn initial(&self) -> State {
        State {
            deposited: self.limits.deposit,
            settled: 0,
            granted: 0,
            rows: Default::default(),
            bills: [0; ROUTERS],
            routers: Default::default(),
            witness_records: Default::default(),
            ceiling_acks: [None; ROUTERS],
            loans: Default::default(),
            faults: Faults::default(),
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for r in 0..ROUTERS {
            if r < self.limits.serving_routers && !state.routers[r].is_dead {
                self.admit(state, r, &mut next);
                self.table_steps(state, r, &mut next);
                self.raise_ceiling(state, r, &mut next);
                self.lend(state, r, &mut next);
            }
            self.move_loans(state, r, &mut next);
            self.crash(state, r, &mut next);
            self.close(state, r, &mut next);
        }
        self.top_up(state, &mut next);
        next.iter_mut().for_each(State::clear_stale_epochs);
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let unspent: u8 = state.rows.iter().map(|row| row.unspent).sum();
        let spent: u8 = state.routers.iter().map(|it| it.admitted).sum();
        if state.granted != unspent {
            return Some("the granted tokens differ from the sum of the grant rows");
        }
        if state.settled + state.granted > state.deposited {
            return Some("the settled and granted tokens exceed the deposits");
        }
        if spent > state.deposited {
            return Some("the admitted requests exceed the deposits");
        }
        let unbilled: u8 = (0..ROUTERS).map(|r| state.routers[r].admitted - state.bills[r]).sum();
        if unbilled > state.granted {
            return Some("the unsettled bills exceed the granted tokens");
        }
        None
    }
}

impl BudgetSpec {
    /// Rule 2: a router admits a request.
    fn admit(&self, state: &State, r: usize, next: &mut Vec<State>) {
        let router = &state.routers[r];
        if router.admitted < self.limits.requests_per_router && self.may_claim(router) {
            let mut admitted = *state;
            admitted.routers[r].admitted += 1;
            next.push(admitted);
        }
    }

    /// Returns whether `router` may claim one more token (rule 2).
    fn may_claim(&self, router: &Router) -> bool {
        let claims = router.claims() + 1;
        let has_tokens = claims + router.returning <= router.row.unspent + router.unmoved_loans();
        let is_below_ceiling = router.row.spent + claims <= router.acked_ceiling;
        has_tokens && (is_below_ceiling || self.variant == Variant::SpendWithoutCeiling)
    }

    /// Reads the row, prepares commits and commits them (rules 1, 4, 8, 9, 12 and 14).
    fn table_steps(&self, state: &State, r: usize, next: &mut Vec<State>) {
        if !state.routers[r].is_current {
            let mut read = *state;
            read.refresh(r);
            next.push(read);
        }
        if !state.routers[r].is_current {
            return;
        }
        for commit in [Self::grant, Self::settle, Self::give_back, Self::change_witness] {
            let mut applied = *state;
            if !commit(self, &mut applied, r) {
                continue;
            }
            applied.routers[r].is_current = false;
            if !state.faults.lost_answer {
                let mut lost = applied;
                lost.faults.lost_answer = true;
                if self.variant == Variant::NoReadBack {
                    lost.routers[r].returning = 0;
                }
                next.push(lost);
            }
            applied.refresh(r);
            next.push(applied);
        }
        // Rules 8 and 9 apply as soon as the commit is prepared.
        if state.routers[r].returning == 0 && state.routers[r].returnable() > 0 {
            let mut prepared = *state;
            prepared.routers[r].returning = 1;
            next.push(prepared);
        }
        let may_change = state.rows[r].is_closed || !state.faults.witness_change;
        if state.rows[r].epoch > 0 && !state.routers[r].is_changing_witness && may_change {
            let mut prepared = *state;
            prepared.faults.witness_change |= !state.rows[r].is_closed;
            prepared.routers[r].is_changing_witness = true;
            next.push(prepared);
        }
    }

    /// Rule 1: grants a token of the account to router `r`.
    fn grant(&self, state: &mut State, r: usize) -> bool {
        if state.settled + state.granted >= state.deposited || state.rows[r].is_closed {
            return false;
        }
        state.granted += 1;
        let row = &mut state.rows[r];
        row.unspent += 1;
        if row.epoch == 0 {
            row.epoch = 1;
            row.witness = first_witness(r);
        }
        true
    }

    /// Rule 4: commits the bills that are not yet in the table, as far as the row covers them.
    fn settle(&self, state: &mut State, r: usize) -> bool {
        state.commit_bills(r)
    }

    /// Rule 8: returns the token that was set aside for this.
    fn give_back(&self, state: &mut State, r: usize) -> bool {
        let tokens = state.routers[r].returning;
        if tokens == 0 {
            return false;
        }
        state.rows[r].unspent -= tokens;
        state.granted -= tokens;
        true
    }

    /// Rules 9 and 12: replaces the witness by the remaining router, which starts a new epoch.
    fn change_witness(&self, state: &mut State, r: usize) -> bool {
        if !state.routers[r].is_changing_witness {
            return false;
        }
        let row = &mut state.rows[r];
        row.witness = u8::try_from(3 - r - usize::from(row.witness)).unwrap_or(0);
        row.epoch += 1;
        row.ceiling = state.routers[r].acked_ceiling;
        row.is_closed = false;
        true
    }

    /// Rule 3: a router asks its witness for a higher ceiling, and accepts the acknowledgement.
    fn raise_ceiling(&self, state: &State, r: usize, next: &mut Vec<State>) {
        let router = &state.routers[r];
        let row = &router.row;
        let w = usize::from(row.witness);
        let wanted_ceiling = row.spent + router.claims() + 1;
        if row.epoch > 0 && !state.routers[w].is_dead && wanted_ceiling > router.acked_ceiling {
            let mut asked = *state;
            if asked.witness_records[w][r].raise(row.epoch, wanted_ceiling) {
                asked.ceiling_acks[r] = Some((row.epoch, wanted_ceiling));
                next.push(asked);
            }
        }
        let accepts_ack =
            !router.is_changing_witness || self.variant == Variant::CeilingRaisedDuringChange;
        if let Some((epoch, ceiling)) =
            state.ceiling_acks[r].filter(|(epoch, _)| *epoch == row.epoch)
            && accepts_ack
            && ceiling > router.acked_ceiling
            && epoch > 0
        {
            let mut acked = *state;
            acked.routers[r].acked_ceiling = ceiling;
            next.push(acked);
        }
    }

    /// Rule 6: the lender lends a token, and a borrower credits a loan that it received.
    fn lend(&self, state: &State, r: usize, next: &mut Vec<State>) {
        let router = &state.routers[r];
        let skips_debit = self.variant == Variant::LoanBeforeDebit;
        for b in (0..self.limits.serving_routers).filter(|&b| b != r) {
            if r == LENDER
                && router.lent[b] == 0
                && (self.may_claim(router) || (skips_debit && router.row.unspent > 0))
            {
                let mut lent = *state;
                lent.routers[r].lent[b] += u8::from(!skips_debit);
                lent.loans[r][b] += 1;
                next.push(lent);
            }
            let total = state.loans[b][r];
            let is_new = total > router.borrowed[b];
            if is_new {
                let mut credited = *state;
                credited.routers[r].borrowed[b] = total;
                next.push(credited);
            }
            let can_duplicate = !is_new && total > 0 && !state.faults.duplicate_message;
            if can_duplicate && self.variant == Variant::LoanWithoutId {
                let mut duplicated = *state;
                duplicated.faults.duplicate_message = true;
                duplicated.routers[r].borrowed[b] += 1;
                next.push(duplicated);
            }
        }
    }

    /// Rule 7: a loan from `lender` is moved to the borrower's row in the table. Either side
    /// may commit the move.
    fn move_loans(&self, state: &State, lender: usize, next: &mut Vec<State>) {
        for b in (0..ROUTERS).filter(|&b| b != lender) {
            let knows = |it: &Router, total: u8| !it.is_dead && total > state.rows[lender].moved[b];
            let by_lender = knows(&state.routers[lender], state.routers[lender].lent[b]);
            let by_borrower = knows(&state.routers[b], state.routers[b].borrowed[lender]);
            if !(by_lender || by_borrower)
                || state.rows[lender].unspent == 0
                || state.rows[b].epoch == 0
            {
                continue;
            }
            let mut moved = *state;
            moved.rows[lender].unspent -= 1;
            moved.rows[lender].spent += 1;
            moved.rows[lender].moved[b] += 1;
            moved.rows[b].unspent += 1;
            moved.routers[lender].is_current = false;
            moved.routers[b].is_current = false;
            next.push(moved);
        }
    }

    /// A router crashes; the peers that hold its bills commit them (rule 5).
    fn crash(&self, state: &State, r: usize, next: &mut Vec<State>) {
        if !state.faults.death {
            let mut dead = *state;
            dead.faults.death = true;
            dead.routers[r] =
                Router { is_dead: true, admitted: state.routers[r].admitted, ..Router::default() };
            dead.ceiling_acks[r] = None;
            dead.witness_records[r] = Default::default();
            next.push(dead);
        }
        if state.routers[r].is_dead {
            let mut settled = *state;
            if settled.commit_bills(r) {
                next.push(settled);
            }
        }
    }

    /// Rule 10: the witness of `r` closes the epoch, and then the grant row.
    fn close(&self, state: &State, r: usize, next: &mut Vec<State>) {
        let row = state.rows[r];
        let w = usize::from(row.witness);
        if row.epoch == 0 || row.is_closed || state.routers[w].is_dead {
            return;
        }
        let is_dead = state.routers[r].is_dead;
        let record = state.witness_records[w][r];
        let epoch_is_closed = record.epoch == row.epoch && record.is_closed;
        if !epoch_is_closed && self.variant != Variant::NoWitnessClose {
            if is_dead || !state.faults.suspicion {
                let mut closing = *state;
                closing.faults.suspicion |= !is_dead;
                closing.witness_records[w][r].close(row.epoch);
                next.push(closing);
            }
            return;
        }
        if !epoch_is_closed && !is_dead && state.faults.suspicion {
            return;
        }
        let recorded_ceiling = if record.epoch == row.epoch { record.ceiling } else { 0 };
        let ceiling = match self.variant {
            Variant::NewWitnessWithoutCeiling => recorded_ceiling,
            _ => recorded_ceiling.max(row.ceiling),
        };
        let mut closed = *state;
        closed.faults.suspicion |= !is_dead;
        let remaining = row.unspent.min(ceiling.saturating_sub(row.spent));
        closed.routers[r].is_current = false;
        closed.rows[r].is_closed = true;
        closed.rows[r].unspent = remaining;
        closed.granted -= row.unspent - remaining;
        next.push(closed);
    }

    /// A later deposit is made.
    fn top_up(&self, state: &State, next: &mut Vec<State>) {
        if !state.faults.top_up && self.limits.top_up > 0 {
            let mut topped_up = *state;
            topped_up.faults.top_up = true;
            topped_up.deposited += self.limits.top_up;
            next.push(topped_up);
        }
    }
}

fn first_witness(r: usize) -> u8 {
    u8::try_from((r + 1) % ROUTERS).unwrap_or(0)
}
