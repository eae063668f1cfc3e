//! One request in progress: what it holds, and how it ends.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use types::Timestamp;
use utils::Digest;

use super::exchange::Outgoing;
use crate::{
    allowance::Reservation,
    context::{InForce, RelayContext},
    model::{Account, RequestHead, Route},
    units::millis,
};

/// Events of a stream that may be delivered in part when it breaks.
const EVENTS_IN_FLIGHT: u64 = 1;

/// Outcome of a request whose caller left, and of one in progress.
pub(super) const CALLER_LEFT: &str = "caller_left";

/// One request in progress. Settles its tokens and logs its end when dropped.
pub(super) struct Run {
    /// Shared state.
    pub(super) cx: Arc<RelayContext>,
    /// Desired state by which the request is handled.
    pub(super) in_force: Arc<InForce>,
    /// Head.
    pub(super) head: RequestHead,
    /// Route.
    pub(super) route: Arc<Route>,
    /// Client account.
    pub(super) account: Option<Arc<Account>>,
    /// Service that was drawn for it.
    pub(super) service: Arc<str>,
    /// What goes to endpoints.
    pub(super) outgoing: Outgoing,
    /// When it arrived.
    pub(super) received_at: Timestamp,
    /// When its caller gives up or its route's timeout passes.
    pub(super) limit_at: Timestamp,
    /// Reserved tokens.
    pub(super) reservation: Option<Reservation>,
    /// Attempts that may have run.
    pub(super) attempts: u32,
    /// Attempts that arrived at an endpoint.
    pub(super) arrivals: u32,
    /// Whether an endpoint may have begun to run it.
    pub(super) may_have_run: bool,
    /// Endpoints that failed it.
    pub(super) avoid: Vec<Arc<str>>,
    /// Events read from endpoints.
    pub(super) events: u64,
    /// When the first event arrived.
    pub(super) first_event_at: Option<Timestamp>,
    /// Whether all of the answer was read.
    pub(super) is_complete: bool,
    /// How it ended, for the log.
    pub(super) outcome: &'static str,
    /// Endpoint of the last attempt.
    pub(super) endpoint: Option<Arc<str>>,
}

impl Run {
    /// Returns the time that is left.
    pub(super) fn time_left(&self) -> Duration {
        self.limit_at.since(self.cx.now())
    }

    /// Returns the digest of what the request consists of, whatever its id.
    pub(super) fn fingerprint(&self) -> Digest {
        let key = self.head.key.as_deref().unwrap_or_default();
        let path = self.outgoing.uri.path_and_query().map_or("", |it| it.as_str());
        let head = format!("{}\n{path}\n{key}\n", self.outgoing.method);
        Digest::from_content(&[head.as_bytes(), &self.outgoing.body].concat())
    }

    /// Returns the rank of the request; 0 is the most urgent.
    pub(super) fn priority(&self) -> u32 {
        self.account.as_ref().and_then(|it| it.priority).unwrap_or(self.route.priority)
    }

    /// Tells whether the caller left before the first event. A model engine begins to run a
    /// request with its first token, and the run was cancelled before that was seen.
    fn has_left_before_run(&self) -> bool {
        self.outcome == CALLER_LEFT && self.route.retry_policy.is_stream() && self.events == 0
    }

    /// Returns the tokens that count as spent. Where the end of the answer is not known,
    /// events on the way are counted too.
    fn spent_tokens(&self) -> u64 {
        let Some(tokens) = self.head.tokens.filter(|_| self.arrivals > 0) else { return 0 };
        if !self.may_have_run || self.has_left_before_run() {
            return 0;
        }
        let spec = self.in_force.state.services.get(&self.service);
        let Some(per_event) = spec.and_then(|it| it.tokens_per_event) else {
            return tokens.total();
        };
        let on_the_way = if self.is_complete { 0 } else { EVENTS_IN_FLIGHT };
        let output = (self.events + on_the_way).saturating_mul(per_event);
        tokens.prompt.saturating_add(output.min(tokens.max_output))
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let now = self.cx.now();
        let spent = self.spent_tokens();
        if let Some(reservation) = self.reservation.take() {
            self.cx.lock_allowances().settle(reservation, spent);
        }
        self.cx.running.fetch_sub(1, Ordering::Relaxed);
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
            arrivals = self.arrivals,
            events = self.events,
            prompt = self.head.tokens.map_or(0, |it| it.prompt),
            max_output = self.head.tokens.map_or(0, |it| it.max_output),
            tokens = spent,
            first_ms = first_ms.unwrap_or_default(),
            total_ms = millis(total),
            outcome = self.outcome;
            "request ended"
        );
    }
}
