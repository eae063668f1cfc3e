//! Tokens of an account that are lent, borrowed and given back.

use std::time::Duration;

use types::Timestamp;

use super::{AccountAllowance, BORROWERS_SPARE, CHANGE_DIVISOR, KEPT_TIME};
use crate::allowance::rows::AllowanceRow;

/// Time without a request of an account after which a borrower gives its tokens back.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// The same where few tokens are left: others wait for them.
const IDLE_TIME_LOW: Duration = Duration::from_millis(200);

/// Tokens that go back by message at most, in the unit of the smallest change of a row.
const MESSAGE_SHARES: u64 = 4;

impl AccountAllowance {
    /// Allows in the next declaration for lending `wanted` tokens; false where that would
    /// not help.
    pub(in crate::allowance) fn want_to_lend(&mut self, wanted: u64, now: Timestamp) -> bool {
        let free = self.held - self.reserved;
        let is_bound = self.is_confirmed && self.available(now) < wanted.min(free);
        if is_bound {
            self.wanted = self.wanted.max(wanted.min(free));
        }
        is_bound
    }

    /// Takes tokens out to lend them to another router; returns how many. Loans for use, to
    /// a router that draws none, count as this router's own spending.
    pub(in crate::allowance) fn lend(&mut self, wanted: u64, for_use: bool, now: Timestamp) -> u64 {
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
    pub(in crate::allowance) fn want_to_draw(
        &mut self,
        row: &AllowanceRow,
        wanted: u64,
        now: Timestamp,
    ) -> bool {
        let (available, free) = (self.available(now), self.held - self.reserved);
        let would_help = free + self.undrawn(row) >= wanted;
        let needs_commit = available < wanted && would_help;
        if needs_commit {
            self.wanted = self.wanted.max(wanted);
        }
        needs_commit
    }

    /// Lets a borrower draw from the store what a request waits for.
    pub(in crate::allowance) fn allow_direct_draw(&mut self) {
        self.draws_alone = true;
    }

    /// Takes out the free tokens that a borrower has no use for, to give them back to a
    /// holder.
    pub(in crate::allowance) fn take_surplus(&mut self, now: Timestamp) -> u64 {
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
    pub(in crate::allowance) fn take_unreported(&mut self) -> u64 {
        std::mem::take(&mut self.unreported)
    }

    /// Takes over spent tokens that a borrower reports.
    pub(in crate::allowance) fn report_for_borrower(&mut self, spent: u64) {
        self.unreported += spent;
    }

    /// Notes the spent tokens that a holder knows of.
    pub(in crate::allowance) fn hear_spent(&mut self, spent: u64) {
        self.heard_spent = self.heard_spent.max(spent);
    }

    /// Takes in tokens that another router lent.
    pub(in crate::allowance) fn borrow(&mut self, tokens: u64) {
        self.held += tokens;
        self.ceilings.add(tokens);
    }
}
