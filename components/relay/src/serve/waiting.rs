//! Waits for a place in the order in which the queue of the service grants them.

use std::{sync::Arc, time::Duration};

use errors::{Error, ErrorKind};
use rand::Rng as _;
use routing::WaiterId;
use tokio::sync::Notify;
use types::Timestamp;
use utils::HashMap;

use super::{
    exchange::PlacementGuard,
    placing::{PlacementTry, admit, try_place},
    run::ActiveRequest,
};
use crate::{
    context::RelayContext,
    units::millis,
    waiting::{Refusal, ServiceQueue, WaitingClass},
};

/// Highest level of urgency; less urgent requests have this one.
const LEVEL_MAX: u32 = 9;

/// Requests that wait for places, by service.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    services: HashMap<Arc<str>, ServiceWaiters>,
}

/// Requests that wait for places at the endpoints of one service.
#[derive(Debug, Default)]
struct ServiceWaiters {
    queue: ServiceQueue,
    /// Notified when the request may try to get a place, or was refused.
    signals: HashMap<WaiterId, Arc<Notify>>,
}

impl ServiceWaiters {
    fn notify(&self, ids: impl IntoIterator<Item = WaiterId>) {
        for id in ids {
            if let Some(signal) = self.signals.get(&id) {
                signal.notify_one();
            }
        }
    }
}

impl WaitingRequests {
    fn of(&mut self, service: &Arc<str>) -> &mut ServiceWaiters {
        self.services.entry(service.clone()).or_default()
    }
}

impl RelayContext {
    /// Wakes the request that is next for a place of `service`, after one became free.
    pub(crate) fn wake_waiting(&self, service: &str) {
        let now = self.now();
        if let Some(waiters) = self.lock_waiting().services.get_mut(service) {
            let next = waiters.queue.begin_round(now);
            waiters.notify(next);
        }
    }

    /// Wakes the requests that are next for a place, after a report on the endpoints of any service.
    pub(crate) fn wake_all_waiting(&self) {
        let now = self.now();
        for waiters in self.lock_waiting().services.values_mut() {
            let next = waiters.queue.begin_round_by_report(now);
            waiters.notify(next);
        }
    }
}

/// Reports whether requests wait for places of the service that go before this one.
pub(super) fn has_to_wait(request: &ActiveRequest) -> bool {
    let waiting = request.cx.lock_waiting();
    let waiters = waiting.services.get(&request.service);
    waiters.is_some_and(|it| it.queue.has_waiters(level_of(request)))
}

/// Reports whether waiting requests of the service are ordered: they differ in priority or account.
pub(super) fn is_ordered(request: &ActiveRequest) -> bool {
    request.in_force.state.has_competing_requests(&request.service)
}

/// Records that a request got a place without waiting.
pub(super) fn record_direct_place(request: &ActiveRequest) {
    let now = request.cx.now();
    request.cx.lock_waiting().of(&request.service).queue.record_direct_place(now);
}

/// Records the time from sending a request to its answer or its first event.
pub(super) fn record_start_time(request: &ActiveRequest, time: Duration) {
    let is_stream = request.route.retry_policy.is_stream();
    let mut waiting = request.cx.lock_waiting();
    let queue = &mut waiting.of(&request.service).queue;
    queue.record_start_time(level_of(request), is_stream, time);
}

/// Waits until the request gets a place or is refused.
///
/// # Errors
/// Returns an error if the request cannot be served in time, or no endpoint is available.
pub(super) async fn wait_for_turn(request: &ActiveRequest) -> Result<PlacementGuard, Error> {
    let turn = Turn::join(request);
    let mut next_at = None;
    loop {
        if let Some(refusal) = turn.refusal() {
            return Err(refusal_error(request, &refusal));
        }
        if !turn.wait(next_at.take()).await {
            continue;
        }
        let placement = match try_place(request, request.deadline)? {
            PlacementTry::Placed(placement) => *placement,
            PlacementTry::Later(at) => {
                next_at = at;
                turn.record_no_place();
                continue;
            }
            PlacementTry::Full | PlacementTry::Unnamed => {
                turn.record_no_place();
                continue;
            }
        };
        let guard = PlacementGuard::new(request.cx.clone(), placement);
        if guard.placement.is_brittle {
            // Others try while the owner of the endpoint is asked.
            turn.record_no_place();
        }
        if let Some(guard) = admit(request, guard).await {
            turn.record_place();
            return Ok(guard);
        }
    }
}

fn level_of(request: &ActiveRequest) -> u32 {
    request.priority().min(LEVEL_MAX)
}

fn class_of(request: &ActiveRequest) -> WaitingClass {
    let unshared = request.head.parts.last().map(|it| it.tokens);
    let cost =
        request.head.tokens.map_or(1, |it| unshared.unwrap_or(it.prompt) + it.max_output).max(1);
    WaitingClass {
        level: level_of(request),
        account: request.account.as_ref().map_or_else(|| "".into(), |it| it.name.clone()),
        route: request.route.name.clone(),
        is_stream: request.route.retry_policy.is_stream(),
        cost,
        received_at: request.received_at,
        latency_target: request.route.latency_target,
        deadline: request.deadline,
    }
}

fn refusal_error(request: &ActiveRequest, refusal: &Refusal) -> Error {
    let message = "all endpoints of the service are at capacity";
    let error = Error::new(ErrorKind::Overloaded, message).with_retry_delay(refusal.retry_delay);
    log::info!(request:% = request.head.id, service:% = request.service, account:% = request.account.as_ref().map_or("", |it| &it.name), level = level_of(request), ahead = refusal.ahead, interval_ms = millis(refusal.interval), turn_ms = millis(refusal.turn), waited_ms = millis(refusal.waited), return_ms = millis(refusal.retry_delay); "waiting request refused");
    metrics::counter!(telemetry::WAITING_REFUSALS_TOTAL, "level" => level_of(request).to_string())
        .increment(1);
    if request.may_have_run { error.after_earlier_attempt() } else { error }
}

/// Place of a request in the queue of its service. Leaves the queue when dropped.
struct Turn<'a> {
    request: &'a ActiveRequest,
    id: WaiterId,
    signal: Arc<Notify>,
}

impl Turn<'_> {
    fn join(request: &ActiveRequest) -> Turn<'_> {
        let (class, now) = (class_of(request), request.cx.now());
        let (level, spread) = (class.level, random_spread(request));
        let signal = Arc::new(Notify::new());
        let mut waiting = request.cx.lock_waiting();
        let waiters = waiting.of(&request.service);
        let (id, refused) = waiters.queue.join(class, spread, now);
        waiters.signals.insert(id, signal.clone());
        waiters.notify(refused);
        let next = waiters.queue.begin_round_by_report(now);
        waiters.notify(next);
        record_length(waiters, &request.service);
        drop(waiting);
        metrics::counter!(telemetry::WAITED_TOTAL, "level" => level.to_string()).increment(1);
        Turn { request, id, signal }
    }

    /// Waits until the request may try to get a place; returns `false` if it may not, because the time
    /// for a new estimate, or `next_at`, from which the endpoints' statements allow a request, came
    /// first.
    async fn wait(&self, next_at: Option<Timestamp>) -> bool {
        let now = self.request.cx.now();
        let check_at =
            self.with_waiters(|waiters| waiters.queue.check_at(self.id, now)).unwrap_or(now);
        let at = next_at.map_or(check_at, |it| it.min(check_at));
        let at = self.request.cx.instant(at);
        if tokio::time::timeout_at(at, self.signal.notified()).await.is_ok() {
            return self.with_waiters(|waiters| waiters.queue.is_waiting(self.id));
        }
        let (now, spread) = (self.request.cx.now(), random_spread(self.request));
        self.with_waiters(|waiters| {
            let refused = waiters.queue.refuse_hopeless(spread, now);
            waiters.notify(refused);
            let next = waiters.queue.begin_round(now);
            waiters.notify(next);
        });
        false
    }

    fn refusal(&self) -> Option<Refusal> {
        self.with_waiters(|waiters| waiters.queue.take_refusal(self.id))
    }

    fn record_no_place(&self) {
        let now = self.request.cx.now();
        self.with_waiters(|waiters| {
            let next = waiters.queue.record_no_place(self.id, now);
            waiters.notify(next);
        });
    }

    fn record_place(&self) {
        let now = self.request.cx.now();
        self.with_waiters(|waiters| {
            let next = waiters.queue.record_place(self.id, now);
            waiters.notify(next);
        });
    }

    fn with_waiters<T>(&self, f: impl FnOnce(&mut ServiceWaiters) -> T) -> T {
        f(self.request.cx.lock_waiting().of(&self.request.service))
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let now = self.request.cx.now();
        self.with_waiters(|waiters| {
            waiters.signals.remove(&self.id);
            let next = waiters.queue.leave(self.id, now);
            waiters.notify(next);
            record_length(waiters, &self.request.service);
        });
    }
}

fn record_length(waiters: &ServiceWaiters, service: &Arc<str>) {
    metrics::gauge!(telemetry::WAITING_REQUESTS, "service" => service.to_string())
        .set(waiters.queue.len() as f64);
}

/// Returns the share of the longest retry delay that is told to callers who are not expected to be
/// served within it, so that they do not return together.
fn random_spread(request: &ActiveRequest) -> f64 {
    request.cx.lock_rng().random_range(0.5..1.0)
}
