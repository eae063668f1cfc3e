//! Configurations spread between routers without the table, over a fake network with Tokio
//! time paused.

#![allow(clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use config::Config;
use membership::{Member, MemberState, MembershipView};
use protocol::PeerBody;
use router::{
    configuration::{ConfigHandle, start_config_spread},
    peers::{PeerHandler, Peers},
};
use tokio::runtime::Handle;
use types::{ConfigVersion, FailureDomain, Incarnation, RouterId, RouterName};
use utils::{Digest, seeded_rng};

/// Number of routers, the size of one user's fleet.
const ROUTERS: usize = 8;

/// Time within which an accepted version must be active on all reachable routers.
const SPREAD_LIMIT: Duration = Duration::from_secs(2);

/// A fake network that delivers messages immediately.
#[derive(Default)]
struct Network {
    nodes: Mutex<Vec<Arc<Node>>>,
    /// Numbers of the routers on the other side of a partition.
    far_side: Mutex<Vec<usize>>,
}

struct Node {
    number: usize,
    cfg: ConfigHandle,
    handlers: Mutex<Vec<Arc<dyn PeerHandler>>>,
    network: Weak<Network>,
}

fn router_id(number: usize) -> RouterId {
    RouterId::new(RouterName::new(&format!("router-{number}")).unwrap(), Incarnation(1))
}

fn member(node: &Node) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        id: router_id(node.number),
        failure_domain: FailureDomain::new("zlin").unwrap(),
        caller_address: address,
        peer_address: address,
        state: MemberState::Alive,
        load: 0,
        // Heartbeats carry the active version.
        config_version: node.cfg.version(),
    }
}

impl Network {
    fn start(count: usize) -> Arc<Network> {
        let network = Arc::new(Network::default());
        for number in 0..count {
            network.start_node(number);
        }
        network
    }

    /// Starts a router without a configuration, in place of any previous one with this number.
    fn start_node(self: &Arc<Self>, number: usize) {
        let node = Arc::new(Node {
            number,
            cfg: ConfigHandle::new(),
            handlers: Mutex::default(),
            network: Arc::downgrade(self),
        });
        let mut nodes = self.nodes.lock().unwrap();
        nodes.retain(|it| it.number != number);
        nodes.push(node.clone());
        nodes.sort_by_key(|it| it.number);
        drop(nodes);
        let rng = seeded_rng(number as u64);
        start_config_spread(node.cfg.clone(), node, rng, &Handle::current());
    }

    fn node(&self, number: usize) -> Arc<Node> {
        self.nodes.lock().unwrap()[number].clone()
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        let far_side = self.far_side.lock().unwrap();
        far_side.contains(&a) == far_side.contains(&b)
    }

    fn versions(&self) -> Vec<u64> {
        self.nodes.lock().unwrap().iter().map(|it| it.cfg.version().0).collect()
    }
}

impl Peers for Node {
    fn view(&self) -> Arc<MembershipView> {
        let network = self.network.upgrade().unwrap();
        let nodes = network.nodes.lock().unwrap().clone();
        let others = nodes.iter().filter(|it| it.number != self.number);
        let others = others.filter(|it| network.is_connected(it.number, self.number));
        Arc::new(MembershipView {
            local: member(self),
            others: others.map(|it| member(it)).collect(),
        })
    }

    fn send(&self, to: &RouterName, body: PeerBody) {
        let network = self.network.upgrade().unwrap();
        let nodes = network.nodes.lock().unwrap().clone();
        let to = nodes.iter().find(|it| router_id(it.number).name == *to).unwrap();
        if !network.is_connected(self.number, to.number) {
            return;
        }
        for handler in to.handlers.lock().unwrap().iter() {
            handler.on_message(&router_id(self.number), &body);
        }
    }

    fn subscribe(&self, handler: Arc<dyn PeerHandler>) {
        self.handlers.lock().unwrap().push(handler);
    }

    fn leave(&self) {}
}

fn version(number: u64) -> Config {
    let fingerprint = Digest::from_content(&number.to_le_bytes()).to_string();
    let quarantine = [fingerprint].into();
    Config { version: ConfigVersion(number), quarantine, ..Config::default() }
}

#[tokio::test(start_paused = true)]
async fn version_accepted_on_one_router_becomes_active_on_all_without_the_table() {
    let network = Network::start(ROUTERS);
    for (number, router) in (1..=20).zip((0..ROUTERS).cycle()) {
        network.node(router).cfg.advance(version(number));
        tokio::time::sleep(SPREAD_LIMIT).await;
        assert_eq!(network.versions(), [number; ROUTERS]);
        let cfg = network.node(0).cfg.load_full();
        assert_eq!(*cfg, version(number));
    }
}

#[tokio::test(start_paused = true)]
async fn partitioned_side_catches_up_after_the_heal_and_no_version_goes_back() {
    let network = Network::start(ROUTERS);
    network.node(0).cfg.advance(version(1));
    tokio::time::sleep(SPREAD_LIMIT).await;
    *network.far_side.lock().unwrap() = vec![5, 6, 7];
    // More versions than the history of a router holds.
    for number in 2..=30 {
        network.node(0).cfg.advance(version(number));
        tokio::time::sleep(SPREAD_LIMIT).await;
    }
    assert_eq!(network.versions(), [30, 30, 30, 30, 30, 1, 1, 1]);
    network.far_side.lock().unwrap().clear();
    tokio::time::sleep(SPREAD_LIMIT).await;
    assert_eq!(network.versions(), [30; ROUTERS]);
    assert_eq!(*network.node(7).cfg.load_full(), version(30));
}

#[tokio::test(start_paused = true)]
async fn restarted_router_gets_the_active_version_from_the_others() {
    let network = Network::start(ROUTERS);
    network.node(0).cfg.advance(version(9));
    tokio::time::sleep(SPREAD_LIMIT).await;
    network.start_node(3);
    assert_eq!(network.node(3).cfg.version(), ConfigVersion(0));
    tokio::time::sleep(SPREAD_LIMIT).await;
    assert_eq!(network.versions(), [9; ROUTERS]);
    // Only the table confirms a version, not other routers.
    assert_eq!(network.node(3).cfg.confirmed_age(), None);
}
