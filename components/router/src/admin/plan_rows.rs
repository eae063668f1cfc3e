//! Reads the plan rows of the table.

use config::{PLAN_PREFIX, PlanRow};
use errors::{Error, ErrorKind, Result};
use platform::{Key, Precondition, Table};
use types::PlanId;

use crate::configuration::{corrupt_row_error, read_row};

/// Returns the row key of the plan `id`.
pub(super) fn plan_key(id: &PlanId) -> Key {
    Key::from_parts(&[&format!("{PLAN_PREFIX}{id}")])
}

/// Reads the plan `id`, with the precondition that its row has not changed since.
///
/// # Errors
/// `NotFound`, `StoreUnavailable`, or `Internal` if the row is corrupt.
pub(super) async fn read_plan(table: &dyn Table, id: &PlanId) -> Result<(PlanRow, Precondition)> {
    let key = plan_key(id);
    let Some(row) = read_row(table, &key).await? else {
        return Err(Error::new(ErrorKind::NotFound, "no such plan"));
    };
    let plan = row.decode().map_err(corrupt_row_error)?;
    Ok((plan, Precondition::Revision(key, row.revision)))
}
