//! Accounting with two commits for each request: the baseline that needs no grants.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use async_trait::async_trait;
use budget::{Bill, BudgetRow, SettleOutcome, bill_key, budget_key};
use errors::{Error, ErrorKind, Result};
use platform::{Commit, CommitOutcome, Key, PlatformError, Precondition, Row, Table, Write};
use types::{AccountName, Timestamp, Tokens};

use super::{Accounting, Reservation, ReserveRequest};
use crate::Clock;

/// Accounting with one commit to reserve and one to settle each request.
pub struct PerRequestAccounting {
    /// The platform's table.
    table: Arc<dyn Table>,
    /// Clock.
    clock: Clock,
    /// Number of the next reservation.
    next_id: AtomicU64,
}

impl PerRequestAccounting {
    /// Creates the accounting over `table`.
    pub fn new(table: Arc<dyn Table>, clock: Clock) -> PerRequestAccounting {
        PerRequestAccounting { table, clock, next_id: AtomicU64::new(1) }
    }

    async fn read_budget(&self, account: &AccountName) -> Result<(Row, BudgetRow)> {
        let key = budget_key(account);
        let rows = self.table.read(&[key]).await.map_err(store_error)?;
        let Some(row) = rows.into_iter().next().flatten() else {
            return Err(Error::new(ErrorKind::BudgetExhausted, "the account has no deposit"));
        };
        let budget = row
            .decode()
            .map_err(|error| Error::new(ErrorKind::StoreUnavailable, error.to_string()))?;
        Ok((row, budget))
    }

    /// Reserves once; `None` where another router changed the budget meanwhile.
    async fn try_reserve(&self, req: &ReserveRequest) -> Result<Option<Reservation>> {
        let (row, budget) = self.read_budget(&req.account).await?;
        if budget.available() < req.tokens {
            return Err(shortage(&budget, req.tokens));
        }
        let granted = budget.granted.saturating_add(req.tokens);
        match self.table.commit(&replace(&row, &BudgetRow { granted, ..budget })).await {
            CommitOutcome::Committed(_) => Ok(Some(Reservation {
                id: self.next_id.fetch_add(1, Ordering::Relaxed),
                account: req.account.clone(),
                tokens: req.tokens,
            })),
            CommitOutcome::Conflict(_) => Ok(None),
            CommitOutcome::NotApplied(error) => Err(store_error(error)),
            // The tokens may stay reserved for ever; they are never spent twice.
            CommitOutcome::Unknown => {
                Err(Error::new(ErrorKind::StoreUnavailable, "the commit's answer was lost"))
            }
        }
    }

    /// Settles once; `None` where it is to be tried again.
    async fn try_settle(
        &self,
        reservation: &Reservation,
        bill: &Bill,
        with: &Commit,
    ) -> Result<Option<SettleOutcome>> {
        let bill_row = bill_key(&bill.request);
        if let Some(billed) = self.find_bill(&bill_row).await? {
            let is_own = billed.router == bill.router && billed.tokens == bill.tokens;
            return Ok(Some(if is_own {
                SettleOutcome::Billed
            } else {
                SettleOutcome::AlreadyBilled
            }));
        }
        let (row, budget) = self.read_budget(&reservation.account).await?;
        let settled = BudgetRow {
            granted: budget.granted.saturating_sub(reservation.tokens),
            settled: budget.settled.saturating_add(bill.tokens),
            ..budget
        };
        let mut commit = replace(&row, &settled);
        commit.preconditions.push(Precondition::Absent(bill_row.clone()));
        commit.writes.push(Write::put(bill_row, bill));
        commit.preconditions.extend(with.preconditions.iter().cloned());
        commit.writes.extend(with.writes.iter().cloned());
        match self.table.commit(&commit).await {
            CommitOutcome::Committed(_) => Ok(Some(SettleOutcome::Billed)),
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown => Ok(None),
            CommitOutcome::NotApplied(error) => Err(store_error(error)),
        }
    }

    async fn find_bill(&self, key: &Key) -> Result<Option<Bill>> {
        let rows = self.table.read(std::slice::from_ref(key)).await.map_err(store_error)?;
        let row = rows.into_iter().next().flatten();
        row.map(|row| row.decode())
            .transpose()
            .map_err(|error| Error::new(ErrorKind::StoreUnavailable, error.to_string()))
    }
}

#[async_trait]
impl Accounting for PerRequestAccounting {
    async fn reserve(&self, req: &ReserveRequest) -> Result<Reservation> {
        let patience = self.clock.now() + req.shortage.max_wait;
        let deadline = patience.min(req.deadline);
        loop {
            match self.try_reserve(req).await {
                Ok(Some(reservation)) => return Ok(reservation),
                Ok(None) => {}
                Err(error) if error.kind() == ErrorKind::BudgetShort => {
                    if self.clock.now() >= deadline {
                        return Err(error);
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Does nothing: a lower reservation would cost a further commit.
    fn shrink(&self, _reservation: &mut Reservation, _tokens: Tokens) {}

    fn release(&self, reservation: Reservation) {
        let (table, account) = (self.table.clone(), reservation.account);
        tokio::spawn(async move {
            for _ in 0..RELEASE_TRIES {
                if try_release(&*table, &account, reservation.tokens).await {
                    return;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            log::warn!(account:% = account; "reserved tokens were not released");
        });
    }

    async fn settle(
        &self,
        reservation: Reservation,
        bill: Bill,
        with: Commit,
        deadline: Timestamp,
    ) -> Result<SettleOutcome> {
        while self.clock.now() < deadline {
            if let Ok(Some(outcome)) = self.try_settle(&reservation, &bill, &with).await {
                return Ok(outcome);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(Error::new(ErrorKind::BillNotDurable, "the table did not take the bill in time"))
    }

    async fn drain(&self, _deadline: Timestamp) -> Result<()> {
        Ok(())
    }
}

const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);
const RELEASE_TRIES: u32 = 100;

/// Gives tokens back once; true where nothing is left to do.
async fn try_release(table: &dyn Table, account: &AccountName, tokens: Tokens) -> bool {
    let Ok(mut rows) = table.read(&[budget_key(account)]).await else { return false };
    let Some(row) = rows.pop().flatten() else { return true };
    let Ok(budget) = row.decode::<BudgetRow>() else { return true };
    let granted = budget.granted.saturating_sub(tokens);
    let commit = replace(&row, &BudgetRow { granted, ..budget });
    // After an unknown outcome a second try might give back another's reservation.
    matches!(table.commit(&commit).await, CommitOutcome::Committed(_) | CommitOutcome::Unknown)
}

fn replace(row: &Row, budget: &BudgetRow) -> Commit {
    Commit {
        preconditions: vec![Precondition::Revision(row.key.clone(), row.revision)],
        writes: vec![Write::put(row.key.clone(), budget)],
    }
}

fn shortage(budget: &BudgetRow, wanted: Tokens) -> Error {
    let unbilled = budget.deposited.saturating_sub(budget.settled);
    if unbilled < wanted {
        let message = format!("{unbilled} tokens are left of the budget, {wanted} are needed");
        Error::new(ErrorKind::BudgetExhausted, message)
    } else {
        Error::new(ErrorKind::BudgetShort, "the rest of the budget is reserved for now")
    }
}

fn store_error(error: PlatformError) -> Error {
    Error::new(ErrorKind::StoreUnavailable, error.to_string())
}
