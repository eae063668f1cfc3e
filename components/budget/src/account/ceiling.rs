//! Ceilings: limits on what a router may spend, acknowledged by its witness.

use protocol::{BudgetBody, CeilingRaised, RaiseCeiling};
use types::{RouterId, Tokens};

use super::Account;
use crate::{GrantRecoveryPolicy, GrantRow, ledger::LedgerContext};

/// Ceiling that this router keeps as the witness of another router.
///
/// A closed epoch stays closed: no further ceiling of it is acknowledged.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WitnessedCeiling {
    /// Epoch of the owner's grant row.
    pub(super) epoch: u64,
    /// Highest ceiling that the owner has requested.
    pub(super) ceiling: Tokens,
    /// Whether this router has closed the epoch.
    pub(super) is_closed: bool,
    /// Whether the closing of the grant row has been committed to the table, or is not needed.
    pub(super) is_done: bool,
}

impl WitnessedCeiling {
    /// Closes the current epoch, or that of `row` if it is later. An epoch cannot be reopened.
    pub(super) fn close(&mut self, row: &GrantRow) {
        if row.epoch > self.epoch {
            *self = WitnessedCeiling { epoch: row.epoch, ..WitnessedCeiling::default() };
        }
        self.is_closed = true;
        self.ceiling = self.ceiling.max(row.ceiling);
    }
}

impl Account {
    /// Answers the owner of a grant row that asks this router, as its witness, for a higher
    /// ceiling.
    pub(crate) fn on_raise(
        &mut self,
        cx: &mut LedgerContext,
        owner: &RouterId,
        message: &RaiseCeiling,
    ) {
        if message.witness_incarnation != cx.local.id.incarnation.0 {
            return;
        }
        let witnessed = self.witnessed_ceilings.entry(owner.clone()).or_default();
        if message.epoch < witnessed.epoch {
            return;
        }
        if message.epoch > witnessed.epoch {
            *witnessed = WitnessedCeiling { epoch: message.epoch, ..WitnessedCeiling::default() };
        }
        if !witnessed.is_closed {
            witnessed.ceiling = witnessed.ceiling.max(Tokens(message.ceiling));
        }
        let answer = CeilingRaised {
            account: self.name.to_string(),
            owner_incarnation: owner.incarnation.0,
            epoch: witnessed.epoch,
            ceiling: witnessed.ceiling.0,
            is_closed: witnessed.is_closed,
        };
        cx.send(&owner.name, BudgetBody::Raised(answer));
    }

    /// Handles the answer of the witness.
    pub(crate) fn on_raised(&mut self, witness: &RouterId, message: &CeilingRaised) {
        if self.row.witness.as_ref() != Some(witness) || message.epoch != self.row.epoch {
            return;
        }
        if message.is_closed {
            self.closed_epoch = Some(message.epoch);
            self.must_read_back = true;
            return;
        }
        self.acknowledged_epoch = Some(message.epoch);
        self.ceiling = self.ceiling.max(Tokens(message.ceiling));
    }

    /// Asks the witness for a higher ceiling before the current one is reached.
    pub(super) fn raise_ceiling(&mut self, cx: &mut LedgerContext) {
        let Some(witness) = self.row.witness.clone() else { return };
        let used = self.row.spent.saturating_add(self.outstanding());
        let slack = self.ceiling.saturating_sub(used);
        let target = self.target_ceiling(cx);
        let needed = self.waiting_total().saturating_add(self.requested_loans_total());
        let min_slack = Tokens(self.headroom(cx).0 / 2).saturating_add(needed).min(self.free());
        // A witness that does not know of the grant could not close it.
        let is_known = self.acknowledged_epoch == Some(self.row.epoch) || self.revision.is_none();
        if is_known && (slack >= min_slack || target <= self.ceiling) {
            return;
        }
        let is_request_open = self
            .ceiling_requested_at
            .is_some_and(|asked| cx.now.since(asked) < cx.settings.resend_after);
        if is_request_open {
            return;
        }
        self.ceiling_requested_at = Some(cx.now);
        let message = RaiseCeiling {
            account: self.name.to_string(),
            witness_incarnation: witness.incarnation.0,
            epoch: self.row.epoch,
            ceiling: target.max(self.ceiling).0,
        };
        cx.send(&witness.name, BudgetBody::Raise(message));
    }

    /// Returns the ceiling that covers outstanding tokens, waiting requests, requested loans and
    /// the headroom.
    pub(super) fn target_ceiling(&self, cx: &LedgerContext) -> Tokens {
        self.target_ceiling_with_free(cx, self.free())
    }

    /// Returns the target ceiling of a row with `free` tokens beyond the outstanding ones.
    pub(super) fn target_ceiling_with_free(&self, cx: &LedgerContext, free: Tokens) -> Tokens {
        let needed = self.waiting_total().saturating_add(self.requested_loans_total());
        let more = free.min(needed.saturating_add(self.headroom(cx)));
        self.row.spent.saturating_add(self.outstanding()).saturating_add(more)
    }

    /// Returns how far the ceiling reaches beyond the tokens that are outstanding or waited for.
    /// The headroom is larger while the table is unavailable, because no new witness can be named
    /// then.
    fn headroom(&self, cx: &LedgerContext) -> Tokens {
        let usual = self.rate.tokens_in(cx.settings.ceiling_cover, cx.now);
        if self.is_table_unavailable(cx) { usual.max(Tokens(self.free().0 / 2)) } else { usual }
    }

    /// Returns the witness that the grant row should name. The current one is kept while it is
    /// alive and not leaving.
    pub(super) fn choose_witness(&self, cx: &LedgerContext) -> Option<RouterId> {
        if cx.settings.policy == GrantRecoveryPolicy::SmallGrants {
            return None;
        }
        let present = self.row.witness.as_ref().filter(|it| cx.peers.is_staying(it));
        if present.is_some() {
            return present.cloned();
        }
        cx.peers.candidates(&cx.local, &self.name).first().map(|peer| peer.id.clone())
    }

    /// Returns whether the grant row needs a new epoch, to change the witness or to reopen the row.
    pub(super) fn needs_new_epoch(&self, cx: &LedgerContext) -> bool {
        self.revision.is_some()
            && (self.row.is_closed()
                || self.closed_epoch == Some(self.row.epoch)
                || self.choose_witness(cx) != self.row.witness)
    }
}
