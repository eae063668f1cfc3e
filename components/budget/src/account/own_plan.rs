//! Planning of the next commit of this router's own grant row.

use platform::{Commit, Precondition, Revision, Write};
use types::Tokens;

use super::{Account, cycle::VersionedBudget, own_row::UnconfirmedCommit};
use crate::{BudgetRow, GrantRow, bill_key, budget_key, grant_key, ledger::LedgerContext};

/// Maximum number of writes in one commit; below the limit of the table.
pub(super) const WRITES_MAX: usize = 400;

/// A commit of this router's grant row, and the state after it.
pub(super) struct OwnPlan {
    pub(super) commit: Commit,
    /// Grant row after the commit.
    pub(super) row: GrantRow,
    /// Whether the commit deletes the grant row.
    pub(super) is_deleted: bool,
    /// Budget row after the commit.
    pub(super) budget: BudgetRow,
    /// Sequence numbers of the bills that the commit inserts.
    pub(super) seqs: Vec<u64>,
    /// Effects to assume until the outcome of the commit is known.
    pub(super) unconfirmed: UnconfirmedCommit,
}

/// A commit under construction.
struct Draft {
    commit: Commit,
    /// Grant row so far.
    row: GrantRow,
    /// Budget row so far.
    budget: BudgetRow,
    /// Sequence numbers of the bills added so far.
    seqs: Vec<u64>,
    /// Tokens granted from the budget.
    newly_granted: Tokens,
    /// Tokens returned to the budget.
    returning: Tokens,
    /// Ceiling written to the row if the commit starts a new epoch.
    ceiling: Option<Tokens>,
}

impl Account {
    /// Plans the next commit from the rows that were read; `None` if nothing has to change.
    pub(super) fn plan_own(
        &self,
        cx: &LedgerContext,
        budget: VersionedBudget,
        lenders: Vec<(GrantRow, Revision)>,
        seqs: &[u64],
    ) -> Result<Option<OwnPlan>, String> {
        let (budget, budget_revision) = budget;
        let mut draft = Draft {
            commit: Commit::default(),
            row: self.row.clone(),
            budget,
            seqs: Vec::new(),
            newly_granted: Tokens::ZERO,
            returning: Tokens::ZERO,
            ceiling: None,
        };
        self.add_moves(&mut draft, lenders);
        self.add_grant(cx, &mut draft)?;
        self.add_bills(&mut draft, seqs)?;
        self.add_return(cx, &mut draft)?;
        self.add_epoch(cx, &mut draft);
        let is_deleted = cx.is_draining
            && self.revision.is_some()
            && self.outstanding() == Tokens::ZERO
            && draft.row.unspent == Tokens::ZERO
            && self.borrowed.keys().all(|it| self.is_loan_moved(&draft.row, it));
        let is_unchanged = draft.row == self.row && draft.seqs.is_empty();
        if is_unchanged && self.unconfirmed.is_empty() && !is_deleted {
            return Ok(None);
        }
        Ok(Some(self.finish_plan(cx, draft, (budget, budget_revision), is_deleted)))
    }

    fn is_loan_moved(&self, row: &GrantRow, lender: &types::RouterId) -> bool {
        self.borrowed.get(lender).is_none_or(|total| row.received_from(lender) >= *total)
    }

    /// Moves loans from the grant rows of the lenders to this router's row.
    fn add_moves(&self, draft: &mut Draft, lenders: Vec<(GrantRow, Revision)>) {
        for (mut lender, revision) in lenders {
            let total = self.borrowed.get(&lender.router).copied().unwrap_or_default();
            if lender.move_loan(&mut draft.row, total) > Tokens::ZERO {
                let key = grant_key(&self.name, &lender.router);
                draft.commit.preconditions.push(Precondition::Revision(key.clone(), revision));
                draft.commit.writes.push(Write::put(key, &lender));
            }
        }
    }

    /// Grants tokens from the budget: the shortfall or, if larger, a refill of the free tokens. The
    /// refill is limited to a share of the available tokens, so that one router does not take the
    /// rest of a nearly used up budget.
    fn add_grant(&self, cx: &LedgerContext, draft: &mut Draft) -> Result<(), String> {
        let available = draft.budget.available();
        let needed = self.outstanding().saturating_add(self.waiting_total());
        let shortfall = needed.saturating_sub(self.backing());
        let target = self.target_free(cx);
        let free = self.free();
        let is_low = free.0 < target.0 / 2;
        let routers = cx.peers.live().len() as u64 + 1;
        let share = Tokens(available.0 / (2 * routers));
        let refill = if is_low { target.saturating_sub(free).min(share) } else { Tokens::ZERO };
        let tokens = shortfall.max(refill).min(available);
        let sum =
            draft.row.unspent.checked_add(tokens).zip(draft.budget.granted.checked_add(tokens));
        let (unspent, granted) = sum.ok_or("the granted tokens overflow")?;
        draft.row.unspent = unspent;
        draft.budget.granted = granted;
        draft.newly_granted = tokens;
        Ok(())
    }

    /// Inserts the pending bills that the unspent tokens of the grant row cover.
    fn add_bills(&self, draft: &mut Draft, seqs: &[u64]) -> Result<(), String> {
        for seq in seqs {
            let Some(pending) = self.bills.get(seq) else { continue };
            let held = &pending.held;
            let writes = draft.commit.writes.len() + held.with.writes.len() + 1;
            if writes > WRITES_MAX {
                break;
            }
            if !draft.row.spend(held.bill.tokens) {
                continue;
            }
            bill_budget(&mut draft.budget, held.bill.tokens)?;
            add_bill_writes(&mut draft.commit, held);
            draft.seqs.push(*seq);
        }
        Ok(())
    }

    /// Returns excess tokens to the budget.
    fn add_return(&self, cx: &LedgerContext, draft: &mut Draft) -> Result<(), String> {
        let tokens = self.excess(cx).min(draft.row.unspent);
        if tokens == Tokens::ZERO {
            return Ok(());
        }
        draft.row.unspent = draft.row.unspent.saturating_sub(tokens);
        draft.budget.granted = draft
            .budget
            .granted
            .checked_sub(tokens)
            .ok_or("the budget row has fewer granted tokens than the grant row")?;
        draft.returning = tokens;
        Ok(())
    }

    /// Starts a new epoch if the row is closed or needs another witness; otherwise raises the
    /// ceiling in the row if the row changes anyway.
    fn add_epoch(&self, cx: &LedgerContext, draft: &mut Draft) {
        let witness = self.choose_witness(cx);
        let is_new = draft.row.is_closed()
            || witness != draft.row.witness
            || self.closed_epoch == Some(draft.row.epoch);
        if is_new {
            draft.row.epoch += 1;
            draft.row.witness = witness;
            draft.row.closed_unix_ms = None;
            let free =
                self.free().saturating_add(draft.newly_granted).saturating_sub(draft.returning);
            draft.row.ceiling = self.target_ceiling_with_free(cx, free);
            draft.ceiling = Some(draft.row.ceiling);
        } else if draft.row != self.row {
            draft.row.ceiling = draft.row.ceiling.max(self.ceiling);
        }
    }

    fn finish_plan(
        &self,
        cx: &LedgerContext,
        mut draft: Draft,
        read: VersionedBudget,
        is_deleted: bool,
    ) -> OwnPlan {
        let (budget, budget_revision) = read;
        draft.row.write += 1;
        let key = grant_key(&self.name, &cx.local.id);
        draft.commit.preconditions.push(match self.revision {
            Some(revision) => Precondition::Revision(key.clone(), revision),
            None => Precondition::Absent(key.clone()),
        });
        draft.commit.writes.push(if is_deleted {
            Write::delete(key)
        } else {
            Write::put(key, &draft.row)
        });
        if draft.budget != budget {
            let key = budget_key(&self.name);
            draft.commit.preconditions.push(Precondition::Revision(key.clone(), budget_revision));
            draft.commit.writes.push(Write::put(key, &draft.budget));
        }
        OwnPlan {
            commit: draft.commit,
            row: draft.row,
            is_deleted,
            budget: draft.budget,
            seqs: draft.seqs,
            unconfirmed: UnconfirmedCommit {
                base: self.revision,
                returning: draft.returning,
                ceiling: draft.ceiling,
            },
        }
    }
}

/// Moves the tokens of a bill from granted to settled.
pub(super) fn bill_budget(budget: &mut BudgetRow, tokens: Tokens) -> Result<(), String> {
    budget.granted = budget
        .granted
        .checked_sub(tokens)
        .ok_or("the budget row has fewer granted tokens than the grant row")?;
    budget.settled = budget.settled.checked_add(tokens).ok_or("the settled tokens overflow")?;
    Ok(())
}

/// Adds to a commit the row of a bill and the writes that go along with it.
pub(super) fn add_bill_writes(commit: &mut Commit, held: &crate::HeldBill) {
    let key = bill_key(&held.bill.request);
    commit.preconditions.push(Precondition::Absent(key.clone()));
    commit.writes.push(Write::put(key, &held.bill));
    commit.preconditions.extend(held.with.preconditions.iter().cloned());
    commit.writes.extend(held.with.writes.iter().cloned());
}
