//! Chooses the router through which a blocked endpoint is reached.

use std::{net::SocketAddr, sync::Arc};

use rand::Rng as _;
use utils::Rng;

/// A router through which an endpoint may be reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCandidate {
    /// Name.
    pub name: Arc<str>,
    /// Address for connections from other routers.
    pub address: SocketAddr,
    /// Failure domain of its host.
    pub failure_domain: Arc<str>,
    /// Number of this router's open tunnels through it.
    pub tunnels: usize,
    /// Whether it has said a moment ago that it reaches the endpoint's service.
    pub is_reaching: bool,
}

/// Chooses one of `candidates`, which are usable and were not asked yet: one that reaches the service if
/// there is any, since most of the others may be cut off without knowing it. `asked_domains` are the failure
/// domains of those that were asked before: a cut often affects a whole domain, so another
/// one is preferred. Besides that, routers in the endpoint's failure domain are preferred, since traffic
/// between domains costs more, and among them those with the fewest tunnels.
pub fn choose_peer<'a>(
    candidates: &'a [PeerCandidate],
    endpoint_domain: &str,
    asked_domains: &[Arc<str>],
    rng: &mut Rng,
) -> Option<&'a PeerCandidate> {
    candidates.iter().min_by_key(|it| {
        let is_asked_domain = asked_domains.contains(&it.failure_domain);
        let is_other_domain = *it.failure_domain != *endpoint_domain;
        (!it.is_reaching, is_asked_domain, is_other_domain, it.tunnels, rng.random::<u32>())
    })
}
