//! Sends and receives the datagrams by which routers tell each other their state.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
};

use prost::Message;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;

use super::{
    CrashMessage, HeardMessage, LoadMessage, Loans, Member, PeerContent, PeerMessage, RouterLoad,
    StatusMessage, holders::update_holders, lending, witnessing,
};
use crate::context::RelayContext;

/// Time between two messages to the same router.
const INTERVAL: Duration = Duration::from_millis(300);

/// Routers to which each round of messages goes at most, so that the cost for a router does
/// not grow with the fleet: in its own failure domain, and in others, to which traffic costs
/// more.
const FAN_OUT_NEAR: usize = 8;
const FAN_OUT_FAR: usize = 6;

/// Routers that each round of messages reaches all together.
const FAN_OUT: usize = FAN_OUT_NEAR + FAN_OUT_FAR;

/// Longest datagram that is read.
const DATAGRAM_MAX_BYTES: usize = 60 * 1_024;

/// Crash records in one message at most.
const CRASHES_MAX: usize = 16;

/// The socket for messages of routers.
#[derive(Debug)]
pub(crate) struct GossipSocket {
    /// The socket.
    socket: UdpSocket,
    /// Crash records that were found lately, newest last.
    crashes: Mutex<Vec<CrashMessage>>,
    /// Loans that are not settled.
    loans: Mutex<Loans>,
}

impl GossipSocket {
    /// Binds the socket.
    ///
    /// # Errors
    /// Where the address cannot be bound.
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<GossipSocket> {
        let socket = UdpSocket::bind(address).await?;
        Ok(GossipSocket { socket, crashes: Mutex::default(), loans: Mutex::default() })
    }

    /// Adds a crash record to the messages from now on.
    pub(crate) fn announce_crash(&self, crash: CrashMessage) {
        let mut crashes = self.crashes.lock().expect("no panic while locked");
        crashes.retain(|it| it.fingerprint != crash.fingerprint);
        crashes.push(crash);
        let excess = crashes.len().saturating_sub(CRASHES_MAX);
        crashes.drain(..excess);
    }

    /// Sends the state of this router to others now.
    pub(crate) async fn send_status(&self, cx: &RelayContext, wants_answer: bool) {
        let mut targets = cx.lock_roster().peer_addresses();
        for seed in &cx.settings.seeds {
            if !targets.contains(seed) && *seed != cx.settings.peer_address {
                targets.push(*seed);
            }
        }
        let targets = choose_targets(cx, targets);
        let datagram = self.encode(cx, wants_answer);
        for target in targets {
            self.send(&datagram, target).await;
        }
    }

    /// Returns what this router has heard of others, where messages do not reach all of them
    /// each time.
    fn heard(&self, cx: &RelayContext) -> Option<HeardMessage> {
        let now = cx.now();
        let roster = cx.lock_roster();
        if roster.count() <= FAN_OUT {
            return None;
        }
        Some(HeardMessage::new(roster.heard(now)))
    }

    /// Declares to the witness what this router keeps, where the store does not take it.
    pub(crate) async fn declare_to_witness(&self, cx: &RelayContext) {
        witnessing::declare(cx).await;
    }

    /// Tells whether a request for a loan is not answered yet.
    pub(crate) fn is_loan_open(&self, number: u64) -> bool {
        self.lock_loans().is_open(number)
    }

    pub(super) fn lock_loans(&self) -> MutexGuard<'_, Loans> {
        self.loans.lock().expect("no panic while locked")
    }

    pub(super) async fn send(&self, datagram: &[u8], target: SocketAddr) {
        if let Err(error) = self.socket.send_to(datagram, target).await {
            metrics::counter!(telemetry::PEER_MESSAGES_DROPPED_TOTAL, "reason" => "send")
                .increment(1);
            log::debug!(target:% = target; "message to a router not sent: {error}");
        }
    }

    fn encode(&self, cx: &RelayContext, wants_answer: bool) -> Vec<u8> {
        let own = cx.self_status();
        let loads = cx.lock_endpoints().own_loads();
        let message = StatusMessage {
            name: own.name.to_string(),
            process: own.process,
            caller_address: own.caller_address.to_string(),
            peer_address: own.peer_address.to_string(),
            failure_domain: own.failure_domain.to_string(),
            is_ready: own.is_ready,
            config_version: own.config_version,
            loads: loads.iter().map(LoadMessage::from_share).collect(),
            crashes: self.crashes.lock().expect("no panic while locked").clone(),
            wants_answer,
            heard: self.heard(cx),
            processor_millis: own.processor_millis,
            arrivals_per_s: own.arrivals_per_s,
        };
        encode(PeerContent::Status(message))
    }
}

/// Finds out whether this router gets more than its part of the requests.
fn update_crowding(cx: &RelayContext) {
    let own = cx.self_status().load();
    let mut fleet = cx.lock_roster().loads(cx.now());
    fleet.push(own);
    let is_crowded = own.is_crowded(RouterLoad::mean(&fleet));
    if cx.is_crowded.swap(is_crowded, Ordering::Relaxed) != is_crowded {
        log::info!(crowded = is_crowded, arrivals_per_s = own.arrivals_per_s, routers = fleet.len(); "router changed its part of the requests");
    }
}

/// Draws the routers of a round of messages; all where they are few.
fn choose_targets(cx: &RelayContext, mut targets: Vec<SocketAddr>) -> Vec<SocketAddr> {
    if targets.len() <= FAN_OUT {
        return targets;
    }
    targets.shuffle(&mut *cx.lock_rng());
    let near = cx.lock_roster().addresses_in(&cx.settings.failure_domain);
    let (near, far): (Vec<_>, Vec<_>) = targets.into_iter().partition(|it| near.contains(it));
    near.into_iter().take(FAN_OUT_NEAR).chain(far.into_iter().take(FAN_OUT_FAR)).collect()
}

/// Exchanges messages with other routers until the process ends.
pub(crate) async fn run_gossip(cx: Arc<RelayContext>) {
    tokio::join!(send_regularly(&cx), receive(&cx));
}

async fn send_regularly(cx: &RelayContext) {
    cx.gossip.send_status(cx, true).await;
    loop {
        tokio::time::sleep(INTERVAL).await;
        cx.gossip.send_status(cx, false).await;
        update_holders(cx);
        update_crowding(cx);
        witnessing::send_due(cx).await;
        lending::return_surplus(cx).await;
        let now = cx.now();
        cx.gossip.lock_loans().expire(now);
        cx.lock_roster().expire(now);
        cx.lock_endpoints().expire(now);
    }
}

pub(super) fn encode(content: PeerContent) -> Vec<u8> {
    PeerMessage { content: Some(content) }.encode_to_vec()
}

async fn receive(cx: &RelayContext) {
    let mut buf = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (len, sender) = match cx.gossip.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("no message of a router received: {error}");
                continue;
            }
        };
        let content = PeerMessage::decode(&buf[..len]).ok().and_then(|it| it.content);
        let is_read = match content {
            Some(PeerContent::Status(message)) => take_status(cx, &message).await,
            Some(PeerContent::LoanRequest(request)) => {
                lending::lend(cx, request, sender).await;
                true
            }
            Some(PeerContent::Loan(loan)) => {
                lending::borrow(cx, &loan, sender);
                true
            }
            Some(PeerContent::Return(it)) => {
                lending::take_back(cx, &it, sender);
                true
            }
            Some(PeerContent::Declaration(it)) => {
                witnessing::keep(cx, it, sender).await;
                true
            }
            Some(PeerContent::DeclarationKept(it)) => {
                witnessing::confirm(cx, &it).await;
                true
            }
            Some(PeerContent::Question(it)) => {
                witnessing::answer(cx, &it, sender).await;
                true
            }
            Some(PeerContent::Statement(it)) => {
                witnessing::take_statement(cx, &it);
                true
            }
            None => false,
        };
        if !is_read {
            metrics::counter!(telemetry::PEER_MESSAGES_MALFORMED_TOTAL).increment(1);
            log::warn!(sender:% = sender; "message of a router cannot be read");
        }
    }
}

/// Takes over a router's state; false where it cannot be read.
async fn take_status(cx: &RelayContext, message: &StatusMessage) -> bool {
    let Some(member) = read_member(message) else { return false };
    if member.name == cx.settings.name {
        return true;
    }
    if message.wants_answer {
        let datagram = cx.gossip.encode(cx, false);
        cx.gossip.send(&datagram, member.peer_address).await;
    }
    take_over(cx, message, member);
    true
}

fn read_member(message: &StatusMessage) -> Option<Member> {
    Some(Member {
        name: Arc::from(message.name.as_str()),
        process: message.process,
        caller_address: message.caller_address.parse().ok()?,
        peer_address: message.peer_address.parse().ok()?,
        failure_domain: Arc::from(message.failure_domain.as_str()),
        is_ready: message.is_ready,
        config_version: message.config_version,
        processor_millis: message.processor_millis,
        arrivals_per_s: message.arrivals_per_s,
    })
}

fn take_over(cx: &RelayContext, message: &StatusMessage, member: Member) {
    let now = cx.now();
    let shares: Vec<_> = message.loads.iter().map(LoadMessage::to_share).collect();
    cx.lock_endpoints().apply_peer_loads(&member.name, &shares, now);
    cx.note_config_seen(member.config_version);
    let mut roster = cx.lock_roster();
    roster.hear(member, now);
    for heard in message.heard.iter().flat_map(HeardMessage::heard) {
        roster.hear_of(&heard, now);
    }
    drop(roster);
    for record in message.crashes.iter().filter_map(CrashMessage::to_record) {
        if cx.lock_quarantine().merge(&record, now) {
            log::warn!(fingerprint:% = record.fingerprint, endpoints = record.endpoints.len(); "content that crashed endpoints learned from a router");
        }
    }
}
