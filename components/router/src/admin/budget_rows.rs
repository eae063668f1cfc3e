//! Budget rows of the table.

use budget::{BudgetRow, budget_key};
use config::{DEPOSIT_PREFIX, DepositRow};
use errors::Result;
use platform::{Key, Precondition, Table};
use types::{AccountName, DepositId};

use crate::configuration::{read_row, store_corrupt};

/// A row as it was read, with the precondition that it is still so.
#[derive(Debug, Clone)]
pub(super) struct ReadRow<T> {
    /// Value; `None` where there is no row.
    pub(super) value: Option<T>,
    /// Holds until the row changes.
    pub(super) unchanged: Precondition,
}

/// Reads the budget row of `account`.
///
/// # Errors
/// `StoreUnavailable`, or `Internal` where the row is corrupt.
pub(super) async fn read_budget(
    table: &dyn Table,
    account: &AccountName,
) -> Result<ReadRow<BudgetRow>> {
    read(table, budget_key(account)).await
}

/// Reads the row of the deposit `id`.
///
/// # Errors
/// As [`read_budget`].
pub(super) async fn read_deposit(table: &dyn Table, id: &DepositId) -> Result<ReadRow<DepositRow>> {
    read(table, deposit_key(id)).await
}

/// Returns the key of the row of the deposit `id`.
pub(super) fn deposit_key(id: &DepositId) -> Key {
    Key::from_parts(&[&format!("{DEPOSIT_PREFIX}{id}")])
}

async fn read<T: serde::de::DeserializeOwned>(table: &dyn Table, key: Key) -> Result<ReadRow<T>> {
    match read_row(table, &key).await? {
        Some(row) => Ok(ReadRow {
            value: Some(row.decode().map_err(store_corrupt)?),
            unchanged: Precondition::Revision(key, row.revision),
        }),
        None => Ok(ReadRow { value: None, unchanged: Precondition::Absent(key) }),
    }
}
