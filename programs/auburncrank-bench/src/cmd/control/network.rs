//! Network between the simulated routers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use membership::{Member, MemberState, MembershipView};
use protocol::PeerBody;
use rand::Rng as _;
use router::{
    configuration::ConfigHandle,
    peers::{PeerHandler, Peers},
};
use types::{ConfigVersion, FailureDomain, Incarnation, RouterId, RouterName};
use utils::Rng;

/// Shortest delivery delay of a message, in microseconds.
const DELAY_MIN_US: u64 = 300;

/// Longest delivery delay of a message, in microseconds.
const DELAY_MAX_US: u64 = 2_000;

/// Fraction of messages that are lost.
const LOSS_RATIO: f64 = 0.01;

/// Network between the simulated routers. Clones share their state.
#[derive(Clone)]
pub(super) struct Network {
    /// State shared by the clones.
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    /// The routers, by number.
    nodes: Vec<Node>,
    /// Whether a partition separates the two halves of the fleet.
    is_partitioned: bool,
    /// Draws delays and losses.
    rng: Rng,
}

/// State that the network holds for one router.
struct Node {
    /// Message handlers of the router's current process.
    handlers: Vec<Arc<dyn PeerHandler>>,
    /// The router's view of the members, as learned from their heartbeats.
    view: Arc<MembershipView>,
}

impl Network {
    /// Creates a network of `routers` routers.
    pub(super) fn new(routers: usize, seed: u64) -> Network {
        let node = |local: usize| {
            let others = (0..routers).filter(|&number| number != local).map(member);
            let view = MembershipView { local: member(local), others: others.collect() };
            Node { handlers: Vec::new(), view: Arc::new(view) }
        };
        let nodes = (0..routers).map(node).collect();
        let shared = Shared { nodes, is_partitioned: false, rng: utils::seeded_rng(seed) };
        Network { shared: Arc::new(Mutex::new(shared)) }
    }

    /// Connects a new process of router `number`; its previous process receives no more messages.
    pub(super) fn connect(&self, number: usize) -> Arc<dyn Peers> {
        self.lock().nodes[number].handlers.clear();
        Arc::new(Connection { network: self.clone(), number })
    }

    /// Sets whether a partition separates the two halves of the fleet.
    pub(super) fn set_partitioned(&self, is_partitioned: bool) {
        self.lock().is_partitioned = is_partitioned;
    }

    /// Delivers the heartbeats of all routers to those that they reach. `cfgs` holds the
    /// configuration in force on each router, whose version the heartbeat carries.
    pub(super) fn deliver_heartbeats(&self, cfgs: &[ConfigHandle]) {
        let mut shared = self.lock();
        let count = shared.nodes.len();
        for local in 0..count {
            let mut view = MembershipView::clone(&shared.nodes[local].view);
            for member in &mut view.others {
                let number = router_number(&member.id.name);
                if shared.is_connected(local, number) {
                    member.config_version = cfgs[number].version();
                }
            }
            shared.nodes[local].view = Arc::new(view);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("the lock is not poisoned")
    }
}

impl Shared {
    fn is_connected(&self, one: usize, other: usize) -> bool {
        let half = self.nodes.len() / 2;
        !self.is_partitioned || (one < half) == (other < half)
    }
}

/// One router's connection to the network.
struct Connection {
    /// The network.
    network: Network,
    /// Number of the router.
    number: usize,
}

impl Peers for Connection {
    fn view(&self) -> Arc<MembershipView> {
        self.network.lock().nodes[self.number].view.clone()
    }

    fn send(&self, to: &RouterName, body: PeerBody) {
        let to = router_number(to);
        let from = member(self.number).id;
        let mut shared = self.network.lock();
        let is_lost = shared.rng.random_bool(LOSS_RATIO) || !shared.is_connected(self.number, to);
        let delay = Duration::from_micros(shared.rng.random_range(DELAY_MIN_US..DELAY_MAX_US));
        drop(shared);
        if is_lost {
            return;
        }
        let network = self.network.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let handlers = network.lock().nodes[to].handlers.clone();
            handlers.iter().for_each(|handler| handler.on_message(&from, &body));
        });
    }

    fn subscribe(&self, handler: Arc<dyn PeerHandler>) {
        self.network.lock().nodes[self.number].handlers.push(handler);
    }

    fn leave(&self) {}
}

fn member(number: usize) -> Member {
    let name = RouterName::new(&format!("router-{number}")).expect("a valid name");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        id: RouterId::new(name, Incarnation(1)),
        failure_domain: FailureDomain::new("zlin").expect("a valid name"),
        caller_address: address,
        peer_address: address,
        state: MemberState::Alive,
        load: 0,
        config_version: ConfigVersion(0),
    }
}

fn router_number(name: &RouterName) -> usize {
    let number = name.as_str().strip_prefix("router-").and_then(|text| text.parse().ok());
    number.expect("router names end in a number")
}
