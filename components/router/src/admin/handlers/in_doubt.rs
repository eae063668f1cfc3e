//! States that only an operator can resolve.

use admin_api::{InDoubtList, InDoubtRow};
use viz::Request;

use super::page::read_page;
use crate::{
    admin::{
        AdminError,
        context::{AdminCall, AdminContext},
    },
    configuration::store_corrupt,
};

/// Prefix of the keys of grants whose router is gone.
const GRANT_PREFIX: &str = "grant/";

/// Prefix of the keys of calls that must not run twice.
const CALL_PREFIX: &str = "intent/";

/// Serves `GET /admin/v1/in-doubt`: the open grants.
pub(in crate::admin) async fn get_in_doubt(
    cx: AdminContext,
    _call: AdminCall,
    req: Request,
) -> Result<InDoubtList, AdminError> {
    list_rows(&cx, GRANT_PREFIX, &req).await
}

/// Serves `GET /admin/v1/outcome-unknown`: the recorded calls.
pub(in crate::admin) async fn get_outcome_unknown(
    cx: AdminContext,
    _call: AdminCall,
    req: Request,
) -> Result<InDoubtList, AdminError> {
    list_rows(&cx, CALL_PREFIX, &req).await
}

async fn list_rows(
    cx: &AdminContext,
    prefix: &str,
    req: &Request,
) -> Result<InDoubtList, AdminError> {
    let page = read_page(&*cx.router.table, prefix, req).await?;
    let view = |row: &platform::Row| {
        let value = row.decode().map_err(store_corrupt)?;
        Ok::<_, AdminError>(InDoubtRow { key: row.key.to_string(), value })
    };
    let rows: Result<_, _> = page.rows.iter().map(view).collect();
    Ok(InDoubtList { rows: rows?, next: page.next })
}
