//! Plan rows of the table.

use config::{PLAN_PREFIX, PlanRow};
use errors::{Error, ErrorKind, Result};
use platform::{Key, Precondition, Table};
use types::PlanId;

use crate::configuration::{read_row, store_corrupt};

/// Returns the key of the row of the plan `id`.
pub(super) fn plan_key(id: &PlanId) -> Key {
    Key::from_parts(&[&format!("{PLAN_PREFIX}{id}")])
}

/// Reads the plan `id`, with the precondition that its row is still so.
///
/// # Errors
/// `NotFound`, `StoreUnavailable`, or `Internal` where the row is corrupt.
pub(super) async fn read_plan(table: &dyn Table, id: &PlanId) -> Result<(PlanRow, Precondition)> {
    let key = plan_key(id);
    let Some(row) = read_row(table, &key).await? else {
        return Err(Error::new(ErrorKind::NotFound, "there is no such plan"));
    };
    let plan = row.decode().map_err(store_corrupt)?;
    Ok((plan, Precondition::Revision(key, row.revision)))
}
