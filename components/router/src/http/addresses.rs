//! Addresses for callers.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use types::FailureDomain;
use viz::{Request, Response, ResponseExt};

use super::HttpContext;

/// Time for which callers keep the list.
pub(crate) const KEEP_ADDRESSES: Duration = Duration::from_secs(10);

/// Answer to `GET /v1/addresses`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AddressList {
    /// Addresses, the preferred one first.
    addresses: Vec<AddressEntry>,
    /// Time for which the list may be kept.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "keep_ms")]
    keep: Duration,
}

/// One address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AddressEntry {
    /// Address of a router.
    address: SocketAddr,
    /// Failure domain of its host.
    failure_domain: FailureDomain,
}

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
