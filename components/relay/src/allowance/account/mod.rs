//! One router's tokens of one account.

mod loans;
mod planning;

use std::time::Duration;

use types::Timestamp;

pub(super) use self::planning::{Change, changed_row};
use super::{
    ceiling::Ceilings,
    rows::{AllowanceRow, Holding},
};
use crate::rate::Rate;

/// Time over which the rate of spending is averaged.
const RATE_TIME: Duration = Duration::from_secs(4);

/// Time for which a lender keeps tokens for its own requests.
const KEPT_TIME: Duration = Duration::from_secs(2);

/// Part of the prepaid tokens below which a change of the row is not worth its cost, as a
/// divisor.
const CHANGE_DIVISOR: u64 = 500;

/// Part of the prepaid tokens, as a divisor, below which the undrawn ones are few.
const LOW_DIVISOR: u64 = 8;

/// Part of the prepaid tokens, as a divisor, above which the undrawn ones are not few any
/// more. More than all routers together return.
const PLENTY_DIVISOR: u64 = 2;

/// Largest requests for which a borrower keeps tokens that it has no use for now.
const BORROWERS_SPARE: u64 = 2;

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

    /// Returns the spent tokens of all routers that this one knows of.
    pub(super) fn known_spent(&self, row: &AllowanceRow) -> u64 {
        row.spent.max(self.heard_spent) + self.unreported
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
