//! State of a request in progress; its tokens are settled and its end is logged on drop.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock, atomic::Ordering},
    time::Duration,
};

use inbound::HeldBody;
use types::Timestamp;
use utils::Digest;

use super::{
    exchange::OutgoingRequest,
    waiting::{is_ordered, record_start_time},
};
use crate::{
    allowance::Reservation,
    context::{InForce, RelayContext},
    model::{Account, RequestHead, Route},
    origins::Origin,
    units::millis,
};

/// Number of events that may have been delivered in part when a stream breaks.
const EVENTS_IN_FLIGHT: u64 = 1;

/// Outcome of a request whose caller disconnected; also the initial value while in progress.
pub(super) const CALLER_LEFT: &str = "caller_left";

/// Why this router ends an answer before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CutReason {
    /// The deadline of the request has passed.
    Deadline,
    /// The endpoint broke off, and no other one may or can go on.
    Broken,
}

impl CutReason {
    /// Returns the label for metrics and logs.
    fn label(self) -> &'static str {
        match self {
            CutReason::Deadline => "deadline",
            CutReason::Broken => "broken",
        }
    }
}

/// A request in progress. Settles its tokens and logs its end when dropped.
pub(super) struct ActiveRequest {
    /// Shared state of the relay.
    pub(super) cx: Arc<RelayContext>,
    /// Desired state that applies to the request.
    pub(super) in_force: Arc<InForce>,
    /// Fields read from the head of the caller's request.
    pub(super) head: RequestHead,
    /// Route that matches the request.
    pub(super) route: Arc<Route>,
    /// Client account; `None` for requests without one.
    pub(super) account: Option<Arc<Account>>,
    /// Service that was picked for the request.
    pub(super) service: Arc<str>,
    /// Request as sent to endpoints.
    pub(super) outgoing: OutgoingRequest,
    /// Counts the memory of the body until the request ends.
    pub(super) _body: HeldBody,
    /// When the request arrived.
    pub(super) received_at: Timestamp,
    /// End of the caller's or the route's timeout, whichever is earlier.
    pub(super) deadline: Timestamp,
    /// Reserved tokens; `None` before the reservation, or if none is needed.
    pub(super) reservation: Option<Reservation>,
    /// Number of attempts that may have run.
    pub(super) attempts: u32,
    /// Number of attempts that arrived at an endpoint.
    pub(super) delivered_attempts: u32,
    /// Whether an endpoint may have begun to run the request.
    pub(super) may_have_run: bool,
    /// Ids of the endpoints that failed the request.
    pub(super) failed_endpoints: Vec<Arc<str>>,
    /// Number of events read from endpoints.
    pub(super) events: u64,
    /// Number of events of the latest attempt.
    pub(super) attempt_events: u64,
    /// Where the stream began, or begins if the current attempt brings its first event.
    pub(super) origin: Option<Origin>,
    /// Number of times that an origin was recorded.
    pub(super) origin_records: u32,
    /// Routers that have got the latest record.
    pub(super) record_holders: Vec<SocketAddr>,
    /// Whether the request may be sent once although it contains something condemned, to test the
    /// verdict.
    pub(super) is_trial: bool,
    /// Digest of the content, once computed.
    pub(super) fingerprint: OnceLock<Digest>,
    /// When it was last sent to an endpoint.
    pub(super) sent_at: Option<Timestamp>,
    /// When the first event arrived.
    pub(super) first_event_at: Option<Timestamp>,
    /// Whether the whole answer was read.
    pub(super) is_complete: bool,
    /// Whether a success without events is passed on, so that its output cannot be counted.
    pub(super) has_uncounted_output: bool,
    /// How the request ended, for the log.
    pub(super) outcome: &'static str,
    /// Endpoint of the last attempt.
    pub(super) endpoint: Option<Arc<str>>,
}

impl ActiveRequest {
    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.since(self.cx.now())
    }

    /// Returns the digest of the request's content: method, path, key and body, but not its id.
    pub(super) fn fingerprint(&self) -> Digest {
        *self.fingerprint.get_or_init(|| {
            let key = self.head.key.as_deref().unwrap_or_default();
            let path = self.outgoing.uri.path_and_query().map_or("", |it| it.as_str());
            let head = format!("{}\n{path}\n{key}\n", self.outgoing.method);
            Digest::from_content(&[head.as_bytes(), &self.outgoing.body].concat())
        })
    }

    /// Returns the ids of the prompt's parts, in hexadecimal, for the log.
    pub(super) fn part_ids(&self) -> String {
        let ids: Vec<String> = self.head.parts.iter().map(|it| format!("{:x}", it.id)).collect();
        ids.join(",")
    }

    /// Returns the priority of the request; 0 is the most urgent.
    pub(super) fn priority(&self) -> u32 {
        self.account.as_ref().and_then(|it| it.priority).unwrap_or(self.route.priority)
    }

    /// Records that this router ends the answer before its end.
    pub(super) fn record_cut(&self, reason: CutReason) {
        let now = self.cx.now();
        let newest = self.cx.in_force.load_full().map_or(self.in_force.since, |it| it.since);
        metrics::counter!(telemetry::ANSWERS_CUT_TOTAL, "reason" => reason.label()).increment(1);
        log::warn!(request:% = self.head.id, reason = reason.label(), endpoint:% = self.endpoint.as_deref().unwrap_or(""), events = self.events, since_config_ms = millis(now.since(newest)), time_left_ms = millis(self.time_left()); "answer cut off");
    }

    /// Reports whether the caller disconnected before the first event. A request counts as run by
    /// a model engine from its first token on, and this one was cancelled before a token arrived.
    fn caller_left_before_run(&self) -> bool {
        self.outcome == CALLER_LEFT && self.route.retry_policy.is_stream() && self.events == 0
    }

    /// Returns the time from sending the request to its answer or its first event, if it was sent
    /// once.
    fn start_time(&self, now: Timestamp) -> Option<Duration> {
        let sent_at = self.sent_at.filter(|_| self.attempts == 1)?;
        let is_answered = self.outcome == "answered";
        let started_at = self.first_event_at.or(is_answered.then_some(now))?;
        Some(started_at.since(sent_at))
    }

    /// Returns the number of tokens that count as spent: with the maximum output if the output cannot
    /// be counted. If the answer is incomplete, events in flight are counted too.
    fn spent_tokens(&self) -> u64 {
        let Some(tokens) = self.head.tokens.filter(|_| self.delivered_attempts > 0) else {
            return 0;
        };
        if !self.may_have_run {
            return 0;
        }
        if self.caller_left_before_run() {
            // During a stall the endpoint may have sent events that this router has not read.
            let has_stalled = self.cx.check_for_stall().has_stalled_since(self.received_at);
            return if has_stalled { tokens.total() } else { 0 };
        }
        let spec = self.in_force.state.services.get(&self.service);
        let per_event = spec.and_then(|it| it.tokens_per_event);
        let Some(per_event) = per_event.filter(|_| !self.has_uncounted_output) else {
            return tokens.total();
        };
        let events_in_flight = if self.is_complete { 0 } else { EVENTS_IN_FLIGHT };
        let output = (self.events + events_in_flight).saturating_mul(per_event);
        tokens.prompt.saturating_add(output.min(tokens.max_output))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let now = self.cx.now();
        let spent = self.spent_tokens();
        let reserved = self.reservation.as_ref().map_or(0, |it| it.tokens);
        if let Some(reservation) = self.reservation.take() {
            self.cx.lock_allowances().settle(reservation, spent);
        }
        self.cx.running.fetch_sub(1, Ordering::Relaxed);
        if let Some(time) = self.start_time(now).filter(|_| is_ordered(self)) {
            record_start_time(self, time);
        }
        let total = now.since(self.received_at);
        metrics::histogram!(telemetry::REQUEST_SECONDS).record(total.as_secs_f64());
        let first_ms = self.first_event_at.map(|it| millis(it.since(self.received_at)));
        log::info!(
            request:% = self.head.id,
            account:% = self.account.as_ref().map_or("", |it| &it.name),
            route:% = self.route.name,
            service:% = self.service,
            endpoint:% = self.endpoint.as_deref().unwrap_or(""),
            config = self.in_force.state.version,
            config_age_ms = millis(now.since(self.in_force.since)),
            attempts = self.attempts,
            arrivals = self.delivered_attempts,
            events = self.events,
            prompt = self.head.tokens.map_or(0, |it| it.prompt),
            max_output = self.head.tokens.map_or(0, |it| it.max_output),
            reserved,
            tokens = spent,
            first_ms = first_ms.unwrap_or_default(),
            total_ms = millis(total),
            outcome = self.outcome;
            "request ended"
        );
    }
}
