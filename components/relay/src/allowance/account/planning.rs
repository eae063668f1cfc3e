//! What a router draws and returns of an account, and what it declares.

use std::time::Duration;

use types::Timestamp;

use super::{AccountAllowance, BORROWERS_SPARE, CHANGE_DIVISOR, KEPT_TIME, RATE_TIME};
use crate::allowance::{
    book::Stage,
    holders::Role,
    rows::{AllowanceRow, Holding},
};

/// Time that the drawn tokens should last, so that requests go on while the store is away.
const HORIZON: Duration = Duration::from_secs(11);

/// Part of the prepaid tokens that a router draws before it knows the rate: one in this
/// many, divided by the routers.
const FIRST_DRAW_DIVISOR: u64 = 6;

/// Share of the target below which tokens are drawn, as a divisor of what may be missing.
const MISSING_DIVISOR: u64 = 4;

/// Part of the prepaid tokens, as a divisor, of which the last undrawn ones are left to
/// requests that need them.
const LAST_TOKENS_DIVISOR: u64 = 50;

/// Time of spending that a declaration allows for; more is declared on demand. What is
/// allowed and not spent is lost at a crash.
const CEILING_TIME: Duration = Duration::from_millis(2_800);

/// The same where few tokens are left: then a loss at a crash is worse than a shortage at
/// the start of an outage.
const CEILING_TIME_LOW: Duration = Duration::from_millis(1_000);

/// Part of the prepaid tokens, as a divisor, below which the undrawn ones are so few that
/// less may be lost at a crash. All routers lose at the same time when all power goes.
const FRUGAL_DIVISOR: u64 = 3;

/// Time that the last tokens of an account should last on their holder.
const HORIZON_LOW: Duration = Duration::from_secs(4);

/// Part of the held tokens that may leave in any case, as a divisor, so that a router
/// without requests of late serves the first ones when the store goes away.
const CEILING_DIVISOR: u64 = 16;

/// The same in a new process that has taken over tokens and does not know its rate of spending
/// yet.
const CEILING_DIVISOR_NEW: u64 = 3;

/// Change of a row that a router wants to commit.
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
    /// Returns the change that the row needs; `None` where it can stay as it is.
    pub(in crate::allowance) fn plan(
        &self,
        row: &AllowanceRow,
        (role, drawers): (Role, u64),
        stage: Stage,
        now: Timestamp,
    ) -> Option<Change> {
        let free = self.held - self.reserved;
        let mut change = Change { spent: self.unreported, ..Change::default() };
        let is_over = stage == Stage::Ended;
        if is_over || row.drawn > self.limit {
            change.give_back = free;
            return (free > 0 || self.unreported > 0 && is_over).then_some(change);
        }
        if self.limit_version < row.limit_version {
            return None;
        }
        let pool = self.limit - row.drawn;
        let target = match (stage, role) {
            (Stage::Serving, Role::Holder) => self.target(pool, drawers, now),
            (Stage::Serving, Role::Undecided) => 0,
            _ => self.rate.expected(KEPT_TIME, now),
        };
        let draws = role != Role::Borrower || self.draws_alone;
        let is_worth_it = |tokens: u64| tokens > self.limit / CHANGE_DIVISOR;
        if free < self.wanted && draws {
            // Fewer than a request needs are of no use here.
            let is_plenty = role == Role::Holder && !self.is_scarce(pool);
            let wanted = if is_plenty { 2 * self.wanted } else { self.wanted };
            let missing = target.max(wanted) - free;
            change.draw = if self.wanted - free <= pool { missing.min(pool) } else { 0 };
        } else if free < target && role == Role::Holder && pool > self.limit / LAST_TOKENS_DIVISOR {
            let missing = target - free;
            let is_due = missing >= target / MISSING_DIVISOR && is_worth_it(missing);
            change.draw = if is_due { missing.min(pool) } else { 0 };
        } else if free > target * 2 + self.borrowers_spare(role)
            && (stage == Stage::Leaving || role == Role::Borrower || self.is_scarce(pool))
            && is_worth_it(free - target)
        {
            change.give_back = free - target;
        }
        let needs_version = self.limit_version > row.limit_version && !self.is_confirmed;
        (change.draw > 0 || change.give_back > 0 || needs_version).then_some(change)
    }

    /// Returns what a borrower keeps from its last loans; the rest goes back to holders by
    /// message, and to the store only what is left of its time as a holder.
    fn borrowers_spare(&self, role: Role) -> u64 {
        if role == Role::Borrower { BORROWERS_SPARE * self.largest } else { 0 }
    }

    /// Returns how many free tokens the router should hold.
    fn target(&self, pool: u64, routers: u64, now: Timestamp) -> u64 {
        let routers = routers.max(1);
        let first = self.limit / FIRST_DRAW_DIVISOR / routers;
        let horizon = if self.is_low { HORIZON_LOW } else { HORIZON };
        let expected = self.rate.expected(horizon, now);
        // Routers lend each other what one alone has too little of.
        let by_rate = expected + 2 * self.largest / routers;
        let by_pool = (pool + self.held - self.reserved) / routers;
        by_rate.max(first).min(by_pool)
    }

    /// Tells whether so few tokens are undrawn that idle ones are better returned.
    fn is_scarce(&self, pool: u64) -> bool {
        pool < self.limit / 5
    }

    /// Returns what to declare with a change: the tokens after it, those of an earlier process
    /// that it takes over included, and how many of them may leave until the declaration no
    /// longer binds.
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
        let is_frugal = undrawn < self.limit / FRUGAL_DIVISOR;
        let span = if is_frugal { CEILING_TIME_LOW } else { CEILING_TIME };
        let expected = self.rate.expected(span, now);
        let is_new = self.taken_over_at.is_some_and(|at| now.since(at) < RATE_TIME);
        let divisor = if is_new || taken_over > 0 { CEILING_DIVISOR_NEW } else { CEILING_DIVISOR };
        let margin = expected.max(self.wanted).max(held / divisor);
        let ceiling = self.reserved + margin;
        Holding { held, ceiling: ceiling.min(held) }
    }

    /// Tells whether a request waits for tokens that are held but may not leave before the
    /// next declaration.
    pub(in crate::allowance) fn needs_declaration(&self, now: Timestamp) -> bool {
        self.wanted > self.available(now) && self.wanted <= self.held - self.reserved
    }

    /// Declares to the witness what is kept; returns how many tokens that are.
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
