//! Addresses for callers.

use std::time::Duration;

use client::{AddressEntry, AddressList};
use viz::{Request, Response, ResponseExt};

use super::HttpContext;

/// Time for which callers keep the list.
pub(crate) const KEEP_ADDRESSES: Duration = Duration::from_secs(10);

/// Serves `GET /v1/addresses`.
pub(super) async fn serve_addresses(cx: HttpContext, _req: Request) -> viz::Result<Response> {
    let view = cx.router.peers.view();
    let addresses = view.serving().map(|member| AddressEntry {
        address: member.caller_address,
        failure_domain: member.failure_domain.clone(),
    });
    let list = AddressList { addresses: addresses.collect(), keep: KEEP_ADDRESSES };
    Ok(Response::json(list)?)
}
