//! Reads the budget and deposit rows of the table.

use budget::{BudgetRow, budget_key};
use config::{DEPOSIT_PREFIX, DepositRow};
use errors::Result;
use platform::{Key, Precondition, Table};
use types::{AccountName, DepositId};

use crate::configuration::{corrupt_row_error, read_row};

/// Row with the precondition that it has not changed since it was read.
#[derive(Debug, Clone)]
pub(super) struct ReadRow<T> {
    /// Value of the row; `None` if it does not exist.
    pub(super) value: Option<T>,
    /// Precondition that fails once the row changes.
    pub(super) unchanged: Precondition,
}

/// Reads the budget row of `account`.
///
/// # Errors
/// `StoreUnavailable`, or `Internal` if the row is corrupt.
pub(super) async fn read_budget(
    table: &dyn Table,
    account: &AccountName,
) -> Result<ReadRow<BudgetRow>> {
    read(table, budget_key(account)).await
}

/// Reads the row of the deposit `id`.
///
/// # Errors
/// Same as [`read_budget`].
pub(super) async fn read_deposit(table: &dyn Table, id: &DepositId) -> Result<ReadRow<DepositRow>> {
    read(table, deposit_key(id)).await
}

/// Returns the row key of the deposit `id`.
pub(super) fn deposit_key(id: &DepositId) -> Key {
    Key::from_parts(&[&format!("{DEPOSIT_PREFIX}{id}")])
}

async fn read<T: serde::de::DeserializeOwned>(table: &dyn Table, key: Key) -> Result<ReadRow<T>> {
    match read_row(table, &key).await? {
        Some(row) => Ok(ReadRow {
            value: Some(row.decode().map_err(corrupt_row_error)?),
            unchanged: Precondition::Revision(key, row.revision),
        }),
        None => Ok(ReadRow { value: None, unchanged: Precondition::Absent(key) }),
    }
}
