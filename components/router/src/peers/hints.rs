//! Hints from the platform's host list.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use platform::{HostEntry, HostList, HostState};

use super::PeerNetwork;

/// Mean time between two reads of the host list.
const READ_PERIOD: Duration = Duration::from_secs(60);

/// Reads the host list for as long as the router lives. Routers listen for each other at
/// the same port on all hosts, `port`. The list lags: it says where a router may be found
/// and never that one is dead.
pub(crate) async fn run_host_hints(hosts: Arc<dyn HostList>, port: u16, peers: Arc<PeerNetwork>) {
    let mut rng = utils::new_rng();
    loop {
        match hosts.hosts().await {
            Ok(hosts) => peers.set_hints(peer_addresses(&hosts, port)),
            Err(error) => log::debug!("host list not read: {error}"),
        }
        tokio::time::sleep(utils::jitter(READ_PERIOD, &mut rng)).await;
    }
}

fn peer_addresses(hosts: &[HostEntry], port: u16) -> Vec<SocketAddr> {
    let live = hosts.iter().filter(|it| it.state == HostState::Live);
    live.map(|it| SocketAddr::new(it.address, port)).collect()
}
