//! Finds likely peer addresses in the platform's host list.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use platform::{HostEntry, HostList, HostState};

use super::PeerNetwork;

/// Mean interval between two reads of the host list.
const HOST_LIST_READ_PERIOD: Duration = Duration::from_secs(60);

/// Reads the host list until the process ends. Routers listen for peers on the same port,
/// `port`, on all hosts. The list lags, so it is used only to find routers, never to decide
/// that one is dead.
pub(crate) async fn run_host_hints(hosts: Arc<dyn HostList>, port: u16, peers: Arc<PeerNetwork>) {
    let mut rng = utils::new_rng();
    loop {
        match hosts.hosts().await {
            Ok(hosts) => peers.set_hints(peer_addresses(&hosts, port)),
            Err(error) => log::debug!("failed to read the host list: {error}"),
        }
        tokio::time::sleep(utils::jitter(HOST_LIST_READ_PERIOD, &mut rng)).await;
    }
}

fn peer_addresses(hosts: &[HostEntry], port: u16) -> Vec<SocketAddr> {
    let live = hosts.iter().filter(|it| it.state == HostState::Live);
    live.map(|it| SocketAddr::new(it.address, port)).collect()
}
