//! One router's tokens of one account.

use std::time::Duration;

use types::Timestamp;

use super::{
    book::Stage,
    ceiling::Ceilings,
    holders::Role,
    rows::{AllowanceRow, Holding},
};
use crate::rate::Rate;

/// Time that the drawn tokens should last, so that requests go on while the store is away.
const HORIZON: Duration = Duration::from_secs(11);

/// Time over which the rate of spending is averaged.
const RATE_TIME: Duration = Duration::from_secs(4);

/// Part of the prepaid tokens that a router draws before it knows the rate: one in this
/// many, divided by the routers.
const FIRST_DRAW_DIVISOR: u64 = 6;

/// Time for which a lender keeps tokens for its own requests.
const KEPT_TIME: Duration = Duration::from_secs(2);

/// Share of the target below which tokens are drawn, as a divisor of what may be missing.
const MISSING_DIVISOR: u64 = 4;

/// Part of the prepaid tokens, as a divisor, of which the last undrawn ones are left to
/// requests that need them.
const LAST_TOKENS_DIVISOR: u64 = 50;

/// Part of the prepaid tokens below which a change of the row is not worth its cost, as a
/// divisor.
const CHANGE_DIVISOR: u64 = 500;

/// Time of spending that a declaration allows for; more is declared on demand. What is
/// allowed and not spent is lost at a crash.
const CEILING_TIME: Duration = Duration::from_millis(2_800);

/// The same where few tokens are left: then a loss at a crash is worse than a shortage at
/// the start of an outage.
const CEILING_TIME_LOW: Duration = Duration::from_millis(1_000);

/// Part of the prepaid tokens, as a divisor, below which the undrawn ones are so few that
/// less may be lost at a crash. All routers lose at the same time when all power goes.
const FRUGAL_DIVISOR: u64 = 3;

/// Part of the prepaid tokens, as a divisor, below which the undrawn ones are few.
const LOW_DIVISOR: u64 = 8;

/// Part of the prepaid tokens, as a divisor, above which the undrawn ones are not few any
/// more. More than all routers together return.
const PLENTY_DIVISOR: u64 = 2;

/// Time that the last tokens of an account should last on their holder.
const HORIZON_LOW: Duration = Duration::from_secs(4);

/// Part of the held tokens that may leave in any case, as a divisor, so that a router
/// without requests of late serves the first ones when the store goes away.
const CEILING_DIVISOR: u64 = 16;

/// The same in a new process that has taken over tokens and does not know its rate of spending
/// yet.
const CEILING_DIVISOR_NEW: u64 = 3;

/// Largest requests for which a borrower keeps tokens that it has no use for now.
const BORROWERS_SPARE: u64 = 2;

/// Time without a request of an account after which a borrower gives its tokens back.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// The same where few tokens are left: others wait for them.
const IDLE_TIME_LOW: Duration = Duration::from_millis(200);

/// Tokens that go back by message at most, in the unit of the smallest change of a row.
const MESSAGE_SHARES: u64 = 4;

/// Tokens of one account that this router holds.
#[derive(Debug, Clone)]
pub struct AccountAllowance {
    /// Prepaid tokens of the account.
    limit: u64,
    /// Version of the desired state that gave the limit.
    limit_version: u64,
    /// Tokens drawn and not yet spent; includes the reserved ones.
    held: u64,
    /// Tokens reserved by running requests; at most `held`.
    reserved: u64,
    /// Tokens spent and not yet reported to the row.
    unreported: u64,
    /// Tokens taken out of the held ones by a commit whose outcome is not known: returned
    /// or, if it does not take effect, held again. Certainly unspent.
    returning: u64,
    /// How much of the held tokens may leave.
    ceilings: Ceilings,
    /// Most tokens that one request has asked for.
    largest: u64,
    /// Tokens that requests asked for in vain since the last commit.
    wanted: u64,
    /// Rate of reserving, in tokens a second.
    rate: Rate,
    /// Whether the row was read since the limit was lowered.
    is_confirmed: bool,
    /// When tokens of an earlier process were taken over.
    taken_over_at: Option<Timestamp>,
    /// Whether few tokens are undrawn, so that one holder keeps the last ones together.
    is_low: bool,
    /// Whether a borrower draws from the store what its lenders do not give.
    draws_alone: bool,
    /// When tokens were last asked for.
    asked_at: Timestamp,
    /// Most spent tokens that a holder has reported of the row. The row's only grow.
    heard_spent: u64,
    /// Fewest tokens that were in vain asked for, and until when that counts.
    shortage: Option<(u64, Timestamp)>,
}

/// Change of a row that a router wants to commit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Change {
    /// Tokens to draw.
    pub(super) draw: u64,
    /// Tokens to return.
    pub(super) give_back: u64,
    /// Spent tokens to report.
    pub(super) spent: u64,
}

impl Default for AccountAllowance {
    fn default() -> AccountAllowance {
        AccountAllowance {
            limit: 0,
            limit_version: 0,
            held: 0,
            reserved: 0,
            unreported: 0,
            returning: 0,
            ceilings: Ceilings::default(),
            largest: 0,
            wanted: 0,
            taken_over_at: None,
            is_low: false,
            draws_alone: false,
            asked_at: Timestamp::ZERO,
            heard_spent: 0,
            rate: Rate::new(RATE_TIME),
            is_confirmed: false,
            shortage: None,
        }
    }
}

impl AccountAllowance {
    /// Takes over the prepaid tokens of a version of the desired state.
    pub(super) fn set_limit(&mut self, limit: u64, version: u64) {
        if limit < self.limit {
            self.is_confirmed = false;
        }
        self.limit = limit;
        self.limit_version = version;
    }

    /// Returns the tokens that a request may still reserve.
    pub fn available(&self, now: Timestamp) -> u64 {
        if !self.is_confirmed {
            return 0;
        }
        let may_leave = self.ceilings.left(now).unwrap_or(u64::MAX);
        self.held.min(may_leave).saturating_sub(self.reserved)
    }

    /// Returns the prepaid tokens of the account.
    pub(super) fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the version of the desired state that gave the limit.
    pub(super) fn limit_version(&self) -> u64 {
        self.limit_version
    }

    /// Tells whether the row was read since the limit was lowered.
    pub(super) fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Returns the tokens held, reserved ones included.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Reserves tokens; false where fewer are available.
    pub(super) fn reserve(&mut self, tokens: u64, now: Timestamp) -> bool {
        self.asked_at = now;
        if tokens > self.available(now) {
            // What the account never has is not worth waiting for.
            if tokens <= self.limit {
                self.wanted = self.wanted.max(tokens);
                self.largest = self.largest.max(tokens);
            }
            return false;
        }
        self.largest = self.largest.max(tokens);
        self.reserved += tokens;
        self.draws_alone = false;
        self.rate.add(tokens as f64, now);
        true
    }

    /// Notes that so many tokens were asked for in vain.
    pub(super) fn note_shortage(&mut self, tokens: u64, until: Timestamp) {
        self.shortage = Some((tokens, until));
    }

    /// Tells whether no more tokens than these were asked for in vain a moment ago.
    pub(super) fn is_short(&self, tokens: u64, now: Timestamp) -> bool {
        self.shortage.is_some_and(|(asked, until)| tokens >= asked && now < until)
    }

    /// Ends a reservation of which `used` tokens were spent.
    pub(super) fn settle(&mut self, reserved: u64, used: u64) {
        let used = used.min(reserved);
        self.reserved -= reserved;
        self.held -= used;
        self.ceilings.take(used);
        self.unreported += used;
    }

    /// Tells whether the tokens that the row leaves are fewer than `tokens`, however they
    /// are spread over the routers.
    pub(super) fn is_exhausted(&self, row: &AllowanceRow, tokens: u64) -> bool {
        let left = self.limit.saturating_sub(self.known_spent(row));
        self.is_confirmed && tokens > left
    }

    /// Returns the tokens that no router has drawn.
    pub(super) fn undrawn(&self, row: &AllowanceRow) -> u64 {
        self.limit.saturating_sub(row.drawn)
    }

    /// Allows in the next declaration for lending `wanted` tokens; false where that would
    /// not help.
    pub(super) fn want_to_lend(&mut self, wanted: u64, now: Timestamp) -> bool {
        let free = self.held - self.reserved;
        let is_bound = self.is_confirmed && self.available(now) < wanted.min(free);
        if is_bound {
            self.wanted = self.wanted.max(wanted.min(free));
        }
        is_bound
    }

    /// Takes tokens out to lend them to another router; returns how many. Loans for use, to
    /// a router that draws none, count as this router's own spending.
    pub(super) fn lend(&mut self, wanted: u64, for_use: bool, now: Timestamp) -> u64 {
        let available = self.available(now);
        let lent = if for_use {
            wanted.min(available)
        } else {
            let kept = self.rate.expected(KEPT_TIME, now);
            wanted.min(available - kept.min(available / 2))
        };
        if for_use {
            self.rate.add(lent as f64, now);
        }
        self.held -= lent;
        self.ceilings.take(lent);
        lent
    }

    /// Notes that a holder needs a commit before it can lend `wanted` tokens: it draws them, or
    /// declares that held ones may leave. False where it can lend them now, or a commit would
    /// not help.
    pub(super) fn want_to_draw(&mut self, row: &AllowanceRow, wanted: u64, now: Timestamp) -> bool {
        let (available, free) = (self.available(now), self.held - self.reserved);
        let would_help = free + self.undrawn(row) >= wanted;
        let needs_commit = available < wanted && would_help;
        if needs_commit {
            self.wanted = self.wanted.max(wanted);
        }
        needs_commit
    }

    /// Lets a borrower draw from the store what a request waits for.
    pub(super) fn draw_alone(&mut self) {
        self.draws_alone = true;
    }

    /// Notes how many tokens no router has drawn. Few ones are kept together until an
    /// operator adds some; what other holders return then makes no difference.
    pub(super) fn note_undrawn(&mut self, undrawn: u64) {
        if undrawn < self.limit / LOW_DIVISOR {
            self.is_low = true;
        } else if undrawn > self.limit / PLENTY_DIVISOR {
            self.is_low = false;
        }
    }

    /// Tells whether one holder keeps the last tokens together.
    pub fn is_low(&self) -> bool {
        self.is_low
    }

    /// Takes out the free tokens that a borrower has no use for, to give them back to a
    /// holder.
    pub(super) fn take_surplus(&mut self, now: Timestamp) -> u64 {
        let available = self.available(now);
        let (idle_time, spare) =
            if self.is_low { (IDLE_TIME_LOW, 1) } else { (IDLE_TIME, BORROWERS_SPARE) };
        let is_idle = now.since(self.asked_at) >= idle_time;
        let kept = if is_idle { 0 } else { spare * self.largest };
        let surplus = available.saturating_sub(kept);
        // A message may get lost; more than this goes back through the store.
        if surplus > self.limit / CHANGE_DIVISOR * MESSAGE_SHARES {
            return 0;
        }
        self.held -= surplus;
        self.ceilings.take(surplus);
        surplus
    }

    /// Takes the spent tokens that are not reported yet, to report them through a holder.
    pub(super) fn take_unreported(&mut self) -> u64 {
        std::mem::take(&mut self.unreported)
    }

    /// Takes over spent tokens that a borrower reports.
    pub(super) fn report_for_borrower(&mut self, spent: u64) {
        self.unreported += spent;
    }

    /// Notes the spent tokens that a holder knows of.
    pub(super) fn hear_spent(&mut self, spent: u64) {
        self.heard_spent = self.heard_spent.max(spent);
    }

    /// Returns the spent tokens of all routers that this one knows of.
    pub(super) fn known_spent(&self, row: &AllowanceRow) -> u64 {
        row.spent.max(self.heard_spent) + self.unreported
    }

    /// Takes in tokens that another router lent.
    pub(super) fn borrow(&mut self, tokens: u64) {
        self.held += tokens;
        self.ceilings.add(tokens);
    }

    /// Returns the change that the row needs; `None` where it can stay as it is.
    pub(super) fn plan(
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
    pub(super) fn declare(
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
    pub(super) fn needs_declaration(&self, now: Timestamp) -> bool {
        self.wanted > self.available(now) && self.wanted <= self.held - self.reserved
    }

    /// Sets tokens aside that a commit is about to return, and keeps to its declaration.
    pub(super) fn start(
        &mut self,
        change: &Change,
        declared: Holding,
        number: u64,
        binds_until: Timestamp,
        has_witness: bool,
    ) {
        self.held -= change.give_back;
        self.returning += change.give_back;
        self.ceilings.begin(number, declared.ceiling, binds_until, has_witness);
    }

    /// Declares to the witness what is kept; returns how many tokens that are.
    pub(super) fn declare_to_witness(
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

    /// Notes that the witness has confirmed a declaration.
    pub(super) fn confirm_witnessed(&mut self, number: u64) {
        self.ceilings.confirm_witnessed(number);
    }

    /// Ends a commit.
    pub(super) fn finish(&mut self, change: &Change, number: u64, is_applied: bool) {
        self.ceilings.finish(number, is_applied);
        self.returning -= change.give_back;
        if is_applied {
            self.held += change.draw;
            self.unreported -= change.spent;
            self.wanted = 0;
            self.draws_alone = false;
        } else {
            self.held += change.give_back;
        }
    }

    /// Returns the tokens reserved by running requests.
    pub fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Takes over tokens that an earlier process of this router held.
    pub(super) fn adopt(&mut self, tokens: u64, now: Timestamp) {
        self.held += tokens;
        self.taken_over_at = Some(now);
    }

    /// Notes that the row was read.
    pub(super) fn confirm(&mut self, row: &AllowanceRow) {
        if row.drawn <= self.limit {
            self.is_confirmed = true;
        }
    }
}

/// Returns the row as it is after a change.
pub(super) fn changed_row(row: &AllowanceRow, change: &Change, version: u64) -> AllowanceRow {
    AllowanceRow {
        drawn: row.drawn + change.draw - change.give_back.min(row.drawn),
        spent: row.spent + change.spent,
        limit_version: row.limit_version.max(version),
    }
}
