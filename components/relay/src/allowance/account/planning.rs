//! Decides what a router draws and returns of an account, and what it declares.

use std::time::Duration;

use types::Timestamp;

use super::{AccountAllowance, BORROWER_SPARE_REQUESTS, MIN_CHANGE_DIVISOR, OWN_DEMAND_WINDOW};
use crate::allowance::{
    book::Stage,
    ceiling::Growth,
    holders::Role,
    rows::{AllowanceRow, Holding},
};

/// Time for which the drawn tokens should last, so that requests continue while the store is
/// unavailable.
const DRAW_HORIZON: Duration = Duration::from_secs(11);

/// The drawing routers together aim to hold at least the prepaid tokens divided by this, also
/// before they know the rate.
const INITIAL_DRAW_DIVISOR: u64 = 6;

/// Tokens are drawn when at least this part of the target, given as a divisor, is missing.
const MIN_MISSING_DIVISOR: u64 = 4;

/// Undrawn tokens below this part of the prepaid tokens, given as a divisor, are only drawn for
/// requests that wait for them.
const UNDRAWN_RESERVE_DIVISOR: u64 = 50;

/// Time of expected spending that a ceiling covers at once; more is declared on demand. Tokens below
/// the ceiling that were not spent are lost in a crash.
const START_WINDOW: Duration = Duration::from_millis(1_000);

/// The same if few tokens are undrawn: then a loss in a crash is worse than more declarations.
const START_WINDOW_LOW: Duration = Duration::from_millis(600);

/// Time of expected spending that a ceiling covers at once after tokens were short of it.
const START_WINDOW_CAPPED: Duration = Duration::from_millis(2_000);

/// The same if few tokens are undrawn.
const START_WINDOW_LOW_CAPPED: Duration = Duration::from_millis(1_000);

/// Time for which `START_WINDOW_CAPPED` applies.
const CAPPED_TIME: Duration = Duration::from_secs(1);

/// Factor by which a ceiling grows faster than tokens are expected to be spent.
const GROWTH_FACTOR: f64 = 1.2;

/// The same from `UNWITNESSED_TIME` on, when witnesses have to confirm what is spent. Few processes
/// start that late after a power loss of all routers.
const LATER_GROWTH_FACTOR: f64 = 3.0;

/// If the undrawn tokens are below this part of the prepaid tokens, given as a divisor, ceilings grow
/// only from `UNWITNESSED_TIME` on: then a loss in a crash is worse than a shortage at the start of an
/// outage. In a complete power loss all routers lose tokens at the same time.
const CEILING_LOW_DIVISOR: u64 = 3;

/// Time of expected spending that the ceiling of a declaration to witnesses covers. Declarations
/// follow each other every 0.3 s, and on demand.
const WITNESSED_WINDOW: Duration = Duration::from_millis(2_800);

/// Time for which the last tokens of an account should last on their holder.
const DRAW_HORIZON_LOW: Duration = Duration::from_secs(4);

/// Minimum part of the held tokens, given as a divisor, that a ceiling allows at once in addition to
/// the reserved ones, so that a router without recent requests can serve the first ones when the
/// store becomes unavailable.
const MIN_START_DIVISOR: u64 = 16;

/// The same part after tokens were short of the ceiling.
const MIN_START_DIVISOR_CAPPED: u64 = 8;

/// The same part for a process that has just taken over tokens.
const MIN_START_DIVISOR_NEW: u64 = 3;

/// Time after a takeover for which `MIN_START_DIVISOR_NEW` applies.
const NEW_TIME: Duration = Duration::from_secs(1);

/// Minimum part of the held tokens, given as a divisor, by which a ceiling grows in a second.
const MIN_GROWTH_DIVISOR: u64 = 32;

/// The same from `UNWITNESSED_TIME` on.
const MIN_LATER_GROWTH_DIVISOR: u64 = 4;

/// A change of an account's row that a router wants to commit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::allowance) struct Change {
    /// Tokens to draw.
    pub(in crate::allowance) draw: u64,
    /// Tokens to return.
    pub(in crate::allowance) give_back: u64,
    /// Spent tokens to report.
    pub(in crate::allowance) spent: u64,
}

impl AccountAllowance {
    /// Returns the change that the account's row needs; `None` if it can stay as it is.
    pub(in crate::allowance) fn plan(
        &self,
        row: &AllowanceRow,
        (role, drawing_routers): (Role, u64),
        stage: Stage,
        now: Timestamp,
    ) -> Option<Change> {
        let free = self.held - self.reserved;
        let mut change = Change { spent: self.unreported, ..Change::default() };
        let is_ended = stage == Stage::Ended;
        if is_ended || row.drawn > self.limit {
            change.give_back = free;
            return (free > 0 || self.unreported > 0 && is_ended).then_some(change);
        }
        if self.limit_version < row.limit_version {
            return None;
        }
        let undrawn = self.limit - row.drawn;
        let target = match (stage, role) {
            (Stage::Serving, Role::Holder) => self.target(undrawn, drawing_routers, now),
            (Stage::Serving, Role::Undecided) => 0,
            _ => self.rate.expected(OWN_DEMAND_WINDOW, now),
        };
        let may_draw = role != Role::Borrower || self.may_draw_directly;
        let is_worth_commit = |tokens: u64| tokens > self.limit / MIN_CHANGE_DIVISOR;
        if free < self.unmet_demand && may_draw {
            // Drawing fewer tokens than the request needs would not help it.
            let is_plenty = role == Role::Holder && !self.is_scarce(undrawn);
            let wanted = if is_plenty { 2 * self.unmet_demand } else { self.unmet_demand };
            let missing = target.max(wanted) - free;
            change.draw =
                if self.unmet_demand - free <= undrawn { missing.min(undrawn) } else { 0 };
        } else if free < target
            && role == Role::Holder
            && undrawn > self.limit / UNDRAWN_RESERVE_DIVISOR
        {
            let missing = target - free;
            let is_due = missing >= target / MIN_MISSING_DIVISOR && is_worth_commit(missing);
            change.draw = if is_due { missing.min(undrawn) } else { 0 };
        } else if free > target * 2 + self.borrower_spare(role)
            && (stage == Stage::Leaving || role == Role::Borrower || self.is_scarce(undrawn))
            && is_worth_commit(free - target)
        {
            change.give_back = free - target;
        }
        let needs_version = self.limit_version > row.limit_version && !self.is_limit_confirmed;
        (change.draw > 0 || change.give_back > 0 || needs_version).then_some(change)
    }

    /// Returns how many tokens a borrower may keep from its last loans without returning tokens
    /// through the store; zero in other roles. A borrower gives loans back to holders by message;
    /// only tokens left from its time as a holder go back through the store.
    fn borrower_spare(&self, role: Role) -> u64 {
        if role == Role::Borrower { BORROWER_SPARE_REQUESTS * self.largest_request } else { 0 }
    }

    /// Returns how many free tokens the router should hold.
    fn target(&self, undrawn: u64, routers: u64, now: Timestamp) -> u64 {
        let routers = routers.max(1);
        let first = self.limit / INITIAL_DRAW_DIVISOR / routers;
        let horizon = if self.is_low { DRAW_HORIZON_LOW } else { DRAW_HORIZON };
        let expected = self.rate.expected(horizon, now);
        // Routers lend each other tokens for requests that one router alone cannot serve.
        let by_rate = expected + 2 * self.largest_request / routers;
        let by_undrawn = (undrawn + self.held - self.reserved) / routers;
        by_rate.max(first).min(by_undrawn)
    }

    /// Returns whether so few tokens are undrawn that idle ones should be returned.
    fn is_scarce(&self, undrawn: u64) -> bool {
        undrawn < self.limit / 5
    }

    /// Returns what to declare with a change: the tokens held after it, including those taken over
    /// from a previous process, and how many of them may be spent or lent by the age of the
    /// declaration.
    pub(in crate::allowance) fn declare(
        &self,
        change: &Change,
        taken_over: u64,
        (role, undrawn): (Role, u64),
        now: Timestamp,
    ) -> Holding {
        let held = self.held + change.draw - change.give_back + taken_over;
        if role == Role::Borrower {
            return Holding::with_growth(held, Growth::constant(held));
        }
        let is_low = undrawn < self.limit / CEILING_LOW_DIVISOR;
        let is_capped = self.capped_at.is_some_and(|at| now.since(at) < CAPPED_TIME);
        let is_new = self.taken_over_at.is_some_and(|at| now.since(at) < NEW_TIME);
        let window = match (is_low, is_capped) {
            (false, false) => START_WINDOW,
            (false, true) => START_WINDOW_CAPPED,
            (true, false) => START_WINDOW_LOW,
            (true, true) => START_WINDOW_LOW_CAPPED,
        };
        let divisor = match (is_new || taken_over > 0, is_capped && !is_low) {
            (true, _) => MIN_START_DIVISOR_NEW,
            (false, true) => MIN_START_DIVISOR_CAPPED,
            (false, false) => MIN_START_DIVISOR,
        };
        let expected = self.rate.expected(window, now);
        let margin = expected.max(self.unmet_demand).max(held / divisor);
        let growth_by = |factor: f64, min_divisor: u64| {
            let expected = self.rate.expected(Duration::from_secs(1).mul_f64(factor), now);
            expected.max(held / min_divisor)
        };
        let per_second = growth_by(GROWTH_FACTOR, MIN_GROWTH_DIVISOR);
        let growth = Growth {
            start: self.reserved + margin,
            per_second: if is_low { 0 } else { per_second },
            later_per_second: growth_by(LATER_GROWTH_FACTOR, MIN_LATER_GROWTH_DIVISOR),
        };
        Holding::with_growth(held, growth)
    }

    /// Starts from the rate at which the previous process spent tokens, as its declaration shows.
    pub(in crate::allowance) fn continue_rate(&mut self, declared: &Holding, now: Timestamp) {
        self.rate.continue_at(declared.later_per_second as f64 / LATER_GROWTH_FACTOR, now);
    }

    /// Returns whether a request waits for tokens that are held but may not be spent before the
    /// next declaration.
    pub(in crate::allowance) fn needs_declaration(&self, now: Timestamp) -> bool {
        self.unmet_demand > self.available(now) && self.unmet_demand <= self.held - self.reserved
    }

    /// Returns whether a request waits for tokens that are held and that a declaration to the witnesses
    /// could free.
    pub(in crate::allowance) fn needs_witness_declaration(&self, now: Timestamp) -> bool {
        self.needs_declaration(now) && self.ceilings.can_witness_raise(now)
    }

    /// Starts a declaration to the witnesses; returns how many of the held tokens will neither be spent
    /// nor lent before the next one.
    pub(in crate::allowance) fn declare_to_witness(
        &mut self,
        (number, last_commit): (u64, u64),
        role: Role,
        now: Timestamp,
    ) -> u64 {
        let expected = self.rate.expected(WITNESSED_WINDOW, now);
        let margin = expected.max(self.unmet_demand).max(self.held / MIN_START_DIVISOR);
        let ceiling = match role {
            Role::Borrower => self.held,
            _ => (self.reserved + margin).min(self.held),
        };
        self.ceilings.begin_witnessed(number, last_commit, ceiling);
        self.held - ceiling
    }
}

/// Returns the row as it is after a change.
pub(in crate::allowance) fn changed_row(
    row: &AllowanceRow,
    change: &Change,
    version: u64,
) -> AllowanceRow {
    AllowanceRow {
        drawn: row.drawn + change.draw - change.give_back.min(row.drawn),
        spent: row.spent + change.spent,
        limit_version: row.limit_version.max(version),
    }
}
