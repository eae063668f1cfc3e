//! Pages of rows.

use errors::{Error, ErrorKind, Result};
use platform::{Key, Row, SCAN_MAX_ROWS, Table};
use viz::Request;

use super::params::query_param;
use crate::configuration::store_error;

/// One page of rows.
pub(super) struct Page {
    /// The rows.
    pub(super) rows: Vec<Row>,
    /// What to pass as `after` for the next page; `None` on the last.
    pub(super) next: Option<String>,
}

/// Reads the page of the rows with `prefix` that the query's `after` asks for.
///
/// # Errors
/// `StoreUnavailable`, or `BadRequest` where `after` is malformed.
pub(super) async fn read_page(table: &dyn Table, prefix: &str, req: &Request) -> Result<Page> {
    let after: Option<String> = query_param(req, "after")?;
    let after = after.map(|name| Key::new(&format!("{prefix}{name}"))).transpose();
    let after = after.map_err(|_| Error::new(ErrorKind::BadRequest, "after: cannot be read"))?;
    let rows = table.scan(prefix, after.as_ref()).await.map_err(store_error)?;
    let last = rows.last().filter(|_| rows.len() >= SCAN_MAX_ROWS);
    let next = last.and_then(|row| row.key.as_str().strip_prefix(prefix)).map(str::to_owned);
    Ok(Page { rows, next })
}
