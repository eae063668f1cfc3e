//! The tokens of one account on one router.

mod ledger;
mod loans;
mod obtainable;
mod planning;

use std::time::Duration;

use types::Timestamp;

use self::obtainable::ObtainableTokens;
pub(super) use self::planning::{Change, changed_row};
pub use self::{ledger::TokenLedger, obtainable::HolderStatement};
use super::{
    ceiling::{Ceilings, Growth},
    rows::AllowanceRow,
};
use crate::rate::Rate;

/// Averaging time of the rate at which tokens are reserved or lent to borrowers.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// A router keeps the tokens that its own requests are expected to need within this time when it
/// lends or returns tokens.
const OWN_DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Changes below this part of the prepaid tokens, given as a divisor, are not worth a commit.
const MIN_CHANGE_DIVISOR: u64 = 500;

/// Undrawn tokens count as low when they fall below this part of the prepaid tokens, given as a
/// divisor.
const LOW_START_DIVISOR: u64 = 8;

/// Undrawn tokens stop counting as low when they rise above this part of the prepaid tokens, given
/// as a divisor. More than all routers together return, so that returned tokens alone do not end
/// the low state.
const LOW_END_DIVISOR: u64 = 2;

/// Number of requests, each as large as the largest seen, for which a borrower keeps spare tokens.
const BORROWER_SPARE_REQUESTS: u64 = 1;

/// The tokens of one account on this router.
#[derive(Debug, Clone)]
pub struct AccountAllowance {
    /// Prepaid tokens of the account.
    limit: u64,
    /// Version of the desired state that set the limit.
    limit_version: u64,
    /// Tokens drawn, borrowed or taken over and not yet spent, including the reserved ones.
    held: u64,
    /// Tokens reserved by running requests; at most `held`.
    reserved: u64,
    /// Tokens spent and not yet reported to the account's row.
    unreported: u64,
    /// Tokens that a commit with an unknown outcome returns. They are no longer in `held`, but are
    /// added back if the commit does not take effect. They are certainly unspent.
    returning: u64,
    /// Ceilings on how many of the held tokens may be spent or lent.
    ceilings: Ceilings,
    /// Totals of the tokens received and given away.
    ledger: TokenLedger,
    /// Tokens of the largest request so far.
    largest_request: u64,
    /// Maximum number of tokens that a request or a loan needed and did not get since the last
    /// commit.
    unmet_demand: u64,
    /// When the ceiling last prevented a request or a loan although enough tokens were held.
    capped_at: Option<Timestamp>,
    /// Rate at which tokens are reserved or lent to borrowers, in tokens per second.
    rate: Rate,
    /// Whether the account's row was read since the limit was set or lowered, and not more than the
    /// limit was drawn. Until then no tokens are available.
    is_limit_confirmed: bool,
    /// When tokens of a previous process were taken over.
    taken_over_at: Option<Timestamp>,
    /// Whether few tokens are undrawn, so that only one holder draws the remaining ones.
    is_low: bool,
    /// Whether a borrower may draw from the store because its lenders did not give enough.
    may_draw_directly: bool,
    /// When a request last asked for tokens.
    last_request_at: Timestamp,
    /// Highest total of spent tokens that a holder has reported for the account's row, whose total
    /// never decreases.
    holder_reported_spent: u64,
    /// Tokens of the last request refused because neither the store nor another router had enough,
    /// and until when requests that are no smaller are refused at once.
    recent_refusal: Option<(u64, Timestamp)>,
    /// Tokens of the last request refused because they were out of reach, and when.
    last_shortage: Option<(u64, Timestamp)>,
    /// Tokens that could be obtained from anywhere.
    obtainable: ObtainableTokens,
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
            ledger: TokenLedger::default(),
            largest_request: 0,
            unmet_demand: 0,
            capped_at: None,
            taken_over_at: None,
            is_low: false,
            may_draw_directly: false,
            last_request_at: Timestamp::ZERO,
            holder_reported_spent: 0,
            rate: Rate::new(RATE_WINDOW),
            is_limit_confirmed: false,
            recent_refusal: None,
            last_shortage: None,
            obtainable: ObtainableTokens::default(),
        }
    }
}

impl AccountAllowance {
    /// Sets the prepaid tokens of the account from a version of the desired state.
    pub(super) fn set_limit(&mut self, limit: u64, version: u64) {
        if limit < self.limit {
            self.is_limit_confirmed = false;
        }
        if limit != self.limit {
            self.obtainable.clear();
        }
        self.limit = limit;
        self.limit_version = version;
    }

    /// Returns how many tokens new requests may reserve.
    pub fn available(&self, now: Timestamp) -> u64 {
        if !self.is_limit_confirmed {
            return 0;
        }
        let allowed = self.ceilings.remaining(now).unwrap_or(u64::MAX);
        self.held.min(allowed).saturating_sub(self.reserved)
    }

    /// Returns the prepaid tokens of the account.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the version of the desired state that set the limit.
    pub(super) fn limit_version(&self) -> u64 {
        self.limit_version
    }

    /// Returns whether the account's row was read since the limit was set or lowered.
    pub(super) fn is_limit_confirmed(&self) -> bool {
        self.is_limit_confirmed
    }

    /// Returns the tokens held, including the reserved ones.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Reserves tokens; returns false if fewer are available.
    pub(super) fn reserve(&mut self, tokens: u64, now: Timestamp) -> bool {
        self.last_request_at = now;
        if tokens > self.available(now) {
            // A request above the limit can never be served, so no tokens are obtained for it.
            if tokens <= self.limit {
                self.record_unmet_demand(tokens, now);
                self.largest_request = self.largest_request.max(tokens);
            }
            return false;
        }
        self.largest_request = self.largest_request.max(tokens);
        self.reserved += tokens;
        self.may_draw_directly = false;
        self.rate.add(tokens as f64, now);
        true
    }

    /// Records a request or a loan that did not get its tokens.
    fn record_unmet_demand(&mut self, tokens: u64, now: Timestamp) {
        self.unmet_demand = self.unmet_demand.max(tokens);
        if tokens <= self.held - self.reserved {
            self.capped_at = Some(now);
        }
    }

    /// Records a refused request for this many tokens; until `until`, requests that are no smaller
    /// are refused at once.
    pub(super) fn record_refusal(&mut self, tokens: u64, until: Timestamp) {
        self.recent_refusal = Some((tokens, until));
    }

    /// Returns whether a request for the same number of tokens or fewer was refused recently.
    pub(super) fn was_recently_refused(&self, tokens: u64, now: Timestamp) -> bool {
        self.recent_refusal.is_some_and(|(asked, until)| tokens >= asked && now < until)
    }

    /// Ends a reservation of which `used` tokens were spent.
    pub(super) fn settle(&mut self, reserved: u64, used: u64) {
        let used = used.min(reserved);
        self.reserved -= reserved;
        self.held -= used;
        self.ceilings.subtract(used);
        self.unreported += used;
        self.ledger.spent += used;
    }

    /// Returns whether fewer than `tokens` of the account's tokens are unspent, wherever they are
    /// held.
    pub(super) fn is_exhausted(&self, row: &AllowanceRow, tokens: u64) -> bool {
        let left = self.limit.saturating_sub(self.known_spent(row));
        self.is_limit_confirmed && tokens > left
    }

    /// Returns the tokens that no router has drawn.
    pub(super) fn undrawn(&self, row: &AllowanceRow) -> u64 {
        self.limit.saturating_sub(row.drawn)
    }

    /// Updates whether few tokens are undrawn. Once they are few, tokens that other holders return
    /// do not change that; it ends when an operator adds tokens.
    pub(super) fn update_is_low(&mut self, undrawn: u64) {
        if undrawn < self.limit / LOW_START_DIVISOR {
            self.is_low = true;
        } else if undrawn > self.limit / LOW_END_DIVISOR {
            self.is_low = false;
        }
    }

    /// Returns whether few tokens are undrawn, so that only one holder draws the remaining ones.
    pub fn is_low(&self) -> bool {
        self.is_low
    }

    /// Returns the spent tokens of all routers, as far as this router knows.
    pub(super) fn known_spent(&self, row: &AllowanceRow) -> u64 {
        row.spent.max(self.holder_reported_spent) + self.unreported
    }

    /// Sets aside the tokens that a commit is about to return, and applies the ceiling that it
    /// declares.
    pub(super) fn begin_commit(
        &mut self,
        change: &Change,
        growth: Growth,
        number: u64,
        known_at: Option<Timestamp>,
        has_witness: bool,
    ) {
        self.held -= change.give_back;
        self.returning += change.give_back;
        self.ceilings.begin(number, growth, known_at, has_witness);
    }

    /// Marks a declaration to the witnesses as confirmed.
    pub(super) fn confirm_witnessed(&mut self, number: u64) {
        self.ceilings.confirm_witnessed(number);
    }

    /// Ends a commit: applies its change, or takes the set-aside tokens back if it did not take
    /// effect. `is_held_back` means that the drawn tokens are not usable yet.
    pub(super) fn finish_commit(
        &mut self,
        change: &Change,
        number: u64,
        is_applied: bool,
        is_held_back: bool,
    ) {
        self.ceilings.finish(number, is_applied);
        self.returning -= change.give_back;
        if is_applied {
            if !is_held_back {
                self.credit_draw(change.draw);
            }
            self.ledger.returned += change.give_back;
            self.unreported -= change.spent;
            self.unmet_demand = 0;
            self.may_draw_directly = false;
        } else {
            self.held += change.give_back;
        }
    }

    /// Returns the totals of the tokens that this process has received and given away.
    pub fn ledger(&self) -> TokenLedger {
        self.ledger
    }

    /// Returns the tokens that a commit with an unknown outcome returns.
    pub fn returning(&self) -> u64 {
        self.returning
    }

    /// Adds drawn tokens that were held back until other routers know of the draw. Ceilings that are in
    /// force already allow for them.
    pub(super) fn credit_draw(&mut self, tokens: u64) {
        self.held += tokens;
        self.ledger.drawn += tokens;
    }

    /// Ends a commit whose outcome will never be known: its tokens count as spent.
    pub(super) fn abandon_commit(&mut self, change: &Change) {
        self.returning -= change.give_back;
        self.ledger.returned += change.give_back;
        self.unreported -= change.spent;
    }

    /// Removes all ceilings: no process will take over tokens by the declarations they belong to.
    pub(super) fn clear_ceilings(&mut self) {
        self.ceilings.clear();
    }

    /// Returns the tokens reserved by running requests.
    pub fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Adds tokens that a previous process of this router held.
    pub(super) fn take_over(&mut self, tokens: u64, now: Timestamp) {
        self.held += tokens;
        self.ledger.taken_over += tokens;
        self.taken_over_at = Some(now);
    }

    /// Marks the limit as confirmed after the account's row was read, unless more than the limit is
    /// drawn.
    pub(super) fn confirm_limit(&mut self, row: &AllowanceRow) {
        if row.drawn <= self.limit {
            self.is_limit_confirmed = true;
        }
    }
}
