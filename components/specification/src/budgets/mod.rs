//! Specification of budgets: the grants of one account to three routers, spent, lent,
//! settled, returned, closed by a witness, and reopened by a router that was only paused.
//!
//! It follows the rules of `docs/design/budgets.md`; their numbers are in the comments.
//! Every request and loan is of one token, one router lends, and a request costs its token
//! from its reservation on. The bills of a dead router are held by its peers, who commit
//! them at any time (rule 5). An operator's release of tokens in doubt (rule 11) and
//! restarts under the same name (rule 13) are left out: the former is the operator's own
//! judgement, the latter makes a router without rights.
//!
//! Steps of a router use what it last read, so that a pause or a partition is a step that
//! comes late, and a store that is away is a commit that comes late. The other faults happen at most once each.

mod state;
mod variant;

use self::state::{Faults, Router};
pub use self::{
    state::State,
    variant::{Limits, Variant},
};
use crate::Specification;

/// Routers.
const ROUTERS: usize = 3;

/// The one router that lends.
const LENDER: usize = 0;

/// The specification.
#[derive(Debug, Clone, Copy)]
pub struct BudgetSpec {
    /// How the protocol is changed.
    pub variant: Variant,
    /// Sizes.
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
            watches: Default::default(),
            acks: [None; ROUTERS],
            loans: Default::default(),
            faults: Faults::default(),
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for r in 0..ROUTERS {
            if r < self.limits.serving && !state.routers[r].is_dead {
                self.admit(state, r, &mut next);
                self.use_table(state, r, &mut next);
                self.talk_to_witness(state, r, &mut next);
                self.lend(state, r, &mut next);
            }
            self.move_loans(state, r, &mut next);
            self.die(state, r, &mut next);
            self.close(state, r, &mut next);
        }
        self.top_up(state, &mut next);
        next.iter_mut().for_each(State::forget_old_epochs);
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let unspent: u8 = state.rows.iter().map(|row| row.unspent).sum();
        let spent: u8 = state.routers.iter().map(|it| it.admitted).sum();
        if state.granted != unspent {
            return Some("the grants do not add up");
        }
        if state.settled + state.granted > state.deposited {
            return Some("more is granted than was deposited");
        }
        if spent > state.deposited {
            return Some("more is spent than was deposited");
        }
        let unbilled: u8 = (0..ROUTERS).map(|r| state.routers[r].admitted - state.bills[r]).sum();
        if unbilled > state.granted {
            return Some("a bill is not covered by any grant");
        }
        None
    }
}

impl BudgetSpec {
    /// Rule 2: admits a request.
    fn admit(&self, state: &State, r: usize, next: &mut Vec<State>) {
        let router = &state.routers[r];
        if router.admitted < self.limits.requests && self.may_claim(router) {
            let mut admitted = *state;
            admitted.routers[r].admitted += 1;
            next.push(admitted);
        }
    }

    /// Tells whether `router` may claim one more token (rule 2).
    fn may_claim(&self, router: &Router) -> bool {
        let claims = router.claims() + 1;
        let has_tokens = claims + router.returning <= router.row.unspent + router.borrowed();
        let is_below = router.row.spent + claims <= router.acked;
        has_tokens && (is_below || self.variant == Variant::SpendWithoutCeiling)
    }

    /// Rules 1, 4, 8, 9, 12 and 14.
    fn use_table(&self, state: &State, r: usize, next: &mut Vec<State>) {
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
        // Rules 8 and 9 hold from the preparation of the commit on.
        if state.routers[r].returning == 0 && state.routers[r].spare() > 0 {
            let mut prepared = *state;
            prepared.routers[r].returning = 1;
            next.push(prepared);
        }
        let may_change = state.rows[r].is_closed || !state.faults.change;
        if state.rows[r].epoch > 0 && !state.routers[r].is_changing && may_change {
            let mut prepared = *state;
            prepared.faults.change |= !state.rows[r].is_closed;
            prepared.routers[r].is_changing = true;
            next.push(prepared);
        }
    }

    /// Rule 1: takes a token from the account.
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

    /// Rule 4: commits the bills that are not in the table, as far as the row covers them.
    fn settle(&self, state: &mut State, r: usize) -> bool {
        state.commit_bills(r)
    }

    /// Rule 8: gives back the token that was set apart for it.
    fn give_back(&self, state: &mut State, r: usize) -> bool {
        let tokens = state.routers[r].returning;
        if tokens == 0 {
            return false;
        }
        state.rows[r].unspent -= tokens;
        state.granted -= tokens;
        true
    }

    /// Rules 9 and 12: names a new witness.
    fn change_witness(&self, state: &mut State, r: usize) -> bool {
        if !state.routers[r].is_changing {
            return false;
        }
        let row = &mut state.rows[r];
        row.witness = u8::try_from(3 - r - usize::from(row.witness)).unwrap_or(0);
        row.epoch += 1;
        row.ceiling = state.routers[r].acked;
        row.is_closed = false;
        true
    }

    /// Rule 3: asks for a higher ceiling, and takes the acknowledgement.
    fn talk_to_witness(&self, state: &State, r: usize, next: &mut Vec<State>) {
        let router = &state.routers[r];
        let row = &router.row;
        let w = usize::from(row.witness);
        let wanted = row.spent + router.claims() + 1;
        if row.epoch > 0 && !state.routers[w].is_dead && wanted > router.acked {
            let mut asked = *state;
            if asked.watches[w][r].raise(row.epoch, wanted) {
                asked.acks[r] = Some((row.epoch, wanted));
                next.push(asked);
            }
        }
        let takes = !router.is_changing || self.variant == Variant::CeilingRaisedDuringChange;
        if let Some((epoch, ceiling)) = state.acks[r].filter(|(epoch, _)| *epoch == row.epoch)
            && takes
            && ceiling > router.acked
            && epoch > 0
        {
            let mut acked = *state;
            acked.routers[r].acked = ceiling;
            next.push(acked);
        }
    }

    /// Rule 6: lends a token, and takes one that was lent.
    fn lend(&self, state: &State, r: usize, next: &mut Vec<State>) {
        let router = &state.routers[r];
        let is_free = self.variant == Variant::LoanBeforeDebit;
        for b in (0..self.limits.serving).filter(|&b| b != r) {
            if r == LENDER
                && router.lent[b] == 0
                && (self.may_claim(router) || (is_free && router.row.unspent > 0))
            {
                let mut lent = *state;
                lent.routers[r].lent[b] += u8::from(!is_free);
                lent.loans[r][b] += 1;
                next.push(lent);
            }
            let total = state.loans[b][r];
            let is_new = total > router.credit[b];
            if is_new {
                let mut credited = *state;
                credited.routers[r].credit[b] = total;
                next.push(credited);
            }
            let is_doubled = !is_new && total > 0 && !state.faults.doubled;
            if is_doubled && self.variant == Variant::LoanWithoutId {
                let mut doubled = *state;
                doubled.faults.doubled = true;
                doubled.routers[r].credit[b] += 1;
                next.push(doubled);
            }
        }
    }

    /// Rule 7: moves a loan from lender `d` in the table. Either side may do it.
    fn move_loans(&self, state: &State, d: usize, next: &mut Vec<State>) {
        for b in (0..ROUTERS).filter(|&b| b != d) {
            let knows = |it: &Router, total: u8| !it.is_dead && total > state.rows[d].moved[b];
            let by_donor = knows(&state.routers[d], state.routers[d].lent[b]);
            let by_borrower = knows(&state.routers[b], state.routers[b].credit[d]);
            if !(by_donor || by_borrower) || state.rows[d].unspent == 0 || state.rows[b].epoch == 0
            {
                continue;
            }
            let mut moved = *state;
            moved.rows[d].unspent -= 1;
            moved.rows[d].spent += 1;
            moved.rows[d].moved[b] += 1;
            moved.rows[b].unspent += 1;
            moved.routers[d].is_current = false;
            moved.routers[b].is_current = false;
            next.push(moved);
        }
    }

    /// A router dies; peers that hold its bills commit them (rule 5).
    fn die(&self, state: &State, r: usize, next: &mut Vec<State>) {
        if !state.faults.death {
            let mut dead = *state;
            dead.faults.death = true;
            dead.routers[r] =
                Router { is_dead: true, admitted: state.routers[r].admitted, ..Router::default() };
            dead.acks[r] = None;
            dead.watches[r] = Default::default();
            next.push(dead);
        }
        if state.routers[r].is_dead {
            let mut settled = *state;
            if settled.commit_bills(r) {
                next.push(settled);
            }
        }
    }

    /// Rule 10: the witness of `r` closes the epoch, and then the row.
    fn close(&self, state: &State, r: usize, next: &mut Vec<State>) {
        let row = state.rows[r];
        let w = usize::from(row.witness);
        if row.epoch == 0 || row.is_closed || state.routers[w].is_dead {
            return;
        }
        let is_dead = state.routers[r].is_dead;
        let watch = state.watches[w][r];
        let has_closed = watch.epoch == row.epoch && watch.is_closed;
        if !has_closed && self.variant != Variant::NoWitnessClose {
            if is_dead || !state.faults.suspicion {
                let mut closing = *state;
                closing.faults.suspicion |= !is_dead;
                closing.watches[w][r].close(row.epoch);
                next.push(closing);
            }
            return;
        }
        if !has_closed && !is_dead && state.faults.suspicion {
            return;
        }
        let own = if watch.epoch == row.epoch { watch.ceiling } else { 0 };
        let ceiling = match self.variant {
            Variant::NewWitnessWithoutCeiling => own,
            _ => own.max(row.ceiling),
        };
        let mut closed = *state;
        closed.faults.suspicion |= !is_dead;
        let kept = row.unspent.min(ceiling.saturating_sub(row.spent));
        closed.routers[r].is_current = false;
        closed.rows[r].is_closed = true;
        closed.rows[r].unspent = kept;
        closed.granted -= row.unspent - kept;
        next.push(closed);
    }

    /// A deposit arrives.
    fn top_up(&self, state: &State, next: &mut Vec<State>) {
        if !state.faults.top_up && self.limits.top_up > 0 {
            let mut topped = *state;
            topped.faults.top_up = true;
            topped.deposited += self.limits.top_up;
            next.push(topped);
        }
    }
}

fn first_witness(r: usize) -> u8 {
    u8::try_from((r + 1) % ROUTERS).unwrap_or(0)
}
