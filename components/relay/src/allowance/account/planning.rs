//! Decides what a router draws and returns of an account, and what it declares.

use std::time::Duration;

use types::Timestamp;

use super::{
    AccountAllowance, BORROWER_SPARE_REQUESTS, MIN_CHANGE_DIVISOR, OWN_DEMAND_WINDOW, RATE_WINDOW,
};
use crate::allowance::{
    book::Stage,
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

/// Time of expected spending that the ceiling of a declaration covers; more is declared on demand.
/// Tokens below the ceiling that were not spent are lost in a crash.
const CEILING_WINDOW: Duration = Duration::from_millis(2_800);

/// Time that the ceiling covers if few tokens are undrawn: then a loss in a crash is worse than a
/// shortage at the start of an outage.
const CEILING_WINDOW_LOW: Duration = Duration::from_millis(1_000);

/// If the undrawn tokens are below this part of the prepaid tokens, given as a divisor, ceilings
/// cover only `CEILING_WINDOW_LOW`, so that less is lost in a crash. In a complete power loss all
/// routers lose tokens at the same time.
const CEILING_LOW_DIVISOR: u64 = 3;

/// Time for which the last tokens of an account should last on their holder.
const DRAW_HORIZON_LOW: Duration = Duration::from_secs(4);

/// Minimum part of the held tokens, given as a divisor, that a ceiling allows in addition to the
/// reserved ones, so that a router without recent requests can serve the first ones when the store
/// becomes unavailable.
const MIN_CEILING_DIVISOR: u64 = 16;

/// The same part for a new process that has taken over tokens and does not know its rate of
/// spending yet.
const MIN_CEILING_DIVISOR_NEW: u64 = 3;

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
    /// from a previous process, and how many of them may be spent or lent while the ceiling is in
    /// force.
    pub(in crate::allowance) fn declare(
        &self,
        change: &Change,
        taken_over: u64,
        (role, undrawn): (Role, u64),
        now: Timestamp,
    ) -> Holding {
        let held = self.held + change.draw - change.give_back + taken_over;
        if role == Role::Borrower {
            return Holding { held, ceiling: held };
        }
        let uses_low_window = undrawn < self.limit / CEILING_LOW_DIVISOR;
        let window = if uses_low_window { CEILING_WINDOW_LOW } else { CEILING_WINDOW };
        let expected = self.rate.expected(window, now);
        let is_new = self.taken_over_at.is_some_and(|at| now.since(at) < RATE_WINDOW);
        let divisor =
            if is_new || taken_over > 0 { MIN_CEILING_DIVISOR_NEW } else { MIN_CEILING_DIVISOR };
        let margin = expected.max(self.unmet_demand).max(held / divisor);
        let ceiling = self.reserved + margin;
        Holding { held, ceiling: ceiling.min(held) }
    }

    /// Returns whether a request waits for tokens that are held but may not be spent before the
    /// next declaration.
    pub(in crate::allowance) fn needs_declaration(&self, now: Timestamp) -> bool {
        self.unmet_demand > self.available(now) && self.unmet_demand <= self.held - self.reserved
    }

    /// Starts a declaration to the witnesses; returns how many tokens will neither be spent nor
    /// lent before the next one.
    pub(in crate::allowance) fn declare_to_witness(
        &mut self,
        number: u64,
        role: Role,
        undrawn: u64,
        now: Timestamp,
    ) -> u64 {
        let declared = self.declare(&Change::default(), 0, (role, undrawn), now);
        self.ceilings.begin_witnessed(number, declared.ceiling);
        declared.held - declared.ceiling + self.returning
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
