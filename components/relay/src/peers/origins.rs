//! Tells other routers where streams began, and asks them.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use rand::Rng as _;
use tokio::time::Instant;
use utils::{HashSet, stable_hash};

use super::{
    Member, OriginMessage, OriginQueryMessage, OriginReplyMessage, PeerContent, gossip::encode,
};
use crate::{
    allowance::Role,
    context::RelayContext,
    origins::{Origin, OriginAnswer, OriginRecord, QueryResult, StreamKey, VersionView},
};

/// Number of routers that keep the record of a stream, besides the one that began it.
const HOLDERS: usize = 3;

/// Maximum number of routers that are asked for a record; in larger fleets those that rank highest.
const ASKED_MAX: usize = 16;

/// Time that the answers to a query may take, and after which it is sent once more.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
const REPEAT_AFTER: Duration = Duration::from_millis(40);

/// Returns the routers by their rank for a stream, the highest first; the same on all routers that
/// know the same ones.
fn rank<'a>(key: StreamKey, members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let rank = |it: &Member| stable_hash(&[&key.0.to_le_bytes(), it.name.as_bytes()]);
    let mut ranked: Vec<(u64, &Member)> = members.map(|it| (rank(it), it)).collect();
    ranked.sort_unstable_by_key(|it| std::cmp::Reverse(it.0));
    ranked.into_iter().map(|it| it.1).collect()
}

/// Returns the routers that keep the record of a stream: the highest in rank, from different failure
/// domains as far as there are enough.
pub fn holders_of(key: StreamKey, members: &[&Member]) -> Vec<SocketAddr> {
    let ranked = rank(key, members.iter().copied());
    let mut domains: HashSet<&str> = HashSet::default();
    let (first, rest): (Vec<&Member>, Vec<&Member>) =
        ranked.into_iter().partition(|it| domains.insert(&it.failure_domain));
    first.into_iter().chain(rest).take(HOLDERS).map(|it| it.peer_address).collect()
}

/// Returns the routers to which the record of a stream is sent: its holders among the live `members` (each
/// with whether it is live), and the routers in `earlier`, which have an earlier record. After a stall no
/// member counts as live, so with too few live ones others are included.
pub fn record_targets(
    key: StreamKey,
    members: &[(&Member, bool)],
    earlier: &[SocketAddr],
) -> Vec<SocketAddr> {
    let live: Vec<&Member> = members.iter().filter(|it| it.1).map(|it| it.0).collect();
    let mut targets = holders_of(key, &live);
    let all: Vec<&Member> = members.iter().map(|it| it.0).collect();
    let others = if live.len() < HOLDERS { holders_of(key, &all) } else { Vec::new() };
    for target in others.into_iter().chain(earlier.iter().copied()) {
        if !targets.contains(&target) {
            targets.push(target);
        }
    }
    targets
}

/// Records where a stream is about to begin, here and at other routers. Returns these; `earlier` are those
/// that have got an earlier record of the stream.
pub(crate) async fn announce_origin(
    cx: &RelayContext,
    record: &OriginRecord,
    earlier: &[SocketAddr],
) -> Vec<SocketAddr> {
    let now = cx.now();
    cx.lock_origins().record(record, now);
    let targets = {
        let roster = cx.lock_roster();
        let members: Vec<(&Member, bool)> = roster.members(now).collect();
        record_targets(record.key, &members, earlier)
    };
    let datagram = encode(PeerContent::Origin(OriginMessage::from_record(record)));
    for target in &targets {
        cx.gossip.send(&datagram, *target).await;
    }
    targets
}

/// Stores where a stream has begun that its caller can take up, if its service has several versions. In a
/// large fleet the routers that hold accounts' tokens do it for the others, so that few routers write.
pub(crate) fn announce_begun(cx: &RelayContext, key: StreamKey, origin: &Origin) {
    let now = cx.now();
    if cx.lock_endpoints().versions(&origin.service, now).len() < 2 {
        return;
    }
    if cx.lock_allowances().role() == Role::Holder {
        cx.lock_begun_streams().add(key, origin.clone(), now);
        return;
    }
    let holders = cx.lock_allowances().lenders("");
    let address = {
        let roster = cx.lock_roster();
        holders.iter().find_map(|it| roster.peer_address(it))
    };
    if let Some(address) = address {
        let record = OriginRecord { key, attempt: u32::MAX, origin: origin.clone() };
        let message = PeerContent::BegunStream(OriginMessage::from_record(&record));
        cx.gossip.try_send(&encode(message), address);
    }
}

/// Stores where another router's stream has begun.
pub(super) fn store_begun(cx: &RelayContext, message: &OriginMessage) {
    let (record, now) = (message.to_record(), cx.now());
    cx.lock_begun_streams().add(record.key, record.origin, now);
}

/// Returns what is known about where a stream began. `key` is `None` if the caller does not say which
/// stream it takes up. Other routers are asked unless this one has a record.
pub(crate) async fn find_origin(
    cx: &RelayContext,
    key: Option<StreamKey>,
    service: &Arc<str>,
) -> QueryResult {
    let now = cx.now();
    let own = key.and_then(|it| cx.lock_origins().get(it, now));
    if own.is_some() {
        return QueryResult { origin: own, ..QueryResult::default() };
    }
    ask_routers(cx, key.unwrap_or(StreamKey(0)), service).await
}

async fn ask_routers(cx: &RelayContext, key: StreamKey, service: &Arc<str>) -> QueryResult {
    let asked: Vec<SocketAddr> = {
        let roster = cx.lock_roster();
        let ranked = rank(key, roster.members(cx.now()).map(|it| it.0));
        ranked.into_iter().take(ASKED_MAX).map(|it| it.peer_address).collect()
    };
    let number = cx.lock_rng().random();
    let query = OriginQueryMessage { number, key: key.0, service: service.to_string() };
    let datagram = encode(PeerContent::OriginQuery(query));
    cx.lock_origin_queries().open(number, &asked);
    let started = Instant::now();
    for until in [started + REPEAT_AFTER, started + ANSWER_TIMEOUT] {
        let unanswered = cx.lock_origin_queries().unanswered(number);
        for address in unanswered {
            cx.gossip.send(&datagram, address).await;
        }
        loop {
            let answered = cx.origin_answered.notified();
            if cx.lock_origin_queries().is_final(number) {
                return cx.lock_origin_queries().close(number);
            }
            if tokio::time::timeout_at(until, answered).await.is_err() {
                break;
            }
        }
    }
    cx.lock_origin_queries().close(number)
}

/// Returns what this router knows about the versions of a service.
pub(crate) fn own_view(cx: &RelayContext, service: &str) -> VersionView {
    let has_history = cx.has_version_history.load(Ordering::Relaxed);
    cx.lock_endpoints().version_view(service, has_history, cx.now(), cx.boot_now())
}

/// Keeps the record of another router's stream.
pub(super) fn store_origin(cx: &RelayContext, message: &OriginMessage) {
    let now = cx.now();
    cx.lock_origins().record(&message.to_record(), now);
}

/// Answers another router's query.
pub(super) async fn answer_query(
    cx: &RelayContext,
    query: &OriginQueryMessage,
    sender: SocketAddr,
) {
    let now = cx.now();
    let origin = cx.lock_origins().get(StreamKey(query.key), now);
    let answer = OriginAnswer { origin, view: own_view(cx, &query.service) };
    let reply = OriginReplyMessage::new(query, &answer);
    cx.gossip.send(&encode(PeerContent::OriginReply(reply)), sender).await;
}

/// Handles the answer to a query of this router.
pub(super) fn handle_reply(cx: &RelayContext, reply: &OriginReplyMessage, sender: SocketAddr) {
    cx.lock_origin_queries().add_answer(reply.number, sender, reply.to_answer());
    cx.origin_answered.notify_waiters();
}
