//! Tokens in doubt: unspent tokens in the grant rows of dead routers.

use platform::{Commit, Precondition, Row, Write};
use serde::Serialize;
use thiserror::Error;
use types::{AccountName, RouterId, Tokens};

use crate::{BudgetRow, GrantRow, budget_key, grant_key};

/// Tokens of an account that may or may not have been spent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InDoubt {
    /// Client account.
    pub account: AccountName,
    /// Router process that may have spent the tokens, and may still bill them if it resumes.
    pub router: RouterId,
    /// Number of tokens in doubt.
    pub tokens: Tokens,
    /// Wall clock time at which a witness closed the row, in milliseconds of Unix time; `None` if
    /// the row is not closed.
    pub since_unix_ms: Option<u64>,
}

/// Why tokens in doubt cannot be resolved.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ResolveError {
    /// One of the rows is missing.
    #[error("row {0} does not exist")]
    Missing(String),
    /// One of the rows cannot be decoded.
    #[error(transparent)]
    Unreadable(#[from] platform::RowError),
    /// The row is empty, or it is open and its router is alive.
    #[error("router {0} has no tokens in doubt")]
    NotInDoubt(RouterId),
    /// The operator reported more tokens as spent than are in doubt.
    #[error("{spent} tokens were reported as spent, but only {in_doubt} are in doubt")]
    TooMany {
        /// Tokens reported as spent.
        spent: Tokens,
        /// Tokens in doubt.
        in_doubt: Tokens,
    },
    /// The budget row and the grant row contradict each other.
    #[error("the budget row has fewer granted tokens than the grant row")]
    Inconsistent,
}

/// Lists the tokens in doubt among the grant rows of `account`: those of rows that are closed or
/// whose router is not in `live`. Rows that cannot be decoded are returned as errors.
pub fn list_in_doubt(
    account: &AccountName,
    rows: &[Row],
    live: &[RouterId],
) -> Vec<Result<InDoubt, platform::RowError>> {
    rows.iter()
        .map(Row::decode::<GrantRow>)
        .filter(|row| row.as_ref().map_or(true, |row| is_in_doubt(row, live)))
        .map(|row| {
            row.map(|row| InDoubt {
                account: account.clone(),
                tokens: row.unspent,
                since_unix_ms: row.closed_unix_ms,
                router: row.router,
            })
        })
        .collect()
}

/// Returns the commit that resolves the tokens in doubt of a router by an operator's decision:
/// `spent` tokens count as settled, and the rest returns to the budget. The grant row stays, closed
/// and empty, so that its counters are never reused. `rows` are the budget row and the grant row.
///
/// # Errors
/// If a row is missing or cannot be decoded, the router is alive and its row open, the rows
/// contradict each other, or `spent` exceeds the tokens in doubt.
pub fn resolve_in_doubt(
    account: &AccountName,
    router: &RouterId,
    spent: Tokens,
    rows: (Option<&Row>, Option<&Row>),
    live: &[RouterId],
    now_unix_ms: u64,
) -> Result<Commit, ResolveError> {
    let (budget_row, grant_row) = rows;
    let (budget_key, grant_key) = (budget_key(account), grant_key(account, router));
    let budget_row = budget_row.ok_or_else(|| ResolveError::Missing(budget_key.to_string()))?;
    let grant_row = grant_row.ok_or_else(|| ResolveError::Missing(grant_key.to_string()))?;
    let mut budget: BudgetRow = budget_row.decode()?;
    let mut grant: GrantRow = grant_row.decode()?;
    if !is_in_doubt(&grant, live) {
        return Err(ResolveError::NotInDoubt(router.clone()));
    }
    let in_doubt = grant.unspent;
    let granted = budget.granted.checked_sub(in_doubt).ok_or(ResolveError::Inconsistent)?;
    let settled = budget.settled.checked_add(spent).ok_or(ResolveError::Inconsistent)?;
    if !grant.spend(spent) {
        return Err(ResolveError::TooMany { spent, in_doubt });
    }
    budget = BudgetRow { granted, settled, ..budget };
    grant.unspent = Tokens::ZERO;
    grant.closed_unix_ms.get_or_insert(now_unix_ms);
    Ok(Commit {
        preconditions: vec![
            Precondition::Revision(budget_key.clone(), budget_row.revision),
            Precondition::Revision(grant_key.clone(), grant_row.revision),
        ],
        writes: vec![Write::put(budget_key, &budget), Write::put(grant_key, &grant)],
    })
}

fn is_in_doubt(row: &GrantRow, live: &[RouterId]) -> bool {
    row.unspent > Tokens::ZERO && (row.is_closed() || !live.contains(&row.router))
}
