//! The simulated network and its nodes.

use std::{collections::BinaryHeap, net::SocketAddr, time::Duration};

use membership::{
    Action, Detector, DetectorSettings, Member, MemberState, MembershipView, Message,
};
use prost::Message as _;
use protocol::{Envelope, MembershipMessage, PeerBody};
use rand::Rng as _;
use types::{ConfigVersion, FailureDomain, Incarnation, RouterId, RouterName, Timestamp};
use utils::{HashMap, HashSet, Rng, seeded_rng};

use super::{
    event::Event,
    node::{Node, NodeTraffic, RunState},
};

/// Length of the header in front of each encoded envelope, in bytes.
const FRAME_HEADER_BYTES: u64 = 4;

/// Range of the message delay, in microseconds.
const DELAY_MICROS: std::ops::Range<u64> = 500..3_000;

/// Number of failure domains that the nodes are spread over.
const FAILURE_DOMAINS: usize = 4;

/// A network between failure detectors, in memory and on simulated time. The same seed gives the
/// same run.
#[derive(Debug)]
pub struct PeerNetwork {
    nodes: Vec<Node>,
    /// Indexes of the nodes by peer address.
    by_address: HashMap<SocketAddr, usize>,
    /// Scheduled events.
    events: BinaryHeap<Event>,
    /// Order of the next event.
    next_order: u64,
    /// Fraction of messages that are lost, from 0 to 1.
    loss: f64,
    /// Pairs of sender and receiver whose messages are all lost.
    cuts: HashSet<(usize, usize)>,
    /// State changes observed since the last call of [`take_changes`](PeerNetwork::take_changes).
    changes: Vec<StateChange>,
    now: Timestamp,
    rng: Rng,
}

/// State change of a member, as observed by one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// Time at which the node observed it.
    pub at: Timestamp,
    /// Index of the node that observed it.
    pub observer: usize,
    /// Member whose state changed.
    pub id: RouterId,
    /// New state of the member.
    pub state: MemberState,
}

/// Returns the router name of node `number`.
///
/// # Panics
/// Never: the name is always valid.
pub fn router_name(number: usize) -> RouterName {
    RouterName::new(&format!("router-{number}")).expect("a valid name")
}

impl PeerNetwork {
    /// Starts `count` nodes, spread over several failure domains. All have the first two as seeds.
    pub fn new(count: usize, seed: u64) -> PeerNetwork {
        let mut network = PeerNetwork {
            nodes: Vec::new(),
            by_address: HashMap::default(),
            events: BinaryHeap::new(),
            next_order: 0,
            loss: 0.0,
            cuts: HashSet::default(),
            changes: Vec::new(),
            now: Timestamp::ZERO,
            rng: seeded_rng(seed),
        };
        for number in 0..count {
            let node = network.new_node(number, 1);
            network.by_address.insert(peer_address(number), number);
            network.nodes.push(node);
            network.schedule_wakeup(number);
        }
        network
    }

    /// Returns the current simulated time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Sets the fraction of messages that are lost from now on, from 0 to 1.
    pub fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    /// Drops all messages from node `from` to node `to` from now on.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Ends all effects of [`cut`](PeerNetwork::cut).
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Ends the process of a node without notice to the others.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].run = RunState::Dead;
    }

    /// Pauses a node, which neither sends nor receives until it is resumed.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].run = RunState::Paused;
    }

    /// Resumes a paused node, which then receives the messages that arrived meanwhile.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].run = RunState::Running;
        let missed_frames = std::mem::take(&mut self.nodes[node].missed_frames);
        self.push_event(self.now, node, None);
        self.nodes[node].wakeup = self.now;
        for frame in missed_frames {
            self.push_event(self.now, node, Some(frame));
        }
    }

    /// Replaces a node with a new process that has the same name.
    pub fn restart(&mut self, node: usize, incarnation: u64) {
        self.nodes[node] = self.new_node(node, incarnation);
        self.schedule_wakeup(node);
    }

    /// Makes a node announce that it leaves.
    pub fn leave(&mut self, node: usize) {
        let actions = self.nodes[node].detector.leave(&mut self.rng, self.now);
        self.carry_out(node, actions);
    }

    /// Returns the membership view of a node.
    pub fn view(&self, node: usize) -> MembershipView {
        self.nodes[node].detector.view()
    }

    /// Reports whether the view of each running node holds exactly the running nodes, all with
    /// `state`.
    pub fn is_converged(&self, state: MemberState) -> bool {
        let running = || self.nodes.iter().filter(|it| it.run == RunState::Running);
        let mut ids: Vec<_> = running().map(|it| &it.id).collect();
        ids.sort();
        running().all(|it| {
            let view = it.detector.view();
            let mut known: Vec<_> = view.members().map(|it| &it.id).collect();
            known.sort();
            known == ids && view.members().all(|it| it.state == state)
        })
    }

    /// Returns the state changes observed since the last call.
    pub fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the traffic of a node since its process started.
    pub fn traffic(&self, node: usize) -> NodeTraffic {
        self.nodes[node].traffic
    }

    /// Advances the simulated time by `span` and handles the events that are due.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.events.peek().is_some_and(|it| it.at <= end) {
            let Some(event) = self.events.pop() else { break };
            self.now = self.now.max(event.at);
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs until all running nodes know each other as alive, for `limit` at most; reports whether
    /// they do.
    pub fn run_until_converged(&mut self, limit: Duration) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if self.is_converged(MemberState::Alive) {
                return true;
            }
            self.run_for(Duration::from_millis(100));
        }
        self.is_converged(MemberState::Alive)
    }

    fn new_node(&self, number: usize, incarnation: u64) -> Node {
        let id = RouterId::new(router_name(number), Incarnation(incarnation));
        let domain = format!("domain-{}", number % FAILURE_DOMAINS);
        let member = Member {
            id: id.clone(),
            failure_domain: FailureDomain::new(&domain).expect("a valid name"),
            caller_address: caller_address(number),
            peer_address: peer_address(number),
            state: MemberState::Alive,
            load: 0,
            config_version: ConfigVersion(1),
        };
        // A restarted first node needs a seed other than itself.
        let seeds = vec![peer_address(0), peer_address(1)];
        let detector = Detector::new(DetectorSettings::default(), &member, seeds, self.now);
        Node {
            id,
            detector,
            run: RunState::Running,
            missed_frames: Vec::new(),
            wakeup: self.now,
            traffic: NodeTraffic::default(),
        }
    }

    fn handle(&mut self, event: Event) {
        let number = event.node;
        let node = &mut self.nodes[number];
        let is_wakeup = event.frame.is_none();
        if is_wakeup && (event.at != node.wakeup || node.run != RunState::Running) {
            return;
        }
        let actions = match event.frame {
            None => node.detector.on_wakeup(self.now, &mut self.rng),
            Some(_) if node.run == RunState::Dead => return,
            Some(frame) if node.run == RunState::Paused => {
                node.missed_frames.push(frame);
                return;
            }
            Some(frame) => {
                node.traffic.received_messages += 1;
                node.traffic.received_bytes += frame.len() as u64 + FRAME_HEADER_BYTES;
                let message = decode(&frame);
                node.detector.on_message(message, self.now, &mut self.rng)
            }
        };
        self.carry_out(number, actions);
        self.schedule_wakeup(number);
    }

    fn carry_out(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(from, to, &message),
                Action::MemberChanged { id, state } => {
                    self.changes.push(StateChange { at: self.now, observer: from, id, state });
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Message) {
        let node = &mut self.nodes[from];
        let body = PeerBody::Membership(MembershipMessage::from(message));
        let frame = Envelope::new(&node.id, body).encode_to_vec();
        node.traffic.sent_messages += 1;
        node.traffic.sent_bytes += frame.len() as u64 + FRAME_HEADER_BYTES;
        let delay = Duration::from_micros(self.rng.random_range(DELAY_MICROS));
        let is_lost = self.rng.random_bool(self.loss);
        let Some(&to) = self.by_address.get(&to) else { return };
        if !is_lost && !self.cuts.contains(&(from, to)) {
            self.push_event(self.now + delay, to, Some(frame));
        }
    }

    fn schedule_wakeup(&mut self, node: usize) {
        let at = self.nodes[node].detector.next_wakeup().max(self.now);
        if at != self.nodes[node].wakeup || at == self.now {
            self.nodes[node].wakeup = at;
            self.push_event(at, node, None);
        }
    }

    fn push_event(&mut self, at: Timestamp, node: usize, frame: Option<Vec<u8>>) {
        let order = self.next_order;
        self.next_order += 1;
        self.events.push(Event { at, order, node, frame });
    }
}

fn decode(frame: &[u8]) -> Message {
    let envelope = Envelope::decode(frame).expect("frames are valid");
    match envelope.body {
        Some(PeerBody::Membership(message)) => {
            Message::try_from(&message).expect("messages are valid")
        }
        _ => unreachable!("only messages of the failure detector are sent"),
    }
}

fn peer_address(number: usize) -> SocketAddr {
    address(number, 7_001)
}

fn caller_address(number: usize) -> SocketAddr {
    address(number, 7_000)
}

fn address(number: usize, port: u16) -> SocketAddr {
    let [.., high, low] = (number as u64).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], port))
}
