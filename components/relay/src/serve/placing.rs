//! Finds a place for a request, and decides whether it is sent again.

use std::time::Duration;

use errors::{Error, ErrorKind};
use rand::Rng as _;
use utils::jitter;

use super::{
    exchange::{self, Answer, Failed, Failure, Outgoing, Placed},
    run::Run,
};
use crate::{
    endpoints::{Choice, Need},
    peers::CrashMessage,
    ports::Forwarding,
    units::millis,
};

/// Part of the latency target for which a request waits for a place at most, as a divisor.
const WAIT_DIVISOR: u32 = 8;

/// Share of an endpoint's places that the least urgent requests may fill.
const FILL_SHARE_BULK: f64 = 0.9;

/// Attempts that endpoints refuse or that are not sent, for one request.
const REFUSALS_MAX: u32 = 4;

/// Time after which a caller that was refused for lack of room may return: about the time
/// in which running requests give their places back.
const RETURN_AFTER: Duration = Duration::from_millis(700);

/// Shortest time that is worth sending a request for.
const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

/// Part of the latency target in which an endpoint should answer before the request is
/// tried elsewhere, as a factor.
const ATTEMPT_TIME_FACTOR: u32 = 2;

/// Returns an error that sends the caller away for a while.
pub(super) fn refuse_for_now(run: &Run, kind: ErrorKind, message: &str, mean: Duration) -> Error {
    let delay = jitter(mean, &mut run.cx.lock_rng());
    let error = Error::new(kind, message).with_retry_delay(delay);
    if run.may_have_run { error.after_earlier_attempt() } else { error }
}

/// Finds a place for the request; waits a little where all endpoints are full.
pub(super) async fn find_place(run: &Run) -> Result<Placed, Error> {
    let wait_until = run.cx.now() + run.route.latency_target / WAIT_DIVISOR;
    loop {
        match choose(run) {
            Choice::Place(placement) => return Ok(Placed::new(run.cx.clone(), placement)),
            // A new process has not read the list yet.
            Choice::Absent if !run.cx.lock_endpoints().has_list() => {}
            Choice::Absent => {
                let message = "no endpoint serves the request";
                return Err(refuse_for_now(run, ErrorKind::NoEndpoint, message, RETURN_AFTER));
            }
            Choice::Full => {}
        }
        let freed = run.cx.place_freed.notified();
        let waited = tokio::time::timeout_at(run.cx.instant(wait_until), freed).await;
        if waited.is_err() {
            let message = "all endpoints are full";
            return Err(refuse_for_now(run, ErrorKind::Overloaded, message, RETURN_AFTER));
        }
    }
}

fn choose(run: &Run) -> Choice {
    let routers = run.cx.lock_roster().count();
    let fill_share = if run.priority() == 0 { 1.0 } else { FILL_SHARE_BULK };
    let need = Need {
        service: &run.service,
        spec: run.in_force.state.services.get(&run.service),
        tokens: run.head.tokens,
        parts: &run.head.parts,
        avoid: &run.avoid,
        failure_domain: &run.cx.settings.failure_domain,
        routers,
        fill_share,
    };
    let now = run.cx.now();
    run.cx.lock_endpoints().place(&need, now, &mut run.cx.lock_rng())
}

/// Sends the request to endpoints until one answers. `last_event` is the id of the last
/// event that the caller has.
///
/// # Errors
/// Where no endpoint answered and none may be tried any more.
pub(super) async fn obtain_answer(run: &mut Run, last_event: Option<u64>) -> Result<Answer, Error> {
    let mut refusals = 0;
    loop {
        if run.time_left() < TIME_LEFT_MIN {
            return Err(out_of_time(run));
        }
        let placed = find_place(run).await?;
        let failure = match send_once(run, placed, last_event).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        if !failure.may_have_run() {
            refusals += 1;
        }
        if !may_send_again(run, &failure, refusals) {
            return Err(give_up(run, &failure));
        }
        metrics::counter!(telemetry::RETRIES_TOTAL, "reason" => failure.label()).increment(1);
        log::info!(request:% = run.head.id, reason = failure.label(), attempts = run.attempts; "request sent again");
    }
}

async fn send_once(
    run: &mut Run,
    placed: Placed,
    last_event: Option<u64>,
) -> Result<Answer, Failure> {
    let cx = run.cx.clone();
    let endpoint = placed.placement.endpoint.clone();
    run.endpoint = Some(endpoint.clone());
    let forwarding = Forwarding {
        endpoint: &endpoint,
        account: run.account.as_ref().map(|it| &*it.name),
        time_left: run.time_left(),
        last_event,
        priority: Some(run.priority()),
    };
    let headers = cx.dialect.forward_headers(&run.outgoing.headers, &forwarding);
    let until = attempt_until(run);
    log::info!(request:% = run.head.id, endpoint:% = endpoint, wait_ms:% = placed.placement.wait_ms.round(), time_left_ms = millis(run.time_left()); "request sent");
    if run.arrivals == 0 {
        cx.lock_retries().note_request(&run.service, cx.now());
    }
    // The caller may leave while the request is on its way: it counts as sent from here.
    let before = (run.may_have_run, run.arrivals);
    run.may_have_run = true;
    run.arrivals += 1;
    let outgoing: &Outgoing = &run.outgoing;
    let sent = exchange::send(&cx, placed, &run.head.id, outgoing, headers, until).await;
    match sent {
        Ok(answer) => {
            run.attempts += 1;
            Ok(answer)
        }
        Err(failed) => {
            let Failed { failure, placed } = *failed;
            if !failure.has_arrived() {
                run.arrivals = before.1;
            }
            run.may_have_run = before.0 || failure.may_have_run();
            note_failure(run, &failure, placed).await;
            Err(failure)
        }
    }
}

/// Returns until when an endpoint may take to answer: all the time that is left where the
/// request cannot be sent again.
fn attempt_until(run: &Run) -> types::Timestamp {
    let may_repeat =
        run.route.retry_policy.may_run_again() && run.attempts + 1 < run.route.max_attempts;
    if !may_repeat {
        return run.limit_at;
    }
    let patience = run.route.latency_target * ATTEMPT_TIME_FACTOR;
    run.limit_at.min(run.cx.now() + patience)
}

async fn note_failure(run: &mut Run, failure: &Failure, placed: Placed) {
    let cx = run.cx.clone();
    let endpoint = placed.placement.endpoint.clone();
    log::info!(request:% = run.head.id, endpoint:% = endpoint, failure = failure.label(); "attempt failed: {failure:?}");
    metrics::counter!(telemetry::ATTEMPTS_TOTAL, "outcome" => failure.label()).increment(1);
    run.avoid.push(endpoint.clone());
    let now = cx.now();
    match failure {
        Failure::NotSent(_) | Failure::Refused => {
            cx.lock_endpoints().note_unreachable(&endpoint, now);
        }
        // The endpoint is sound: the request goes to another one for want of a connection.
        Failure::NoConnection => {}
        Failure::Misdirected => cx.lock_endpoints().drop_replaced(&endpoint),
        Failure::TimedOut => {
            run.attempts += 1;
            cx.lock_endpoints().note_outcome(&endpoint, true, now);
        }
        Failure::Lost(_) => {
            run.attempts += 1;
            cx.lock_endpoints().note_outcome(&endpoint, true, now);
            note_loss(run, &placed).await;
        }
    }
}

/// Notes in the quarantine that an endpoint was lost while it ran the request.
pub(super) async fn note_loss(run: &Run, placed: &Placed) {
    let cx = &run.cx;
    if !exchange::has_crashed(cx, &placed.placement).await {
        return;
    }
    let now = cx.now();
    cx.lock_endpoints().note_unreachable(&placed.placement.endpoint, now);
    let Ok(name) = types::EndpointName::new(&placed.placement.endpoint) else { return };
    let fingerprint = run.fingerprint();
    log::warn!(request:% = run.head.id, endpoint:% = name, fingerprint:% = fingerprint; "endpoint lost while it ran the request");
    let record = cx.lock_quarantine().on_loss(fingerprint, &name, false, true, now);
    if let Some(record) = record {
        cx.gossip.announce_crash(CrashMessage::from_record(&record));
        cx.gossip.send_status(cx, false).await;
    }
}

/// Tells whether the request is sent to another endpoint after a failure, and takes a retry
/// from the window where it is.
fn may_send_again(run: &Run, failure: &Failure, refusals: u32) -> bool {
    let may_repeat = !run.may_have_run || run.route.retry_policy.may_run_again();
    if !may_repeat || run.attempts >= run.route.max_attempts || refusals >= REFUSALS_MAX {
        return false;
    }
    if !failure.has_arrived() && run.arrivals == 0 {
        return true;
    }
    take_retry(run)
}

/// Takes a retry from the window of this router.
pub(super) fn take_retry(run: &Run) -> bool {
    let routers = run.cx.lock_roster().count();
    let is_allowed = run.cx.lock_retries().take(&run.service, routers, run.cx.now());
    if !is_allowed {
        metrics::counter!(telemetry::RETRIES_DENIED_TOTAL, "reason" => "window").increment(1);
        log::info!(request:% = run.head.id, service:% = run.service, routers; "not sent again: no retries left in the window");
    }
    is_allowed
}

fn out_of_time(run: &Run) -> Error {
    let kind = if run.may_have_run {
        ErrorKind::DeadlineWhileRunning
    } else {
        ErrorKind::DeadlineBeforeRun
    };
    refuse_for_now(run, kind, "the time of the request has passed", RETURN_AFTER)
}

fn give_up(run: &Run, failure: &Failure) -> Error {
    if run.time_left() < TIME_LEFT_MIN {
        return out_of_time(run);
    }
    if !run.may_have_run {
        let kind = match failure {
            Failure::Refused => ErrorKind::Overloaded,
            _ => ErrorKind::NoEndpoint,
        };
        let quick = run.cx.lock_rng().random_range(0.3..1.0);
        return refuse_for_now(
            run,
            kind,
            "no endpoint took the request",
            RETURN_AFTER.mul_f64(quick),
        );
    }
    let kind = match (failure, run.route.retry_policy.may_run_again()) {
        (Failure::TimedOut, _) => ErrorKind::DeadlineWhileRunning,
        (_, true) => ErrorKind::AttemptsFailed,
        (_, false) => ErrorKind::OutcomeUnknown,
    };
    refuse_for_now(run, kind, "the endpoint gave no usable answer", RETURN_AFTER)
}
