//! Asks the owner of a brittle endpoint to admit requests, and admits those of other routers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::Rng as _;
use tokio::{sync::oneshot, time::Instant};
use utils::HashSet;

use super::{
    AdmissionEndMessage, AdmissionReplyMessage, AdmissionRequestMessage, PeerContent,
    gossip::encode,
};
use crate::{
    context::RelayContext,
    endpoints::{Admission, AdmissionRequest, Placement},
};

/// Time after which an unanswered request is sent once more, and after which it is given up.
const REPEAT_AFTER: Duration = Duration::from_millis(15);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Time for which the owner of an endpoint that has not answered is not asked again.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(200);

/// Bounds of the time after which a router asks again for an endpoint without room.
const FULL_PAUSE_MS: std::ops::Range<u64> = 6..14;

/// Permission to send a request to a brittle endpoint. The owner learns of the end of the request
/// when it is dropped.
pub(crate) struct AdmissionTicket {
    cx: Arc<RelayContext>,
    /// Number of the request.
    number: u64,
    /// Id of the endpoint.
    endpoint: Arc<str>,
    /// Peer address of the owner; `None` if it is this router.
    owner: Option<SocketAddr>,
    /// Whether the endpoint refused the request.
    is_refused: bool,
}

impl AdmissionTicket {
    /// Records that the endpoint refused the request.
    pub(crate) fn record_refusal(&mut self) {
        self.is_refused = true;
    }
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        let message = AdmissionEndMessage {
            number: self.number,
            endpoint: self.endpoint.to_string(),
            is_refused: self.is_refused,
        };
        match self.owner {
            None => handle_admission_end(&self.cx, &message),
            Some(owner) => {
                self.cx.gossip.try_send(&encode(PeerContent::AdmissionEnd(message)), owner);
            }
        }
    }
}

/// Removes the entry of an unanswered request when dropped.
struct OpenRequest<'a> {
    cx: &'a RelayContext,
    number: u64,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.cx.lock_open_admissions().remove(&self.number);
    }
}

/// Asks the owner of a brittle endpoint to admit a placed request. If it does not, records in the
/// registry for how long nothing is sent there, and returns `None`.
pub(crate) async fn ask_for_admission(
    cx: &Arc<RelayContext>,
    placement: &Placement,
    fill_share: f64,
) -> Option<AdmissionTicket> {
    let endpoint = placement.endpoint.clone();
    let number = cx.lock_rng().random();
    let router = cx.settings.name.clone();
    let request = AdmissionRequest { number, endpoint: endpoint.clone(), router, fill_share };
    let name = cx.lock_endpoints().owner_of(&endpoint);
    let name = name.unwrap_or_else(|| cx.settings.name.clone());
    let owner = cx.lock_roster().peer_address(&name);
    let started_at_ms = placement.process.started_at_ms;
    let admission = match owner {
        Some(owner) => ask_owner(cx, &request, started_at_ms, owner).await,
        None => Some(admit(cx, &request, started_at_ms)),
    };
    if admission == Some(Admission::Admitted) {
        metrics::counter!(telemetry::ADMISSIONS_TOTAL, "outcome" => "admitted").increment(1);
        return Some(AdmissionTicket {
            cx: cx.clone(),
            number,
            endpoint,
            owner,
            is_refused: false,
        });
    }
    let (outcome, pause) = match admission {
        Some(Admission::Closed(time)) => ("closed", time),
        None => {
            log::info!(endpoint:% = endpoint, owner:% = name; "the router that admits requests to an endpoint does not answer");
            ("unanswered", UNANSWERED_PAUSE)
        }
        Some(_) => {
            let pause_ms = cx.lock_rng().random_range(FULL_PAUSE_MS);
            ("full", Duration::from_millis(pause_ms))
        }
    };
    metrics::counter!(telemetry::ADMISSIONS_TOTAL, "outcome" => outcome).increment(1);
    cx.lock_endpoints().record_denial(&endpoint, cx.now() + pause);
    None
}

/// Returns the owner's decision; `None` if it does not answer in time.
async fn ask_owner(
    cx: &RelayContext,
    request: &AdmissionRequest,
    started_at_ms: u64,
    owner: SocketAddr,
) -> Option<Admission> {
    let (tx, mut rx) = oneshot::channel();
    cx.lock_open_admissions().insert(request.number, tx);
    let _open = OpenRequest { cx, number: request.number };
    let message = AdmissionRequestMessage::new(request, started_at_ms);
    let datagram = encode(PeerContent::AdmissionRequest(message));
    let started = Instant::now();
    for until in [started + REPEAT_AFTER, started + ANSWER_TIMEOUT] {
        cx.gossip.send(&datagram, owner).await;
        if let Ok(answer) = tokio::time::timeout_at(until, &mut rx).await {
            return answer.ok();
        }
    }
    None
}

/// Decides on a request for an endpoint that this router owns.
fn admit(cx: &RelayContext, request: &AdmissionRequest, started_at_ms: u64) -> Admission {
    let now = cx.now();
    let mut endpoints = cx.lock_endpoints();
    if endpoints.owner_of(&request.endpoint).as_ref() != Some(&cx.settings.name) {
        return Admission::Full;
    }
    let Some(mut view) = endpoints.owner_view(&request.endpoint) else {
        return Admission::Full;
    };
    if view.started_at_ms != started_at_ms {
        return Admission::Full;
    }
    let in_force = cx.in_force.load();
    let spec = in_force.as_ref().and_then(|it| it.state.services.get(&view.service));
    view.capacity = spec.and_then(|it| it.capacity).unwrap_or(view.capacity);
    let loads = || endpoints.reported_requests(&request.endpoint, &cx.settings.name, now);
    cx.lock_admissions().admit(request, &view, loads, now)
}

/// Answers another router's request.
pub(super) async fn handle_admission_request(
    cx: &RelayContext,
    message: &AdmissionRequestMessage,
    sender: SocketAddr,
) {
    let Some(request) = message.to_request() else { return };
    let admission = admit(cx, &request, message.started_at_ms);
    let reply = AdmissionReplyMessage::new(&request, admission);
    cx.gossip.send(&encode(PeerContent::AdmissionReply(reply)), sender).await;
}

/// Handles an owner's decision. A request that was given up in the meantime has ended.
pub(super) fn handle_admission_reply(
    cx: &RelayContext,
    reply: &AdmissionReplyMessage,
    owner: SocketAddr,
) {
    let open = cx.lock_open_admissions().remove(&reply.number);
    let is_taken = open.is_some_and(|it| it.send(reply.to_admission()).is_ok());
    if !is_taken && reply.is_admitted {
        let (number, endpoint) = (reply.number, reply.endpoint.clone());
        let message = AdmissionEndMessage { number, endpoint, is_refused: false };
        cx.gossip.try_send(&encode(PeerContent::AdmissionEnd(message)), owner);
    }
}

/// Records the end of a request that this router admitted.
pub(super) fn handle_admission_end(cx: &RelayContext, message: &AdmissionEndMessage) {
    let now = cx.now();
    let mut book = cx.lock_admissions();
    if message.is_refused {
        book.record_refusal(&message.endpoint, message.number, now);
    } else {
        book.end(&message.endpoint, message.number);
    }
    drop(book);
    cx.capacity_freed.notify_one();
    cx.wake_all_waiting();
}

/// Corrects the admitted requests of this router and drops those of routers that are gone.
pub(super) fn update_admissions(cx: &RelayContext) {
    let now = cx.now();
    let live = cx.lock_roster().live_processes(now).into_iter().map(|it| it.router);
    let live: HashSet<Arc<str>> = live.chain([cx.settings.name.clone()]).collect();
    let share = cx.lock_roster().reachable_share(now);
    let mut endpoints = cx.lock_endpoints();
    let mut book = cx.lock_admissions();
    book.set_share(share, now);
    book.reconcile(&cx.settings.name, &endpoints.own_loads(), now);
    book.expire(&live, |id| endpoints.owner_of(id).as_ref() == Some(&cx.settings.name), now);
}
