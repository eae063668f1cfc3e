//! Pagination of row scans.

use errors::{Error, ErrorKind, Result};
use platform::{Key, Row, SCAN_MAX_ROWS, Table};
use viz::Request;

use super::params::query_param;
use crate::configuration::store_error;

/// One page of a row scan.
pub(super) struct Page {
    /// Rows in key order.
    pub(super) rows: Vec<Row>,
    /// Value of `after` for the next page; `None` on the last page.
    pub(super) next: Option<String>,
}

/// Reads the page of rows with the key prefix `prefix` that follows the query parameter
/// `after`.
///
/// # Errors
/// `StoreUnavailable`, or `BadRequest` if `after` is malformed.
pub(super) async fn read_page(table: &dyn Table, prefix: &str, req: &Request) -> Result<Page> {
    let after: Option<String> = query_param(req, "after")?;
    let after = after.map(|name| Key::new(&format!("{prefix}{name}"))).transpose();
    let after = after.map_err(|_| {
        Error::new(ErrorKind::BadRequest, "after: expected the 'next' value of the previous page")
    })?;
    let rows = table.scan(prefix, after.as_ref()).await.map_err(store_error)?;
    let last = rows.last().filter(|_| rows.len() >= SCAN_MAX_ROWS);
    let next = last.and_then(|row| row.key.as_str().strip_prefix(prefix)).map(str::to_owned);
    Ok(Page { rows, next })
}
