//! Update cycles: read the rows, plan a commit from them, commit it.
//!
//! Each account has at most one call to the table in flight. Every plan is derived from the rows
//! just read, so a commit of unknown outcome needs no handling beyond the next read.

use std::time::Duration;

use platform::{CommitOutcome, Key, PlatformError, Revision, Row};
use types::{RequestKey, RouterId, Tokens};
use utils::jitter;

use super::{
    Account,
    foreign_plan::ForeignPlan,
    own_plan::OwnPlan,
    own_row::{UnconfirmedCommit, decode_grant},
};
use crate::{
    Action, Bill, BudgetRow, CallId, GrantRow, bill_key, budget_key, grant_key,
    ledger::LedgerContext,
};

/// Maximum number of bills in one commit.
const BILL_BATCH_MAX: usize = 120;

/// Maximum number of lenders whose loans one commit moves.
const LENDER_BATCH_MAX: usize = 16;

/// Mean delay before the rows are read again after a commit that conflicted or whose outcome is
/// unknown.
const CONFLICT_DELAY: Duration = Duration::from_millis(10);

/// Mean delay before the next call after the table was unreachable or rejected a call.
const FAILURE_DELAY: Duration = Duration::from_millis(400);

/// Time without an answer after which the table counts as unavailable.
const TABLE_UNAVAILABLE_AFTER: Duration = Duration::from_secs(1);

/// Time for which an unused account keeps its grant.
const UNUSED_GRANT_RETENTION: Duration = Duration::from_secs(60);

/// A call to the table in flight.
pub(super) struct Call {
    id: CallId,
    /// What the call does.
    stage: Stage,
}

enum Stage {
    /// Reads the budget row, the grant rows of this router and of the lenders, and the bills of
    /// `seqs`.
    ReadOwn { lenders: Vec<RouterId>, seqs: Vec<u64> },
    /// Commits this router's grant row.
    CommitOwn(Box<OwnPlan>),
    /// Reads the budget row, the grant rows of this router and of `owner`, and the bills held for
    /// `owner`.
    ReadForeign { owner: RouterId, requests: Vec<RequestKey> },
    /// Commits the grant row of another router.
    CommitForeign(Box<ForeignPlan>),
}

/// Budget row and its revision.
pub(super) type VersionedBudget = (BudgetRow, Revision);

impl Account {
    /// Returns whether the table has not answered for [`TABLE_UNAVAILABLE_AFTER`].
    pub(super) fn is_table_unavailable(&self, cx: &LedgerContext) -> bool {
        self.failing_since.is_some_and(|since| cx.now.since(since) >= TABLE_UNAVAILABLE_AFTER)
    }

    /// Starts a call to the table if one is due.
    pub(super) fn start_cycle(&mut self, cx: &mut LedgerContext) {
        if self.call.is_some() {
            return;
        }
        let is_idle_due = cx.now >= self.next_idle_at;
        if cx.now >= self.next_urgent_at && self.has_urgent_work(cx) {
            self.read_own(cx);
        } else if is_idle_due && let Some(owner) = self.next_foreign_owner(cx) {
            self.next_idle_at = cx.now + cx.settings.commit_gap;
            self.last_foreign_owner = Some(owner.clone());
            self.read_foreign(cx, owner);
        } else if is_idle_due && self.has_idle_work(cx) {
            self.next_idle_at = cx.now + jitter(cx.settings.idle_gap, &mut cx.rng);
            self.read_own(cx);
        }
    }

    fn has_urgent_work(&self, cx: &LedgerContext) -> bool {
        let is_short = self.waiting.front().is_some_and(|first| first.tokens > self.free());
        is_short
            || self.must_read_back
            || !self.unconfirmed.is_empty()
            || !self.bills.is_empty()
            || self.needs_new_epoch(cx)
            || (cx.is_draining && !self.is_drained())
    }

    fn has_idle_work(&self, cx: &LedgerContext) -> bool {
        let is_low = self.is_used(cx) && self.free().0 < self.target_free(cx).0 / 2;
        is_low || self.borrowed_total() > Tokens::ZERO || self.excess(cx) > Tokens::ZERO
    }

    fn is_used(&self, cx: &LedgerContext) -> bool {
        !self.waiting.is_empty()
            || self.outstanding() > Tokens::ZERO
            || self.last_used.is_some_and(|used| cx.now.since(used) < UNUSED_GRANT_RETENTION)
    }

    /// Returns the number of free tokens that this router aims to hold.
    pub(super) fn target_free(&self, cx: &LedgerContext) -> Tokens {
        if cx.is_draining || !self.is_used(cx) {
            return Tokens::ZERO;
        }
        let has_witness = self.choose_witness(cx).is_some();
        let size = if has_witness { cx.settings.witnessed_grant } else { cx.settings.small_grant };
        self.rate.tokens_in(size.cover, cx.now).max(size.min)
    }

    /// Returns the free tokens to return to the budget.
    pub(super) fn excess(&self, cx: &LedgerContext) -> Tokens {
        let target = self.target_free(cx);
        let free = self.free();
        let is_excessive = free.0 / 2 > target.0 || target == Tokens::ZERO;
        if is_excessive && self.waiting.is_empty() {
            free.saturating_sub(target).min(self.row.unspent.saturating_sub(self.outstanding()))
        } else {
            Tokens::ZERO
        }
    }

    fn read_own(&mut self, cx: &mut LedgerContext) {
        let lenders: Vec<RouterId> = self
            .borrowed
            .keys()
            .filter(|lender| self.borrowed_from(lender) > Tokens::ZERO)
            .take(LENDER_BATCH_MAX)
            .cloned()
            .collect();
        let seqs: Vec<u64> = self.bills.keys().take(BILL_BATCH_MAX).copied().collect();
        let mut keys = vec![budget_key(&self.name), grant_key(&self.name, &cx.local.id)];
        keys.extend(lenders.iter().map(|lender| grant_key(&self.name, lender)));
        let bills = seqs.iter().filter_map(|seq| self.bills.get(seq));
        keys.extend(bills.map(|pending| bill_key(&pending.held.bill.request)));
        self.read(cx, keys, Stage::ReadOwn { lenders, seqs });
    }

    fn read_foreign(&mut self, cx: &mut LedgerContext, owner: RouterId) {
        let held = self.held_bills.get(&owner);
        let requests: Vec<RequestKey> =
            held.into_iter().flat_map(|bills| bills.keys()).take(BILL_BATCH_MAX).cloned().collect();
        let mut keys = vec![
            budget_key(&self.name),
            grant_key(&self.name, &cx.local.id),
            grant_key(&self.name, &owner),
        ];
        keys.extend(requests.iter().map(bill_key));
        self.read(cx, keys, Stage::ReadForeign { owner, requests });
    }

    fn read(&mut self, cx: &mut LedgerContext, keys: Vec<Key>, stage: Stage) {
        let id = cx.new_call(&self.name);
        self.call = Some(Call { id, stage });
        cx.actions.push(Action::Read { call: id, keys });
    }

    /// Continues a cycle with the rows that were read.
    pub(crate) fn on_rows(
        &mut self,
        cx: &mut LedgerContext,
        call: CallId,
        rows: Result<Vec<Option<Row>>, PlatformError>,
    ) {
        let Some(in_flight) = self.call.take_if(|it| it.id == call) else { return };
        let rows = match rows {
            Ok(rows) => rows,
            Err(_) => return self.record_failure(cx),
        };
        self.failing_since = None;
        self.next_urgent_at = cx.now + self.commit_gap(cx);
        let result = match in_flight.stage {
            Stage::ReadOwn { lenders, seqs } => self.plan_own_cycle(cx, &rows, &lenders, &seqs),
            Stage::ReadForeign { owner, requests } => {
                self.plan_foreign_cycle(cx, &rows, &owner, &requests)
            }
            Stage::CommitOwn(_) | Stage::CommitForeign(_) => return,
        };
        self.budget_read = Some(cx.now);
        self.row_fault = result.err();
        if let Some(message) = &self.row_fault {
            log::error!(account:% = self.name; "the rows of the budget cannot be used: {message}");
        }
    }

    fn plan_own_cycle(
        &mut self,
        cx: &mut LedgerContext,
        rows: &[Option<Row>],
        lenders: &[RouterId],
        seqs: &[u64],
    ) -> Result<(), String> {
        let mut rows = rows.iter().map(Option::as_ref);
        let budget = decode_budget(rows.next().flatten())?;
        let own = decode_grant(rows.next().flatten(), &cx.local.id)?;
        let mut lender_rows = Vec::new();
        for lender in lenders {
            lender_rows.extend(decode_grant(rows.next().flatten(), lender)?);
        }
        let mut billed = Vec::new();
        for seq in seqs {
            if let Some(row) = rows.next().flatten() {
                billed.push((*seq, row.decode::<Bill>().map_err(|error| error.to_string())?));
            }
        }
        self.must_read_back = false;
        self.write_off_loans(cx, lenders, &lender_rows);
        self.budget = budget.map(|(row, _)| row);
        self.adopt_row(own);
        for (seq, bill) in &billed {
            self.finish_bill(cx, *seq, bill);
        }
        let Some(budget) = budget else { return Ok(()) };
        let plan = self.plan_own(cx, budget, lender_rows, seqs)?;
        if let Some(plan) = plan {
            self.commit_own(cx, plan);
        }
        Ok(())
    }

    fn commit_own(&mut self, cx: &mut LedgerContext, plan: OwnPlan) {
        let id = cx.new_call(&self.name);
        self.unconfirmed.push(plan.unconfirmed.clone());
        cx.actions.push(Action::Commit { call: id, commit: plan.commit.clone() });
        self.call = Some(Call { id, stage: Stage::CommitOwn(Box::new(plan)) });
    }

    fn plan_foreign_cycle(
        &mut self,
        cx: &mut LedgerContext,
        rows: &[Option<Row>],
        owner: &RouterId,
        requests: &[RequestKey],
    ) -> Result<(), String> {
        let mut rows = rows.iter().map(Option::as_ref);
        let budget = decode_budget(rows.next().flatten())?;
        let own = decode_grant(rows.next().flatten(), &cx.local.id)?;
        let foreign = decode_grant(rows.next().flatten(), owner)?;
        for request in requests {
            if rows.next().flatten().is_some() {
                self.forget_held_bill(owner, request);
            }
        }
        self.budget = budget.map(|(row, _)| row);
        self.adopt_row(own);
        let Some(budget) = budget else { return Ok(()) };
        let Some(plan) = self.plan_foreign(cx, budget, foreign, owner, requests)? else {
            return Ok(());
        };
        let id = cx.new_call(&self.name);
        if plan.own.is_some() {
            let base = self.revision;
            self.unconfirmed.push(UnconfirmedCommit {
                base,
                returning: Tokens::ZERO,
                ceiling: None,
            });
        }
        cx.actions.push(Action::Commit { call: id, commit: plan.commit.clone() });
        self.call = Some(Call { id, stage: Stage::CommitForeign(Box::new(plan)) });
        Ok(())
    }

    /// Continues a cycle with the outcome of its commit.
    pub(crate) fn on_committed(
        &mut self,
        cx: &mut LedgerContext,
        call: CallId,
        outcome: CommitOutcome,
    ) {
        let Some(in_flight) = self.call.take_if(|it| it.id == call) else { return };
        if let CommitOutcome::Unknown = outcome {
            self.must_read_back = true;
            self.next_urgent_at = cx.now + jitter(CONFLICT_DELAY, &mut cx.rng);
            return;
        }
        match in_flight.stage {
            Stage::CommitOwn(plan) => self.on_own_committed(cx, *plan, outcome),
            Stage::CommitForeign(plan) => self.on_foreign_committed(cx, *plan, outcome),
            Stage::ReadOwn { .. } | Stage::ReadForeign { .. } => {}
        }
    }

    fn on_own_committed(&mut self, cx: &mut LedgerContext, plan: OwnPlan, outcome: CommitOutcome) {
        match outcome {
            CommitOutcome::Committed(revision) => {
                self.failing_since = None;
                self.budget = Some(plan.budget);
                self.next_urgent_at = cx.now + self.commit_gap(cx);
                let revision = Some(revision).filter(|_| !plan.is_deleted);
                self.adopt_committed(plan.row, revision);
                for seq in plan.seqs {
                    let bill = self.bills.get(&seq).map(|pending| pending.held.bill.clone());
                    if let Some(bill) = bill {
                        self.finish_bill(cx, seq, &bill);
                    }
                }
            }
            CommitOutcome::Conflict(key) => {
                self.unconfirmed.pop();
                self.count_attached_conflict(&key, &plan.seqs);
                self.retry_after_conflict(cx);
            }
            CommitOutcome::NotApplied(_) | CommitOutcome::Unknown => {
                self.unconfirmed.pop();
                self.record_failure(cx);
            }
        }
    }

    fn on_foreign_committed(
        &mut self,
        cx: &mut LedgerContext,
        plan: ForeignPlan,
        outcome: CommitOutcome,
    ) {
        match outcome {
            CommitOutcome::Committed(revision) => {
                self.failing_since = None;
                self.budget = Some(plan.budget);
                if let Some(own) = plan.own {
                    self.adopt_committed(own, Some(revision));
                }
                for request in &plan.requests {
                    self.forget_held_bill(&plan.owner, request);
                }
                if plan.closes
                    && let Some(witnessed) = self.witnessed_ceilings.get_mut(&plan.owner)
                {
                    witnessed.is_done = true;
                }
            }
            CommitOutcome::Conflict(_) => {
                if plan.own.is_some() {
                    self.unconfirmed.pop();
                }
                self.retry_after_conflict(cx);
            }
            CommitOutcome::NotApplied(_) | CommitOutcome::Unknown => {
                if plan.own.is_some() {
                    self.unconfirmed.pop();
                }
                self.record_failure(cx);
            }
        }
    }

    fn retry_after_conflict(&mut self, cx: &mut LedgerContext) {
        let due = cx.now + jitter(CONFLICT_DELAY, &mut cx.rng);
        self.next_urgent_at = due;
        self.next_idle_at = self.next_idle_at.min(due);
    }

    fn record_failure(&mut self, cx: &mut LedgerContext) {
        self.failing_since.get_or_insert(cx.now);
        let due = cx.now + jitter(FAILURE_DELAY, &mut cx.rng);
        self.next_urgent_at = due;
        self.next_idle_at = self.next_idle_at.max(due);
    }

    /// Returns the minimum time between two commits, which keeps the writes of all routers together
    /// far below the write limit of the table.
    fn commit_gap(&self, cx: &LedgerContext) -> Duration {
        cx.settings.commit_gap.max(cx.busy_gap)
    }
}

/// Decodes the budget row and checks its invariant.
pub(super) fn decode_budget(row: Option<&Row>) -> Result<Option<VersionedBudget>, String> {
    let Some(row) = row else { return Ok(None) };
    let budget: BudgetRow = row.decode().map_err(|error| error.to_string())?;
    let used = budget.settled.checked_add(budget.granted);
    if used.is_none_or(|used| used > budget.deposited) {
        return Err(format!("row {} violates settled + granted <= deposited", row.key));
    }
    Ok(Some((budget, row.revision)))
}

/// Returns the grant row that was read and its revision, or an empty row of `router`.
pub(super) fn row_or_new(
    read: Option<(GrantRow, Revision)>,
    router: &RouterId,
) -> (GrantRow, Option<Revision>) {
    match read {
        Some((row, revision)) => (row, Some(revision)),
        None => (GrantRow::new(router.clone()), None),
    }
}
