//! Run of a chat request.

use std::{net::SocketAddr, time::Duration};

use budget::{Bill, SettleOutcome};
use bytes::Bytes;
use engine_api::prompt_tokens_bound;
use errors::{Error, ErrorKind, Result};
use http::{HeaderMap, Method};
use platform::Commit;
use types::Tokens;

use super::{
    ChatJob,
    attempt_error::AttemptError,
    chat_attempt::{ChatProgress, attempt_chat},
    stream_activity::{StreamActivity, find_replacement},
};
use crate::{
    RouterContext,
    accounting::{Reservation, ReserveRequest},
    answer::{AnswerEnd, AnswerLog},
    dispatch::{AttemptOutcome, EndpointLease, EndpointNeed},
};

/// Timeout of the call that cancels a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a chat request until its answer is complete and billed.
pub(super) async fn run_chat(
    cx: &RouterContext,
    job: &ChatJob,
    log: &AnswerLog,
) -> Result<AnswerEnd> {
    let mut reservation = cx
        .accounting
        .reserve(&ReserveRequest {
            account: job.key.account.clone(),
            tokens: job.max_billed_tokens(),
            shortage: job.account.shortage,
            deadline: job.deadline,
        })
        .await?;
    let mut progress = ChatProgress::default();
    match run_attempts(cx, job, &mut reservation, &mut progress, log).await {
        Ok(()) => settle_chat(cx, job, reservation, progress).await,
        Err(error) => {
            cx.accounting.release(reservation);
            Err(error)
        }
    }
}

/// Makes attempts until one completes the answer. A retry continues the text so far.
async fn run_attempts(
    cx: &RouterContext,
    job: &ChatJob,
    reservation: &mut Reservation,
    progress: &mut ChatProgress,
    log: &AnswerLog,
) -> Result<()> {
    let mut need = job.endpoint_need();
    let mut was_sent = false;
    let mut granted: Option<EndpointLease> = None;
    loop {
        let lease = match granted.take() {
            Some(lease) => lease,
            None => acquire(cx, &need, was_sent).await?,
        };
        let (endpoint, version) = (lease.endpoint.clone(), lease.version.clone());
        let shrink = |prompt_tokens: u64| {
            let tokens = Tokens(prompt_tokens.saturating_add(job.max_tokens));
            cx.accounting.shrink(reservation, tokens);
        };
        let activity = StreamActivity::new();
        let attempt = attempt_chat(cx, job, &lease, progress, shrink, log, &activity);
        let result = tokio::select! {
            biased;
            result = attempt => result,
            () = cx.clock.sleep_until(job.deadline) => {
                Err(AttemptError::new(AttemptOutcome::Cancelled, "the deadline passed"))
            }
            replacement = find_replacement(cx, &need, &lease, &activity) => {
                granted = Some(replacement);
                Err(AttemptError::new(AttemptOutcome::TimedOut, "the stream was idle for too long"))
            }
        };
        let Err(failed) = result else {
            cx.dispatcher.finish(lease, &need, AttemptOutcome::Completed);
            return Ok(());
        };
        if matches!(failed.outcome, AttemptOutcome::Cancelled | AttemptOutcome::TimedOut) {
            cancel_stream(cx, job, lease.address);
        }
        cx.dispatcher.finish(lease, &need, failed.outcome);
        let is_unsent = matches!(failed.outcome, AttemptOutcome::NotSent | AttemptOutcome::Refused);
        was_sent |= !is_unsent;
        need.avoid.push(endpoint);
        if let Some(version) = version.filter(|_| !progress.text.is_empty()) {
            need.target.keep_version(&version);
        }
        if granted.is_none() && !cx.dispatcher.may_retry(&need, failed.outcome) {
            return Err(final_error(&failed, was_sent));
        }
        metrics::counter!(telemetry::RETRIES_TOTAL, "reason" => failed.outcome.label())
            .increment(1);
        log::info!(request_id:% = job.key; "trying the next endpoint: {failed}");
    }
}

async fn acquire(cx: &RouterContext, need: &EndpointNeed, was_sent: bool) -> Result<EndpointLease> {
    let acquired = cx.dispatcher.acquire(need).await;
    acquired.map_err(|error| {
        if was_sent && error.kind() != ErrorKind::Quarantined {
            Error::new(ErrorKind::AttemptsFailed, error.to_string())
        } else {
            error
        }
    })
}

/// Asks an endpoint to cancel its stream, without waiting for the response.
fn cancel_stream(cx: &RouterContext, job: &ChatJob, endpoint: SocketAddr) {
    let (client, path) = (cx.pooled.clone(), format!("/v1/streams/{}", job.engine_request_id()));
    tokio::spawn(async move {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        let call = client.call(endpoint, Method::DELETE, &path, headers, body, CANCEL_TIMEOUT);
        if let Err(error) = call.await {
            log::debug!("failed to cancel the stream: {error}");
        }
    });
}

fn final_error(failed: &AttemptError, was_sent: bool) -> Error {
    let kind = match failed.outcome {
        AttemptOutcome::Rejected => ErrorKind::EndpointRejected,
        AttemptOutcome::Cancelled => ErrorKind::DeadlineWhileRunning,
        _ if was_sent => ErrorKind::AttemptsFailed,
        _ => ErrorKind::NoEndpoint,
    };
    Error::new(kind, failed.to_string())
}

async fn settle_chat(
    cx: &RouterContext,
    job: &ChatJob,
    reservation: Reservation,
    progress: ChatProgress,
) -> Result<AnswerEnd> {
    let usage = progress.usage(prompt_tokens_bound(&job.req.messages));
    let tokens = cap_bill(job, &reservation, usage.billed_tokens());
    let bill = Bill { request: job.key.clone(), tokens, router: cx.peers.view().local.id.clone() };
    let settled = cx.accounting.settle(reservation, bill, Commit::default(), job.deadline).await?;
    count_settled(settled, tokens);
    Ok(AnswerEnd { finish_reason: progress.finish_reason.map(Into::into), usage })
}

/// Limits a bill to the reservation, so that an engine that reports more tokens than were
/// requested cannot overspend the budget.
fn cap_bill(job: &ChatJob, reservation: &Reservation, tokens: Tokens) -> Tokens {
    if tokens > reservation.tokens {
        log::warn!(
            request_id:% = job.key, used:% = tokens, reserved:% = reservation.tokens;
            "endpoint reported more tokens than were reserved; billing only the reserved tokens"
        );
    }
    tokens.min(reservation.tokens)
}

/// Counts the tokens of a bill, or a run that was not billed because its request had already
/// been billed.
pub(super) fn count_settled(outcome: SettleOutcome, tokens: Tokens) {
    match outcome {
        SettleOutcome::Billed => {
            metrics::counter!(telemetry::BILLED_TOKENS_TOTAL).increment(tokens.0);
        }
        SettleOutcome::AlreadyBilled => {
            metrics::counter!(telemetry::UNBILLED_RUNS_TOTAL, "reason" => "already_billed")
                .increment(1);
        }
    }
}
