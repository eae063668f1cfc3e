//! Grants and requests whose state only an operator can resolve.

use admin_api::{InDoubtGrant, InDoubtList, OutcomeUnknownList, UnresolvedCall};
use budget::list_in_doubt;
use platform::Row;
use requests::{INTENT_PREFIX, IntentState, list_open};
use types::{AccountName, RouterId, UnixMillis};
use viz::Request;

use super::page::read_page;
use crate::{
    admin::{
        AdminError,
        context::{AdminCall, AdminContext},
    },
    configuration::corrupt_row_error,
};

/// Key prefix of grant rows.
const GRANT_PREFIX: &str = "grant/";

/// Serves `GET /admin/v1/in-doubt`: grants of routers that are no longer members.
pub(in crate::admin) async fn get_in_doubt(
    cx: AdminContext,
    _call: AdminCall,
    req: Request,
) -> Result<InDoubtList, AdminError> {
    let page = read_page(&*cx.router.table, GRANT_PREFIX, &req).await?;
    let live = live_routers(&cx);
    let mut grants = Vec::new();
    for row in &page.rows {
        let Some(account) = account_of(row) else { continue };
        for in_doubt in list_in_doubt(&account, std::slice::from_ref(row), &live) {
            let in_doubt = in_doubt.map_err(corrupt_row_error)?;
            grants.push(InDoubtGrant {
                account: in_doubt.account,
                router: in_doubt.router,
                tokens: in_doubt.tokens,
                since: in_doubt.since_unix_ms.map(UnixMillis),
            });
        }
    }
    Ok(InDoubtList { grants, next: page.next })
}

/// Serves `GET /admin/v1/outcome-unknown`: calls without a recorded outcome.
pub(in crate::admin) async fn get_outcome_unknown(
    cx: AdminContext,
    _call: AdminCall,
    req: Request,
) -> Result<OutcomeUnknownList, AdminError> {
    let page = read_page(&*cx.router.table, INTENT_PREFIX, &req).await?;
    let live = live_routers(&cx);
    let calls = list_open(&page.rows).into_iter().map(|open| UnresolvedCall {
        account: open.request.account,
        request: open.request.id,
        router_is_known: live.contains(&open.intent.router),
        router: open.intent.router,
        outcome_unknown: open.intent.state == IntentState::OutcomeUnknown,
    });
    Ok(OutcomeUnknownList { calls: calls.collect(), next: page.next })
}

/// Returns the router processes in this router's membership view, including itself.
fn live_routers(cx: &AdminContext) -> Vec<RouterId> {
    cx.router.peers.view().members().map(|member| member.id.clone()).collect()
}

fn account_of(row: &Row) -> Option<AccountName> {
    row.key.as_str().strip_prefix(GRANT_PREFIX)?.split('/').next()?.parse().ok()
}
