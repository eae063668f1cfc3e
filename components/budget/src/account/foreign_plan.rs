//! Planning of the next commit of another router's grant row. This router changes the row of a dead
//! router as its witness, as a holder of its bills or as a lender to it. While draining, it also
//! changes the rows of live borrowers.

use std::collections::BTreeSet;

use platform::{Commit, Precondition, Revision, Write};
use types::{RequestKey, RouterId, Tokens};

use super::{
    Account,
    cycle::{VersionedBudget, row_or_new},
    own_plan::{WRITES_MAX, add_bill_writes, bill_budget},
};
use crate::{BudgetRow, GrantRow, budget_key, grant_key, ledger::LedgerContext};

/// A commit of another router's grant row, and the state after it.
pub(super) struct ForeignPlan {
    pub(super) commit: Commit,
    /// The other router.
    pub(super) owner: RouterId,
    /// This router's grant row after the commit, if it changes.
    pub(super) own: Option<GrantRow>,
    /// Budget row after the commit.
    pub(super) budget: BudgetRow,
    /// Requests whose bills the commit inserts.
    pub(super) requests: Vec<RequestKey>,
    /// Whether the commit closes the row.
    pub(super) closes: bool,
}

impl Account {
    /// Returns the next router whose grant row needs work. The routers take turns, so that one
    /// whose work cannot be done yet does not hold up the others.
    pub(super) fn next_foreign_owner(&self, cx: &LedgerContext) -> Option<RouterId> {
        let to_close = self
            .witnessed_ceilings
            .iter()
            .filter(|(_, witnessed)| !witnessed.is_done)
            .map(|(id, _)| id);
        let dead = to_close.chain(self.held_bills.keys()).filter(|id| cx.peers.is_dead(id));
        let borrowers = self
            .lent
            .keys()
            .filter(|id| self.lent_to(id) > Tokens::ZERO)
            .filter(|id| cx.is_draining || cx.peers.is_dead(id));
        let all: BTreeSet<&RouterId> = dead.chain(borrowers).collect();
        let last = self.last_foreign_owner.as_ref();
        let next = all.iter().find(|id| last.is_none_or(|last| **id > last));
        next.or(all.first()).map(|id| (*id).clone())
    }

    /// Plans the next commit; `None` if nothing has to change.
    pub(super) fn plan_foreign(
        &mut self,
        cx: &LedgerContext,
        budget: VersionedBudget,
        foreign: Option<(GrantRow, Revision)>,
        owner: &RouterId,
        requests: &[RequestKey],
    ) -> Result<Option<ForeignPlan>, String> {
        let (read_budget, budget_revision) = budget;
        let (read, revision) = row_or_new(foreign, owner);
        let mut row = read.clone();
        let mut own = self.row.clone();
        let mut plan = ForeignPlan {
            commit: Commit::default(),
            owner: owner.clone(),
            own: None,
            budget: read_budget,
            requests: Vec::new(),
            closes: false,
        };
        let total = self.lent.get(owner).map_or(Tokens::ZERO, |lent| lent.total);
        if own.move_loan(&mut row, total) > Tokens::ZERO {
            own.write += 1;
            plan.own = Some(own);
        }
        if cx.peers.is_dead(owner) {
            self.add_held_bills(&mut plan, &mut row, requests)?;
            if revision.is_some() {
                self.add_closing(cx, &mut plan, &mut row)?;
            } else if let Some(witnessed) = self.witnessed_ceilings.get_mut(owner) {
                witnessed.is_done = true;
            }
        }
        if row == read && plan.requests.is_empty() {
            if let Some(witnessed) = self.witnessed_ceilings.get_mut(owner).filter(|_| plan.closes)
            {
                witnessed.is_done = true;
            }
            return Ok(None);
        }
        self.add_row_writes(cx, &mut plan, &row, revision);
        if plan.budget != read_budget {
            let key = budget_key(&self.name);
            plan.commit.preconditions.push(Precondition::Revision(key.clone(), budget_revision));
            plan.commit.writes.push(Write::put(key, &plan.budget));
        }
        Ok(Some(plan))
    }

    /// Inserts the bills that this router holds for the owner. Their tokens come from the grant row
    /// or, if an operator has emptied it, from the available tokens of the budget.
    fn add_held_bills(
        &self,
        plan: &mut ForeignPlan,
        row: &mut GrantRow,
        requests: &[RequestKey],
    ) -> Result<(), String> {
        let Some(bills) = self.held_bills.get(&plan.owner) else { return Ok(()) };
        for held in requests.iter().filter_map(|request| bills.get(request)) {
            if plan.commit.writes.len() + held.with.writes.len() + 1 > WRITES_MAX {
                break;
            }
            let tokens = held.bill.tokens;
            if row.spend(tokens) {
                bill_budget(&mut plan.budget, tokens)?;
            } else if plan.budget.available() >= tokens {
                let settled = plan.budget.settled.checked_add(tokens);
                plan.budget.settled = settled.ok_or("the settled tokens overflow")?;
            } else {
                log::error!(request_id:% = held.bill.request; "no tokens left to settle a held bill");
                continue;
            }
            add_bill_writes(&mut plan.commit, held);
            plan.requests.push(held.bill.request.clone());
        }
        Ok(())
    }

    /// Closes the row if this router is its witness, and returns the tokens above the ceiling to
    /// the budget.
    fn add_closing(
        &mut self,
        cx: &LedgerContext,
        plan: &mut ForeignPlan,
        row: &mut GrantRow,
    ) -> Result<(), String> {
        let Some(witnessed) = self.witnessed_ceilings.get_mut(&plan.owner) else { return Ok(()) };
        if row.epoch < witnessed.epoch {
            return Ok(());
        }
        if row.witness.as_ref() != Some(&cx.local.id) {
            witnessed.is_done = true;
            return Ok(());
        }
        witnessed.close(row);
        let in_doubt = witnessed.ceiling.saturating_sub(row.spent).min(row.unspent);
        let returned = row.unspent.saturating_sub(in_doubt);
        row.unspent = in_doubt;
        plan.budget.granted = plan
            .budget
            .granted
            .checked_sub(returned)
            .ok_or("the budget row has fewer granted tokens than the grant row")?;
        if !row.is_closed() {
            let now_ms = cx.settings.start_unix_ms.saturating_add(cx.now.as_millis());
            row.closed_unix_ms = Some(now_ms);
        }
        plan.closes = true;
        Ok(())
    }

    fn add_row_writes(
        &self,
        cx: &LedgerContext,
        plan: &mut ForeignPlan,
        row: &GrantRow,
        revision: Option<Revision>,
    ) {
        let key = grant_key(&self.name, &plan.owner);
        plan.commit.preconditions.push(match revision {
            Some(revision) => Precondition::Revision(key.clone(), revision),
            None => Precondition::Absent(key.clone()),
        });
        if revision.is_some() || *row != GrantRow::new(plan.owner.clone()) {
            plan.commit.writes.push(Write::put(key, row));
        }
        if let (Some(own), Some(revision)) = (&plan.own, self.revision) {
            let key = grant_key(&self.name, &cx.local.id);
            plan.commit.preconditions.push(Precondition::Revision(key.clone(), revision));
            plan.commit.writes.push(Write::put(key, own));
        }
    }
}
