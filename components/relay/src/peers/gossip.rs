//! Sends and receives the datagrams that routers exchange.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
};

use prost::Message;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use types::Timestamp;

use super::{
    DomainsMessage, EvidenceMessage, LivenessMessage, LoadMessage, Member, PeerContent,
    PeerMessage, PendingLoans, RoomMessage, RouterLoad, SpeedMessage, StatementMessage,
    StatusMessage,
    admissions::{
        handle_admission_end, handle_admission_reply, handle_admission_request, update_admissions,
    },
    draws,
    evidence::{apply_evidence, expire_evidence},
    holders::update_holders,
    lending, origins,
    statements::{apply_reports, update_rate_shares},
    witnessing,
};
use crate::{
    context::RelayContext,
    room::{RoomSample, is_crowded, is_drawn_by_room},
    stalls::CHECK_INTERVAL,
    units::millis,
};

/// Time between two rounds of status messages.
const SEND_INTERVAL: Duration = CHECK_INTERVAL;

/// Maximum number of routers in this router's failure domain to which each round is sent. The
/// limit keeps the cost per router independent of the size of the fleet.
const FAN_OUT_SAME_DOMAIN: usize = 8;
/// The same for routers in other failure domains, to which traffic costs more.
const FAN_OUT_OTHER_DOMAINS: usize = 6;

/// Maximum number of routers to which each round is sent.
const FAN_OUT: usize = FAN_OUT_SAME_DOMAIN + FAN_OUT_OTHER_DOMAINS;

/// Size of the receive buffer, in bytes; longer datagrams are truncated.
const DATAGRAM_MAX_BYTES: usize = 60 * 1_024;

/// UDP socket for messages between routers, with the state of these exchanges.
#[derive(Debug)]
pub(crate) struct GossipSocket {
    /// Bound to the peer address.
    socket: UdpSocket,
    /// Loans that are not settled.
    loans: Mutex<PendingLoans>,
}

impl GossipSocket {
    /// Binds a UDP socket to the peer address.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<GossipSocket> {
        let socket = UdpSocket::bind(address).await?;
        Ok(GossipSocket { socket, loans: Mutex::default() })
    }

    /// Sends the state of this router to other routers and to the configured seeds at once.
    /// `wants_answer` asks them to reply with their own state.
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

    /// Returns the liveness of the other routers; `None` in a small fleet, where each round of
    /// messages reaches every router directly.
    fn liveness_message(&self, cx: &RelayContext) -> Option<LivenessMessage> {
        let now = cx.now();
        let roster = cx.lock_roster();
        if roster.count() <= FAN_OUT {
            return None;
        }
        Some(LivenessMessage::new(roster.liveness_reports(now)))
    }

    /// Declares to the witnesses how many tokens this router will neither spend nor lend, while
    /// the store does not accept declarations.
    pub(crate) async fn declare_to_witness(&self, cx: &RelayContext) {
        witnessing::send_declaration(cx).await;
    }

    /// Returns whether a loan request has not been answered yet.
    pub(crate) fn is_loan_open(&self, number: u64) -> bool {
        self.lock_loans().is_open(number)
    }

    pub(super) fn lock_loans(&self) -> MutexGuard<'_, PendingLoans> {
        self.loans.lock().expect("the lock is not poisoned")
    }

    pub(super) async fn send(&self, datagram: &[u8], target: SocketAddr) {
        if let Err(error) = self.socket.send_to(datagram, target).await {
            metrics::counter!(telemetry::PEER_MESSAGES_DROPPED_TOTAL, "reason" => "send")
                .increment(1);
            log::debug!(target:% = target; "failed to send a message to a router: {error}");
        }
    }

    /// Sends a datagram without waiting; drops it if the socket's buffer is full.
    pub(super) fn try_send(&self, datagram: &[u8], target: SocketAddr) {
        if let Err(error) = self.socket.try_send_to(datagram, target) {
            metrics::counter!(telemetry::PEER_MESSAGES_DROPPED_TOTAL, "reason" => "send")
                .increment(1);
            log::debug!(target:% = target; "failed to send a message to a router: {error}");
        }
    }

    fn encode(&self, cx: &RelayContext, wants_answer: bool) -> Vec<u8> {
        let own = cx.self_status();
        let loads = cx.lock_endpoints().own_loads();
        let reports = cx.lock_endpoints().reports(cx.now());
        let speeds = cx.lock_endpoints().speed_reports(cx.now());
        let evidence = cx.lock_crash_evidence().reports(cx.now());
        let cut_off = cx.lock_paths().cut_off_services();
        let reached = cx.lock_paths().reached_services(cx.now());
        let now = cx.now();
        let emptied_domains = cx
            .lock_endpoints()
            .emptied_domains()
            .report(now)
            .map(|it| Box::new(DomainsMessage::from_view(it)));
        let message = StatusMessage {
            name: own.name.to_string(),
            process: own.process,
            caller_address: own.caller_address.to_string(),
            peer_address: own.peer_address.to_string(),
            failure_domain: own.failure_domain.to_string(),
            is_ready: own.is_ready,
            config_version: own.config_version,
            loads: loads.iter().map(LoadMessage::from_share).collect(),
            wants_answer,
            liveness: self.liveness_message(cx),
            processor_millis: own.processor_millis,
            arrivals_per_s: own.arrivals_per_s,
            statements: reports.iter().map(StatementMessage::from_report).collect(),
            evidence: evidence.iter().map(EvidenceMessage::from_report).collect(),
            cut_off_services: cut_off.iter().map(ToString::to_string).collect(),
            keeps_draws: true,
            reached_services: reached.iter().map(ToString::to_string).collect(),
            emptied_domains,
            paces_cold_endpoints: true,
            room: Some(Box::new(RoomMessage::from_room(&own.room, cx.now()))),
            speeds: SpeedMessage::from_reports(&speeds).map(Box::new),
        };
        encode(PeerContent::Status(Box::new(message)))
    }
}

/// Measures the room of this router. The timer of this round was due at `due`.
fn update_room(cx: &RelayContext, due: Timestamp) {
    let now = cx.now();
    let (received_bytes, sent_bytes) = cx.connections.bytes.totals();
    let sample = RoomSample {
        received_bytes,
        sent_bytes,
        timer_late: now.since(due),
        arrival_delay: Duration::ZERO,
    };
    cx.lock_room().update(sample, now);
}

/// Updates whether this router receives far more than its share of the requests.
fn update_crowding(cx: &RelayContext) {
    let own = cx.self_status().load();
    let mut fleet = cx.lock_roster().loads(cx.now());
    fleet.push(own);
    let mut rooms = cx.lock_roster().rooms(cx.now());
    let (room, counts_room) = {
        let mut book = cx.lock_room();
        rooms.push(book.room());
        book.is_in_use = is_drawn_by_room(&rooms);
        (book.room(), book.is_in_use)
    };
    // In fleets of equal hosts endpoints are usually equal, too, and what is left of their load in the
    // estimates would move cached parts without need.
    cx.lock_endpoints().set_ignores_speeds(!counts_room);
    let is_crowded = if counts_room {
        is_crowded(&room, &rooms)
    } else {
        own.is_crowded(RouterLoad::mean(&fleet))
    };
    if cx.is_crowded.swap(is_crowded, Ordering::Relaxed) != is_crowded {
        let (used, bound) = room.used_share();
        log::info!(crowded = is_crowded, used:% = format!("{used:.2}"), bound = bound.label(), delay_ms = millis(room.delay), arrivals_per_s = own.arrivals_per_s, routers = fleet.len(); "router share of the requests changed");
    }
}

/// Picks a random subset of `targets` for a round of messages; all of them if they are few.
fn choose_targets(cx: &RelayContext, mut targets: Vec<SocketAddr>) -> Vec<SocketAddr> {
    if targets.len() <= FAN_OUT {
        return targets;
    }
    targets.shuffle(&mut *cx.lock_rng());
    let near = cx.lock_roster().addresses_in(&cx.settings.failure_domain);
    let (near, far): (Vec<_>, Vec<_>) = targets.into_iter().partition(|it| near.contains(it));
    near.into_iter()
        .take(FAN_OUT_SAME_DOMAIN)
        .chain(far.into_iter().take(FAN_OUT_OTHER_DOMAINS))
        .collect()
}

/// Exchanges messages with other routers until the process ends.
pub(crate) async fn run_gossip(cx: Arc<RelayContext>) {
    tokio::join!(send_periodically(&cx), receive(&cx));
}

async fn send_periodically(cx: &RelayContext) {
    cx.gossip.send_status(cx, true).await;
    loop {
        let due = cx.now() + SEND_INTERVAL;
        tokio::time::sleep(SEND_INTERVAL).await;
        drop(cx.check_for_stall());
        update_room(cx, due);
        cx.gossip.send_status(cx, false).await;
        update_holders(cx);
        update_rate_shares(cx);
        update_admissions(cx);
        update_crowding(cx);
        witnessing::send_due_messages(cx).await;
        lending::return_surplus(cx).await;
        draws::announce_draws(cx).await;
        let now = cx.now();
        cx.gossip.lock_loans().expire(now);
        cx.lock_roster().expire(now);
        cx.lock_endpoints().expire(now);
        cx.lock_endpoints().learn_own_speeds(now);
        cx.lock_origins().expire(now);
        expire_evidence(cx);
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
                log::debug!("failed to receive a message from a router: {error}");
                continue;
            }
        };
        let content = PeerMessage::decode(&buf[..len]).ok().and_then(|it| it.content);
        let is_valid = match content {
            Some(PeerContent::Status(message)) => handle_status(cx, &message).await,
            Some(PeerContent::LoanRequest(request)) => {
                lending::handle_loan_request(cx, request, sender).await;
                true
            }
            Some(PeerContent::Loan(loan)) => {
                lending::handle_loan(cx, &loan, sender);
                true
            }
            Some(PeerContent::LoanReturn(it)) => {
                lending::handle_return(cx, &it, sender);
                true
            }
            Some(PeerContent::Declaration(it)) => {
                witnessing::store_declaration(cx, it, sender).await;
                true
            }
            Some(PeerContent::DeclarationAck(it)) => {
                witnessing::handle_ack(cx, &it).await;
                true
            }
            Some(PeerContent::DeclarationQuery(it)) => {
                witnessing::answer_query(cx, &it, sender).await;
                true
            }
            Some(PeerContent::DeclarationReply(it)) => {
                witnessing::handle_reply(cx, &it);
                true
            }
            Some(PeerContent::Origin(it)) => {
                origins::store_origin(cx, &it);
                true
            }
            Some(PeerContent::OriginQuery(it)) => {
                origins::answer_query(cx, &it, sender).await;
                true
            }
            Some(PeerContent::OriginReply(it)) => {
                origins::handle_reply(cx, &it, sender);
                true
            }
            Some(PeerContent::AdmissionRequest(it)) => {
                handle_admission_request(cx, &it, sender).await;
                true
            }
            Some(PeerContent::AdmissionReply(it)) => {
                handle_admission_reply(cx, &it, sender);
                true
            }
            Some(PeerContent::AdmissionEnd(it)) => {
                handle_admission_end(cx, &it);
                true
            }
            Some(PeerContent::DrawNotice(it)) => {
                draws::handle_notice(cx, &it, sender).await;
                true
            }
            Some(PeerContent::BegunStream(it)) => {
                origins::store_begun(cx, &it);
                true
            }
            Some(PeerContent::DrawAck(it)) => {
                draws::handle_ack(cx, &it);
                true
            }
            None => false,
        };
        if !is_valid {
            metrics::counter!(telemetry::PEER_MESSAGES_MALFORMED_TOTAL).increment(1);
            log::warn!(sender:% = sender; "malformed message from a router");
        }
    }
}

/// Applies a router's status message and answers it if asked to. Returns false if the message
/// is malformed.
async fn handle_status(cx: &RelayContext, message: &StatusMessage) -> bool {
    let Some(member) = parse_member(message) else { return false };
    if member.name == cx.settings.name {
        return true;
    }
    if message.wants_answer {
        let datagram = cx.gossip.encode(cx, false);
        cx.gossip.send(&datagram, member.peer_address).await;
    }
    apply_status(cx, message, member);
    if apply_evidence(cx, &message.evidence) && cx.lock_roster().count() > FAN_OUT {
        // A round of messages does not reach all routers, so a verdict is passed on at once.
        cx.gossip.send_status(cx, false).await;
    }
    true
}

fn parse_member(message: &StatusMessage) -> Option<Member> {
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
        room: message.room.clone().unwrap_or_default().to_room(message.processor_millis),
    })
}

fn apply_status(cx: &RelayContext, message: &StatusMessage, member: Member) {
    let now = cx.now();
    let shares: Vec<_> = message.loads.iter().map(LoadMessage::to_share).collect();
    cx.lock_endpoints().apply_peer_loads(&member.name, &shares, now);
    if let Some(speeds) = &message.speeds {
        cx.lock_endpoints().apply_peer_speeds(speeds.to_reports(), now);
    }
    cx.lock_admissions().reconcile(&member.name, &shares, now);
    cx.wake_all_waiting();
    cx.record_peer_version(member.config_version);
    if let Some(view) = message.emptied_domains.as_ref().and_then(|it| it.to_view()) {
        cx.lock_endpoints().emptied_domains_mut().apply_report(view, now);
    }
    let cut_off = message.cut_off_services.iter().map(|it| it.as_str().into()).collect();
    let reached = message.reached_services.iter().map(|it| it.as_str().into()).collect();
    cx.lock_paths().record_peer_statement(&member.name, cut_off, reached, now);
    if let Some(room) = &message.room {
        cx.lock_room().delay.record(&member.name, member.process, room.sent_ms, now);
    }
    let mut roster = cx.lock_roster();
    let name = member.name.clone();
    roster.record_status(member, now);
    roster.record_keeps_draws(&name, message.keeps_draws);
    roster.record_paces_cold_endpoints(&name, message.paces_cold_endpoints);
    for report in message.liveness.iter().flat_map(LivenessMessage::reports) {
        roster.record_report(&report, now);
    }
    drop(roster);
    apply_reports(cx, &message.statements);
}
