//! Grants a request another run, on another endpoint: before it leaves a silent endpoint, and after
//! its endpoint broke off.

use std::{future::pending, sync::Arc, time::Duration};

use rand::Rng as _;
use types::Timestamp;

use super::{
    exchange::PlacementGuard,
    placing::{admit, choose_endpoint, has_retry, try_take_retry},
    run::ActiveRequest,
    suspicion::is_condemned,
};
use crate::{endpoints::Choice, model::Route, units::millis};

/// Minimum time for which callers wait for the next event of a stream.
const EVENT_GAP_MIN: Duration = Duration::from_secs(2);

/// Callers wait for the next event for at least this many times the latency target.
const EVENT_GAP_LATENCY_FACTOR: u32 = 4;

/// Callers wait for the next event for at least this many times the pause target.
const EVENT_GAP_PAUSE_FACTOR: u32 = 8;

/// Minimum silence after which a stream may leave its endpoint. Sound endpoints are silent for a
/// second or so at times.
const SILENCE_MIN: Duration = Duration::from_millis(1_500);

/// The same for a request without an event: nothing of its answer is lost if it leaves a sound
/// endpoint.
const FIRST_SILENCE_MIN: Duration = Duration::from_millis(1_200);

/// Minimum silence after which other endpoints are preferred for new requests.
const SUSPICIOUS_SILENCE_MIN: Duration = Duration::from_millis(800);

/// A silence before the first event may last this many times the latency target.
const SILENCE_LATENCY_FACTOR: u32 = 2;

/// A silence of a stream may last this many times the pause target.
const SILENCE_PAUSE_FACTOR: u32 = 4;

/// The latency target divided by this is the time that has to be left for another run.
const RUN_TIME_DIVISOR: u32 = 4;

/// Time between two attempts to get another run granted.
const GRANT_INTERVAL: Duration = Duration::from_millis(100);

/// Why another run is not granted now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Denial {
    /// No retries are left in the window.
    Retries,
    /// No other endpoint accepts the request.
    Capacity,
    /// No endpoint has the version that the stream began at.
    Version,
    /// The request contains something condemned.
    Content,
    /// Too little time is left for another run.
    Time,
}

/// Returns the time for which callers wait for the next event of a stream before they give up.
pub(super) fn event_gap_limit(route: &Route) -> Duration {
    let pause = route.pause_target.unwrap_or_default() * EVENT_GAP_PAUSE_FACTOR;
    EVENT_GAP_MIN.max(route.latency_target * EVENT_GAP_LATENCY_FACTOR).max(pause)
}

/// Returns the silence that the targets of the route allow.
fn target_silence(request: &ActiveRequest) -> Duration {
    let route = &request.route;
    let pause = route.pause_target.unwrap_or_default() * SILENCE_PAUSE_FACTOR;
    let first = route.latency_target * SILENCE_LATENCY_FACTOR;
    if request.events > 0 { pause } else { pause.max(first) }
}

/// Returns the silence after which the request may leave its endpoint. A request without an event
/// leaves it earlier if it has little time left.
fn silence_limit(request: &ActiveRequest) -> Duration {
    let target = target_silence(request);
    if request.events > 0 {
        return target.max(SILENCE_MIN);
    }
    target.max(FIRST_SILENCE_MIN.min(request.time_left() / 2))
}

/// Waits until an endpoint has been silent for too long and another run of the request is granted.
/// Silence is no evidence that the endpoint has failed, so the request leaves it only for another
/// run that has a retry and a place; if none is granted, waits forever. New requests prefer other
/// endpoints earlier. `attempts` is the number of attempts including the one on the silent
/// endpoint, `since` the beginning of the silence.
pub(super) async fn find_replacement(
    request: &ActiveRequest,
    silent: &Arc<str>,
    attempts: u32,
    since: Timestamp,
) -> PlacementGuard {
    let may_move =
        request.route.retry_policy.may_run_again() && attempts < request.route.max_attempts;
    if !may_move {
        return pending().await;
    }
    let limit = silence_limit(request);
    let suspicious = target_silence(request).max(SUSPICIOUS_SILENCE_MIN).min(limit);
    tokio::time::sleep_until(request.cx.instant(since + suspicious)).await;
    request.cx.lock_endpoints().record_outcome(silent, true, request.cx.now());
    // All streams of an endpoint become silent at once. They leave it one after the other, so that
    // few have left if the next endpoint refuses them.
    let spread = GRANT_INTERVAL.mul_f64(request.cx.lock_rng().random());
    tokio::time::sleep_until(request.cx.instant(since + limit + spread)).await;
    let mut is_first = true;
    loop {
        let denial = match try_grant(request, Some(silent)).await {
            Ok(guard) => return guard,
            Err(denial) => denial,
        };
        if std::mem::take(&mut is_first) {
            log::info!(request:% = request.head.id, endpoint:% = silent, silent_ms = millis(limit), events = request.events, reason:? = denial; "endpoint is silent, but no other run is granted");
        }
        tokio::time::sleep(GRANT_INTERVAL).await;
    }
}

/// Waits up to `wait` until another run of a request that has no endpoint is granted.
///
/// # Errors
/// Returns the reason if none is granted in time, or if it cannot be granted later either.
pub(super) async fn wait_for_grant(
    request: &ActiveRequest,
    wait: Duration,
) -> Result<PlacementGuard, Denial> {
    let until = request.cx.now() + wait;
    loop {
        match try_grant(request, None).await {
            Ok(guard) => return Ok(guard),
            Err(denial @ (Denial::Version | Denial::Content | Denial::Time)) => return Err(denial),
            Err(denial) if request.cx.now() >= until => return Err(denial),
            Err(_) => tokio::time::sleep(GRANT_INTERVAL).await,
        }
    }
}

/// Reserves a place on an endpoint and takes a retry. If the request still runs on a silent endpoint,
/// the place is on one that has neither failed it nor refused requests just before.
async fn try_grant(
    request: &ActiveRequest,
    silent: Option<&Arc<str>>,
) -> Result<PlacementGuard, Denial> {
    if is_condemned(request) {
        return Err(Denial::Content);
    }
    if request.time_left() < request.route.latency_target / RUN_TIME_DIVISOR {
        return Err(Denial::Time);
    }
    if !has_retry(request) {
        return Err(Denial::Retries);
    }
    let placement = match choose_endpoint(request, silent) {
        Choice::Placed(placement) => placement,
        Choice::NoVersion => return Err(Denial::Version),
        Choice::Full
        | Choice::Limited(_)
        | Choice::NoEndpoint
        | Choice::Emptied
        | Choice::Unnamed
        | Choice::Unreached => {
            return Err(Denial::Capacity);
        }
    };
    let guard = PlacementGuard::new(request.cx.clone(), placement);
    let chosen = &guard.placement.endpoint;
    let is_worse = silent.is_some_and(|it| {
        it == chosen
            || request.failed_endpoints.contains(chosen)
            || request.cx.lock_endpoints().is_paused(chosen, request.cx.now())
    });
    if is_worse {
        return Err(Denial::Capacity);
    }
    let guard = admit(request, guard).await.ok_or(Denial::Capacity)?;
    if try_take_retry(request) { Ok(guard) } else { Err(Denial::Retries) }
}

/// Records that the request leaves an endpoint that has been silent for too long.
pub(super) fn record_silence(request: &mut ActiveRequest, endpoint: &Arc<str>) {
    log::info!(request:% = request.head.id, endpoint:% = endpoint, events = request.events, attempts = request.attempts; "request leaves a silent endpoint");
    request.failed_endpoints.push(endpoint.clone());
}
