//! Relays answers that are not event streams.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use errors::{Error, ErrorKind};
use http::{Response, response};
use http_body_util::BodyExt;

use super::{
    body::ResponseBody,
    exchange::{AttemptFailure, EndpointResponse},
    forwarding::{EndpointStream, forward_bytes},
    framing::response_head_for_caller,
    placing::{retryable_error, send_until_answered, try_take_retry},
    run::ActiveRequest,
    suspicion::{check_for_crash, record_survival},
};

/// Longest answer that is read as a whole before it is passed on, in bytes.
const HELD_ANSWER_MAX_BYTES: usize = 1_024 * 1_024;

/// Mean retry delay returned to callers if the endpoint's answer was unusable.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// An endpoint's answer as far as it is read before it is passed on.
enum ReadAnswer {
    /// The whole answer.
    Whole(response::Parts, Bytes),
    /// The beginning of an answer that is too long to be held, and where the rest comes from.
    Long(response::Parts, Bytes, Box<EndpointStream>),
}

/// Relays a request and passes its answer on only once it is complete, so that the request can be
/// retried on another endpoint if the answer breaks off. Only very long answers are passed on as
/// they arrive.
///
/// # Errors
/// Returns an error, and the request, if no endpoint gave a complete answer.
pub(super) async fn relay_plain(
    mut request: ActiveRequest,
) -> Result<Response<ResponseBody>, (Error, ActiveRequest)> {
    let mut failed_answer = None;
    loop {
        let answer = match send_until_answered(&mut request, None, None).await {
            Ok(answer) => answer,
            // An earlier endpoint's error answer tells the caller more than the failure to find
            // another endpoint.
            Err(error) => return failed_answer.ok_or((error, request)),
        };
        let endpoint = answer.guard.placement.endpoint.clone();
        match read_answer(&request, answer).await {
            Ok(ReadAnswer::Long(head, start, source)) => {
                request.outcome = "forwarded";
                request.has_uncounted_output = true;
                let body = ResponseBody::Chunks(forward_bytes(request, start, *source));
                return Ok(Response::from_parts(response_head_for_caller(head), body));
            }
            Ok(ReadAnswer::Whole(head, body)) => {
                let is_failure = head.status.is_server_error();
                let now = request.cx.now();
                request.cx.lock_endpoints().record_outcome(&endpoint, is_failure, now);
                let res = build_response(head, body);
                if !is_failure {
                    request.outcome = "answered";
                    request.has_uncounted_output = res.status().is_success();
                    return Ok(res);
                }
                request.outcome = "endpoint_failed";
                request.failed_endpoints.push(endpoint);
                if !may_retry(&request) {
                    return Ok(res);
                }
                failed_answer = Some(res);
            }
            Err(failure) => {
                let now = request.cx.now();
                request.cx.lock_endpoints().record_outcome(&endpoint, true, now);
                log::info!(request:% = request.head.id, endpoint:% = endpoint; "endpoint's answer discarded: {failure:?}");
                request.failed_endpoints.push(endpoint);
                if !may_retry(&request) {
                    return failed_answer.ok_or_else(|| (broken_answer_error(&request), request));
                }
            }
        }
        metrics::counter!(telemetry::RETRIES_TOTAL, "reason" => "answer").increment(1);
    }
}

fn may_retry(request: &ActiveRequest) -> bool {
    request.route.retry_policy.may_run_again()
        && request.attempts < request.route.max_attempts
        && request.time_left() > request.route.latency_target / 4
        && try_take_retry(request)
}

fn broken_answer_error(request: &ActiveRequest) -> Error {
    let kind = if request.route.retry_policy.may_run_again() {
        ErrorKind::AttemptsFailed
    } else {
        ErrorKind::OutcomeUnknown
    };
    retryable_error(
        request,
        kind,
        "the endpoint's answer was incomplete or invalid",
        FAILURE_RETRY_DELAY,
    )
}

async fn read_answer(
    request: &ActiveRequest,
    answer: EndpointResponse,
) -> Result<ReadAnswer, AttemptFailure> {
    let EndpointResponse { head, metadata, mut body, connection, guard } = answer;
    if head.status.is_success() && !metadata.is_signed {
        return Err(AttemptFailure::Lost(
            "the endpoint's answer has a success status but no signature".to_owned(),
        ));
    }
    let until = request.cx.instant(request.deadline);
    let mut held = BytesMut::new();
    let mut first: Option<Bytes> = None;
    loop {
        let frame = match tokio::time::timeout_at(until, body.frame()).await {
            Err(_) => return Err(AttemptFailure::TimedOut),
            Ok(None) => break,
            Ok(Some(Err(error))) => {
                check_for_crash(request, &guard).await;
                return Err(AttemptFailure::Lost(error.to_string()));
            }
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        if first.is_none() && held.is_empty() {
            first = Some(data);
        } else {
            held.extend_from_slice(&first.take().unwrap_or_default());
            held.extend_from_slice(&data);
        }
        if held.len() > HELD_ANSWER_MAX_BYTES {
            if !head.status.is_success() {
                return Err(AttemptFailure::Lost("the error answer is too long".to_owned()));
            }
            let source = Box::new(EndpointStream { body, connection, guard });
            return Ok(ReadAnswer::Long(head, held.freeze(), source));
        }
    }
    request.cx.connections.release(connection);
    if request.head.tokens.is_none() && head.status.is_success() {
        guard.record_first_event_time();
    }
    drop(guard);
    record_survival(request);
    Ok(ReadAnswer::Whole(head, first.unwrap_or_else(|| held.freeze())))
}

/// Returns the answer for the caller, without hop-by-hop headers.
fn build_response(head: response::Parts, body: Bytes) -> Response<ResponseBody> {
    Response::from_parts(response_head_for_caller(head), ResponseBody::Whole(Some(body)))
}
