//! The list of router addresses for callers.

use std::time::Duration;

use client::{AddressEntry, AddressList};
use membership::{choose_addresses, random_answer_ttl};
use types::FailureDomain;
use viz::{Request, Response, ResponseExt};

use super::HttpContext;

/// Longest time for which callers may cache the address list.
pub(crate) const ADDRESS_LIST_MAX_AGE: Duration = Duration::from_secs(10);

/// Time until all other routers know that a router is leaving.
pub(crate) const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Query parameter with the caller's failure domain.
const FAILURE_DOMAIN_PARAMETER: &str = "failure_domain";

/// Serves `GET /v1/addresses?failure_domain=NAME`. The parameter is optional; an unknown
/// failure domain has the same effect as none.
pub(super) async fn serve_addresses(cx: HttpContext, req: Request) -> viz::Result<Response> {
    metrics::counter!(telemetry::ADDRESS_ANSWERS_TOTAL).increment(1);
    let mut rng = utils::new_rng();
    let view = cx.router.peers.view();
    let domain = caller_domain(req.uri().query().unwrap_or_default());
    let chosen = choose_addresses(&view, domain.as_ref(), &mut rng);
    let addresses = chosen.into_iter().map(|member| AddressEntry {
        address: member.caller_address,
        failure_domain: member.failure_domain.clone(),
    });
    let keep = random_answer_ttl(ADDRESS_LIST_MAX_AGE, &mut rng);
    let list = AddressList { addresses: addresses.collect(), keep };
    Ok(Response::json(list)?)
}

/// Reads the failure domain from a query string. Names contain no characters that need
/// percent-encoding.
fn caller_domain(query: &str) -> Option<FailureDomain> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == FAILURE_DOMAIN_PARAMETER)?;
    FailureDomain::new(value).ok()
}

#[cfg(test)]
#[path = "addresses_tests.rs"]
mod tests;
