//! Relays answers that are not streams.

use std::time::Duration;

use bytes::Bytes;
use errors::{Error, ErrorKind};
use http::{Response, response};
use http_body_util::{BodyExt, Limited};

use super::{
    body::AnswerBody,
    exchange::{Answer, Failure},
    framing::caller_head,
    placing::{note_loss, obtain_answer, refuse_for_now, take_retry},
    run::Run,
};

/// Longest answer that is not a stream, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// Time after which a caller may return whose request failed.
const RETURN_AFTER_FAILURE: Duration = Duration::from_millis(200);

/// Relays a request whose answer is passed on once all of it has arrived, so that a broken
/// one can be replaced by another endpoint's.
pub(super) async fn relay_plain(run: &mut Run) -> Result<Response<AnswerBody>, Error> {
    let mut failed_answer = None;
    loop {
        let answer = match obtain_answer(run, None).await {
            Ok(answer) => answer,
            // An endpoint's own failure says more than that there was no other endpoint.
            Err(error) => return failed_answer.ok_or(error),
        };
        let endpoint = answer.placed.placement.endpoint.clone();
        match read_answer(run, answer).await {
            Ok((head, body)) => {
                let is_failure = head.status.is_server_error();
                let now = run.cx.now();
                run.cx.lock_endpoints().note_outcome(&endpoint, is_failure, now);
                let res = respond(head, body);
                if !is_failure {
                    run.outcome = "answered";
                    return Ok(res);
                }
                run.outcome = "endpoint_failed";
                run.avoid.push(endpoint);
                if !may_replace(run) {
                    return Ok(res);
                }
                failed_answer = Some(res);
            }
            Err(failure) => {
                let now = run.cx.now();
                run.cx.lock_endpoints().note_outcome(&endpoint, true, now);
                log::info!(request:% = run.head.id, endpoint:% = endpoint; "answer unusable: {failure:?}");
                run.avoid.push(endpoint);
                if !may_replace(run) {
                    return failed_answer.ok_or_else(|| broken(run));
                }
            }
        }
        metrics::counter!(telemetry::RETRIES_TOTAL, "reason" => "answer").increment(1);
    }
}

fn may_replace(run: &Run) -> bool {
    run.route.retry_policy.may_run_again()
        && run.attempts < run.route.max_attempts
        && run.time_left() > run.route.latency_target / 4
        && take_retry(run)
}

fn broken(run: &Run) -> Error {
    let kind = if run.route.retry_policy.may_run_again() {
        ErrorKind::AttemptsFailed
    } else {
        ErrorKind::OutcomeUnknown
    };
    refuse_for_now(run, kind, "the endpoint's answer was broken", RETURN_AFTER_FAILURE)
}

async fn read_answer(run: &Run, answer: Answer) -> Result<(response::Parts, Bytes), Failure> {
    let Answer { head, meaning, body, connection, placed } = answer;
    let until = run.cx.instant(run.limit_at);
    let collected = tokio::time::timeout_at(until, Limited::new(body, ANSWER_MAX_BYTES).collect());
    let body = match collected.await {
        Err(_) => return Err(Failure::TimedOut),
        Ok(Err(error)) => {
            note_loss(run, &placed).await;
            return Err(Failure::Lost(error.to_string()));
        }
        Ok(Ok(collected)) => collected.to_bytes(),
    };
    if head.status.is_success() && !meaning.is_signed {
        return Err(Failure::Lost("a success without the endpoint's signature".to_owned()));
    }
    run.cx.connections.keep(connection);
    drop(placed);
    Ok((head, body))
}

/// Returns the answer for the caller, without what concerns one connection only.
fn respond(head: response::Parts, body: Bytes) -> Response<AnswerBody> {
    Response::from_parts(caller_head(head), AnswerBody::Whole(Some(body)))
}
