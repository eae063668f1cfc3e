//! Sends and receives the datagrams by which routers tell each other their state.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use prost::Message;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;

use super::{
    CrashMessage, HeardMessage, LoadMessage, LoanMessage, Loans, Member, PeerContent, PeerMessage,
    StatusMessage, witnessing,
};
use crate::context::RelayContext;

/// Time between two messages to the same router.
const INTERVAL: Duration = Duration::from_millis(300);

/// Routers to which each round of messages goes at most, so that the cost for a router does
/// not grow with the fleet.
const FAN_OUT: usize = 16;

/// Longest datagram that is read.
const DATAGRAM_MAX_BYTES: usize = 60 * 1_024;

/// Routers that are asked for a loan at a time.
const LENDERS_ASKED: usize = 16;

/// Requests for a loan that wait for a declaration at most.
const KEPT_LOANS_MAX: usize = 256;

/// Crash records in one message at most.
const CRASHES_MAX: usize = 16;

/// The socket for messages of routers.
#[derive(Debug)]
pub(crate) struct GossipSocket {
    /// The socket.
    socket: UdpSocket,
    /// Crash records that were found lately, newest last.
    crashes: Mutex<Vec<CrashMessage>>,
    /// Tokens that this router has asked for.
    loans: Mutex<Loans>,
    /// Requests for tokens that wait for a declaration, with their senders.
    kept_loans: Mutex<Vec<(LoanMessage, SocketAddr)>>,
}

impl GossipSocket {
    /// Binds the socket.
    ///
    /// # Errors
    /// Where the address cannot be bound.
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<GossipSocket> {
        let socket = UdpSocket::bind(address).await?;
        Ok(GossipSocket {
            socket,
            crashes: Mutex::default(),
            loans: Mutex::default(),
            kept_loans: Mutex::default(),
        })
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
        targets.shuffle(&mut *cx.lock_rng());
        targets.truncate(FAN_OUT);
        let datagram = self.encode(cx, wants_answer);
        for target in targets {
            self.send(&datagram, target).await;
        }
    }

    /// Returns what this router has heard of others, where messages do not reach all of them
    /// each time.
    fn heard(&self, cx: &RelayContext) -> Vec<HeardMessage> {
        let now = cx.now();
        let roster = cx.lock_roster();
        if roster.count() <= FAN_OUT {
            return Vec::new();
        }
        let heard = roster.heard(now).map(|(member, age)| HeardMessage {
            name: member.name.to_string(),
            process: member.process,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            is_ready: member.is_ready,
        });
        heard.collect()
    }

    /// Asks some routers to lend tokens of `account`.
    pub(crate) async fn ask_for_loan(&self, cx: &RelayContext, account: &str, tokens: u64) {
        let now = cx.now();
        let mut lenders = cx.lock_roster().heard_addresses(now);
        lenders.shuffle(&mut *cx.lock_rng());
        lenders.truncate(LENDERS_ASKED);
        for lender in lenders {
            let number = self.lock_loans().begin(now, &mut cx.lock_rng());
            let message = LoanMessage { number, account: account.to_owned(), tokens };
            self.send(&encode(PeerContent::LoanRequest(message)), lender).await;
        }
    }

    /// Declares to the witness what this router keeps, where the store does not take it.
    pub(crate) async fn declare_to_witness(&self, cx: &RelayContext) {
        witnessing::declare(cx).await;
    }

    fn keep_loan_request(&self, request: LoanMessage, borrower: SocketAddr) {
        let mut kept = self.lock_kept_loans();
        if kept.len() < KEPT_LOANS_MAX {
            kept.push((request, borrower));
        }
    }

    fn lock_kept_loans(&self) -> MutexGuard<'_, Vec<(LoanMessage, SocketAddr)>> {
        self.kept_loans.lock().expect("no panic while locked")
    }

    fn lock_loans(&self) -> MutexGuard<'_, Loans> {
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
        };
        encode(PeerContent::Status(message))
    }
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
        witnessing::send_due(cx).await;
        let now = cx.now();
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
                lend(cx, request, sender).await;
                true
            }
            Some(PeerContent::Loan(loan)) => {
                borrow(cx, &loan, sender);
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

/// Lends tokens to a router that asks. Where they must not leave before a declaration, it
/// is made first and the request is kept until then.
async fn lend(cx: &RelayContext, request: LoanMessage, borrower: SocketAddr) {
    let now = cx.now();
    let is_bound = cx.lock_allowances().is_bound_below(&request.account, request.tokens, now);
    if is_bound {
        cx.gossip.keep_loan_request(request, borrower);
        witnessing::declare(cx).await;
    } else {
        send_loan(cx, request, borrower).await;
    }
}

/// Serves the requests that waited for a declaration.
pub(super) async fn serve_kept_loans(cx: &RelayContext) {
    let kept = std::mem::take(&mut *cx.gossip.lock_kept_loans());
    for (request, borrower) in kept {
        send_loan(cx, request, borrower).await;
    }
}

/// Lends what is available. The tokens are taken out before the answer is sent.
async fn send_loan(cx: &RelayContext, request: LoanMessage, borrower: SocketAddr) {
    let tokens = cx.lock_allowances().lend(&request.account, request.tokens, cx.now());
    if tokens == 0 {
        return;
    }
    log::info!(account = request.account.as_str(), tokens, wanted = request.tokens, borrower:% = borrower; "tokens lent");
    metrics::counter!(telemetry::LOANED_TOKENS_TOTAL, "direction" => "lent").increment(tokens);
    let loan = LoanMessage { tokens, ..request };
    cx.gossip.send(&encode(PeerContent::Loan(loan)), borrower).await;
}

fn borrow(cx: &RelayContext, loan: &LoanMessage, lender: SocketAddr) {
    if !cx.gossip.lock_loans().take(loan.number) {
        log::warn!(account = loan.account.as_str(), tokens = loan.tokens, lender:% = lender; "loan that was not asked for, or came twice, ignored");
        return;
    }
    log::info!(account = loan.account.as_str(), tokens = loan.tokens, lender:% = lender; "tokens borrowed");
    metrics::counter!(telemetry::LOANED_TOKENS_TOTAL, "direction" => "borrowed")
        .increment(loan.tokens);
    cx.lock_allowances().borrow(&loan.account, loan.tokens);
    cx.allowance_changed.notify_waiters();
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
    })
}

fn take_over(cx: &RelayContext, message: &StatusMessage, member: Member) {
    let now = cx.now();
    let shares: Vec<_> = message.loads.iter().map(LoadMessage::to_share).collect();
    cx.lock_endpoints().apply_peer_loads(&member.name, &shares, now);
    cx.note_config_seen(member.config_version);
    let mut roster = cx.lock_roster();
    roster.hear(member, now);
    for it in &message.heard {
        let age = Duration::from_millis(u64::from(it.age_ms));
        roster.hear_of(&it.name, it.process, age, it.is_ready, now);
    }
    drop(roster);
    for record in message.crashes.iter().filter_map(CrashMessage::to_record) {
        if cx.lock_quarantine().merge(&record, now) {
            log::warn!(fingerprint:% = record.fingerprint, endpoints = record.endpoints.len(); "content that crashed endpoints learned from a router");
        }
    }
}
