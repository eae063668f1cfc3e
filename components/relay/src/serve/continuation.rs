//! Keeps streams at the software version that began them. This is the only place that decides at
//! which version a request goes on; whatever moves a run between endpoints asks it.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use errors::{Error, ErrorKind};
use tokio::time::Instant;
use types::Timestamp;

use super::{placing::retryable_error, run::ActiveRequest};
use crate::{
    context::RelayContext,
    endpoints::Placement,
    model::RetryPolicy,
    origins::{Origin, OriginRecord, StreamKey, TakeUp, decide_take_up},
    peers::{announce_begun, announce_origin, find_origin, own_view},
};

/// Mean retry delay returned to callers if routers that may know where a stream began did not answer.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Stands for the version of a stream if that cannot be told. No endpoint has it: names of versions have no
/// control characters.
const UNKNOWN_VERSION: &str = "\0";

/// Time for which a caller that takes up a stream waits for a read of the list of endpoints.
const VERSIONS_TIMEOUT: Duration = Duration::from_millis(600);

fn stream_key(request: &ActiveRequest, id: &str) -> StreamKey {
    StreamKey::new(request.account.as_ref().map_or("", |it| &it.name), id)
}

/// Finds the version at which a stream that the caller takes up may go on.
///
/// # Errors
/// Returns an error if that is not known.
pub(super) async fn prepare_take_up(request: &mut ActiveRequest) -> Result<(), Error> {
    let Some(last_event) = request.head.last_event else { return Ok(()) };
    if request.route.retry_policy != RetryPolicy::ResumableStream {
        return Ok(());
    }
    metrics::counter!(telemetry::STREAMS_TAKEN_UP_TOTAL).increment(1);
    let (cx, service) = (request.cx.clone(), request.service.clone());
    let key = request.head.resumes.as_deref().map(|id| stream_key(request, id));
    let arrived_at = cx.boot_now();
    let answers = find_origin(&cx, key, &service).await;
    let mut view = own_view(&cx, &service);
    // The service was picked at random; the stream may have begun at another one of the route.
    let is_service_known = request.route.targets.len() == 1 || key.is_none();
    let mut take_up = decide_take_up(&service, &view, false, &answers);
    let would_help = || decide_take_up(&service, &view, true, &answers) != TakeUp::Unknown;
    if take_up == TakeUp::Unknown && is_service_known && would_help() {
        let is_current = wait_for_versions(&cx, arrived_at).await;
        view = own_view(&cx, &service);
        take_up = decide_take_up(&service, &view, is_current, &answers);
    }
    if answers.origin.is_none() && !is_service_known {
        take_up = TakeUp::Unknown;
    }
    let resumes = request.head.resumes.as_deref().unwrap_or("");
    log::info!(request:% = request.head.id, resumes, last_event, asked = answers.asked, answered = answers.answered, versions:? = view.versions, decision:? = take_up; "caller takes up a stream");
    match take_up {
        TakeUp::At(origin)
            if !request.route.targets.iter().any(|it| it.service == origin.service) =>
        {
            metrics::counter!(telemetry::STREAMS_NOT_TAKEN_UP_TOTAL, "reason" => "route")
                .increment(1);
            let message = "the route does not lead to the service that began the stream";
            Err(retryable_error(request, ErrorKind::NoEndpoint, message, Duration::ZERO))
        }
        TakeUp::At(origin) => {
            request.service = origin.service.clone();
            request.origin = Some(origin);
            Ok(())
        }
        TakeUp::Unknown => {
            metrics::counter!(telemetry::STREAMS_NOT_TAKEN_UP_TOTAL, "reason" => "unknown")
                .increment(1);
            let message = "it is not known which version of the endpoints began the stream";
            // Routers that did not answer now may answer later, and what was stored may be read.
            let is_pending =
                answers.answered < answers.asked || !cx.has_begun_streams.load(Ordering::Relaxed);
            let delay = if is_pending { UNKNOWN_RETRY_DELAY } else { Duration::ZERO };
            Err(retryable_error(request, ErrorKind::NoEndpoint, message, delay))
        }
    }
}

/// Waits until the versions of services have been read by a read that began at `since` or later, by a
/// clock that counts suspension. Returns `false` if that takes too long.
pub(super) async fn wait_for_versions(cx: &RelayContext, since: Timestamp) -> bool {
    let until = Instant::now() + VERSIONS_TIMEOUT;
    loop {
        let read = cx.versions_read.notified();
        if cx.lock_endpoints().has_versions_since(since) {
            return true;
        }
        cx.list_wanted.notify_one();
        if tokio::time::timeout_at(until, read).await.is_err() {
            return false;
        }
    }
}

/// Returns the version at which the request has to run: that of the stream that it goes on with.
/// A stream without an event has not begun and may run at any version.
pub(super) fn required_version(request: &ActiveRequest) -> Option<&Arc<str>> {
    let goes_on = request.events > 0 || request.head.last_event.is_some();
    request.origin.as_ref().filter(|_| goes_on).map(|it| &it.version)
}

/// Returns whether the request may begin a stream that its caller can take up elsewhere.
pub(super) fn begins_stream(request: &ActiveRequest) -> bool {
    let is_resumable = request.route.retry_policy == RetryPolicy::ResumableStream;
    is_resumable && request.events == 0 && request.head.last_event.is_none()
}

/// Records at which version the stream begins if the next attempt brings its first event. Other
/// routers know it before the caller gets that event.
pub(super) async fn record_origin(request: &mut ActiveRequest, placement: &Placement) {
    if !begins_stream(request) {
        return;
    }
    let (service, version) = (request.service.clone(), placement.version.clone());
    let origin = Origin { service, version };
    if request.origin.as_ref() == Some(&origin) {
        return;
    }
    announce(request, origin).await;
}

/// Replaces the version at which the stream is known to have begun, also at other routers. With `None` the
/// version is unknown, and the stream goes on nowhere.
pub(super) async fn correct_origin(request: &mut ActiveRequest, version: Option<Arc<str>>) {
    let service = request.service.clone();
    let origin = Origin { service, version: version.unwrap_or_else(|| UNKNOWN_VERSION.into()) };
    if request.origin.as_ref() == Some(&origin) {
        return;
    }
    log::info!(request:% = request.head.id, from:? = request.origin.as_ref().map(|it| &it.version), to:? = origin.version; "stream has begun at another version than its endpoint was listed with");
    announce(request, origin).await;
    record_begun(request);
}

async fn announce(request: &mut ActiveRequest, origin: Origin) {
    request.origin = Some(origin.clone());
    let key = stream_key(request, &request.head.id);
    let record = OriginRecord { key, attempt: request.origin_records, origin };
    request.origin_records += 1;
    request.record_holders = announce_origin(&request.cx, &record, &request.record_holders).await;
}

/// Stores where the stream has begun, now that its first event has come.
pub(super) fn record_begun(request: &ActiveRequest) {
    let is_resumable = request.route.retry_policy == RetryPolicy::ResumableStream;
    // A stream that is taken up is stored under the id of the request that began it.
    let begins = is_resumable && request.head.last_event.is_none();
    if let Some(origin) = request.origin.as_ref().filter(|_| begins) {
        announce_begun(&request.cx, stream_key(request, &request.head.id), origin);
    }
}

/// Counts a stream whose version has no endpoint left.
pub(super) fn record_no_version() {
    metrics::counter!(telemetry::STREAMS_NOT_TAKEN_UP_TOTAL, "reason" => "no_endpoint")
        .increment(1);
}

/// Returns the error of a request that goes on with a stream whose version has no endpoint left.
pub(super) fn no_version_error(request: &ActiveRequest) -> Error {
    record_no_version();
    let message = "no endpoint of the version that began the stream is available";
    retryable_error(request, ErrorKind::NoEndpoint, message, Duration::ZERO)
}
