//! Tokens of an account that are lent, borrowed and given back.

use std::{sync::Arc, time::Duration};

use types::Timestamp;

use super::{
    AccountAllowance, BORROWER_SPARE_REQUESTS, HolderStatement, MIN_CHANGE_DIVISOR,
    OWN_DEMAND_WINDOW,
};
use crate::allowance::rows::AllowanceRow;

/// Time without a request for an account after which a borrower gives its tokens back. In a fleet of
/// hundreds of borrowers, what they keep is missing elsewhere, and lost with them.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle timeout when few tokens are undrawn: other routers wait for them.
const IDLE_TIMEOUT_LOW: Duration = Duration::from_millis(200);

/// Time after a refusal for which a borrower keeps no tokens that are too few for such a request.
/// Longer than the interval at which borrowers give tokens back.
const SHORTAGE_TIME: Duration = Duration::from_millis(500);

/// Maximum number of tokens given back in one message, as a multiple of the smallest change
/// worth a commit.
const MESSAGE_RETURN_MAX_CHANGES: u64 = 4;

impl AccountAllowance {
    /// Makes the next declaration raise the ceiling so that `wanted` tokens can be lent; returns
    /// false if that would not help.
    pub(in crate::allowance) fn request_ceiling_for_loan(
        &mut self,
        wanted: u64,
        now: Timestamp,
    ) -> bool {
        let free = self.held - self.reserved;
        let is_capped = self.is_limit_confirmed
            && self.available(now) < wanted.min(free)
            && self.ceilings.can_witness_raise(now);
        if is_capped {
            self.record_unmet_demand(wanted.min(free), now);
        }
        is_capped
    }

    /// Takes out tokens to lend them to another router; returns how many. `for_borrower` means that
    /// the other router has the role of a borrower; such loans count towards this router's own
    /// spending rate.
    pub(in crate::allowance) fn lend(
        &mut self,
        wanted: u64,
        for_borrower: bool,
        now: Timestamp,
    ) -> u64 {
        let available = self.available(now);
        let lent = if for_borrower {
            wanted.min(available)
        } else {
            let kept = self.rate.expected(OWN_DEMAND_WINDOW, now);
            wanted.min(available - kept.min(available / 2))
        };
        if for_borrower {
            self.rate.add(lent as f64, now);
        }
        self.held -= lent;
        self.ceilings.subtract(lent);
        self.ledger.lent += lent;
        lent
    }

    /// Requests a commit that a holder needs before it can lend `wanted` tokens: the commit draws
    /// them or raises the ceiling. Returns false if the holder can lend them now or a commit would
    /// not help.
    pub(in crate::allowance) fn request_draw_for_loan(
        &mut self,
        row: &AllowanceRow,
        wanted: u64,
        now: Timestamp,
    ) -> bool {
        let (available, free) = (self.available(now), self.held - self.reserved);
        let would_help = free + self.undrawn(row) >= wanted;
        let needs_commit = available < wanted && would_help;
        if needs_commit {
            self.record_unmet_demand(wanted, now);
        }
        needs_commit
    }

    /// Lets a borrower draw from the store the tokens that a request waits for.
    pub(in crate::allowance) fn allow_direct_draw(&mut self) {
        self.may_draw_directly = true;
    }

    /// Takes out the available tokens that a borrower does not need, to give them back to a holder.
    pub(in crate::allowance) fn take_surplus(&mut self, now: Timestamp) -> u64 {
        let available = self.available(now);
        let (idle_time, spare) = if self.is_low {
            (IDLE_TIMEOUT_LOW, 1)
        } else {
            (IDLE_TIMEOUT, BORROWER_SPARE_REQUESTS)
        };
        let is_idle = now.since(self.last_request_at) >= idle_time;
        // Parts of a request's tokens that several borrowers keep serve nobody.
        let is_too_few = self.is_low
            && self
                .last_shortage
                .is_some_and(|(tokens, at)| available < tokens && now.since(at) < SHORTAGE_TIME);
        let kept = if is_idle || is_too_few { 0 } else { spare * self.largest_request };
        let surplus = available.saturating_sub(kept);
        // A message may be lost, so larger amounts go back in several.
        let surplus = surplus.min(self.limit / MIN_CHANGE_DIVISOR * MESSAGE_RETURN_MAX_CHANGES);
        self.held -= surplus;
        self.ceilings.subtract(surplus);
        self.ledger.lent += surplus;
        surplus
    }

    /// Records that a request for this many tokens was refused because they are out of reach.
    pub(in crate::allowance) fn record_shortage(&mut self, tokens: u64, now: Timestamp) {
        self.last_shortage = Some((tokens, now));
    }

    /// Takes the spent tokens that are not reported yet, to report them through a holder.
    pub(in crate::allowance) fn take_unreported(&mut self) -> u64 {
        std::mem::take(&mut self.unreported)
    }

    /// Adds spent tokens that a borrower reports.
    pub(in crate::allowance) fn report_for_borrower(&mut self, spent: u64) {
        self.unreported += spent;
    }

    /// Updates the account's spent tokens from the total that a holder reports.
    pub(in crate::allowance) fn update_reported_spent(&mut self, spent: u64) {
        self.holder_reported_spent = self.holder_reported_spent.max(spent);
    }

    /// Adds tokens that another router has lent or given back.
    pub(in crate::allowance) fn credit(&mut self, tokens: u64) {
        self.held += tokens;
        self.ceilings.add(tokens);
        self.ledger.borrowed += tokens;
    }

    /// Returns what this router has of the account.
    pub(in crate::allowance) fn own_statement(&self, row: &AllowanceRow) -> HolderStatement {
        // Tokens that a commit in progress returns may still be undrawn or come back.
        let held = self.held.saturating_add(self.returning);
        HolderStatement { held, undrawn: self.undrawn(row) }
    }

    /// Records what a holder states about the account.
    pub(in crate::allowance) fn record_statement(
        &mut self,
        holder: Arc<str>,
        statement: HolderStatement,
        now: Timestamp,
    ) {
        self.obtainable.record(holder, statement, now);
    }

    /// Returns whether this many tokens can be obtained from nowhere, after adding up what this
    /// router and all `holders` have.
    pub(in crate::allowance) fn is_unobtainable(
        &mut self,
        tokens: u64,
        (own, holders): (HolderStatement, &[Arc<str>]),
        now: Timestamp,
    ) -> bool {
        self.obtainable.observe(own, holders, now);
        self.is_limit_confirmed && self.obtainable.is_short_of(tokens, now)
    }
}
