//! Run of an action of a service.

use budget::Bill;
use bytes::Bytes;
use client::SendError;
use engine_api::{FENCING_HEADER, REQUEST_ID_HEADER, Usage};
use errors::{Error, ErrorKind, Result};
use http::{HeaderMap, HeaderValue, Method, Response, header::CONTENT_TYPE};
use platform::Commit;

use super::{
    ActionJob, attempt_error::AttemptError, chat_attempt::insert_header, chat_run::count_settled,
};
use crate::{
    RouterContext,
    accounting::{Reservation, ReserveRequest},
    answer::{AnswerEnd, AnswerHead, AnswerLog, KeptAnswer},
    dispatch::{AttemptOutcome, EndpointLease, EndpointNeed},
    registry::IntentPermit,
};

/// Runs an action until its answer is complete and billed.
pub(super) async fn run_action(
    cx: &RouterContext,
    job: &ActionJob,
    log: &AnswerLog,
) -> Result<AnswerEnd> {
    let reservation = cx
        .accounting
        .reserve(&ReserveRequest {
            account: job.key.account.clone(),
            tokens: job.action.price,
            shortage: job.account.shortage,
            deadline: job.deadline,
        })
        .await?;
    let mut permit = None;
    match run_attempts(cx, job, &mut permit).await {
        Ok(res) => settle_action(cx, job, reservation, permit, res, log).await,
        Err(error) => {
            cx.accounting.release(reservation);
            Err(withdraw_unsent(cx, permit, error).await)
        }
    }
}

/// Withdraws the intent of a call that was not sent, so that `error` may say "not run". Returns
/// the error of the run.
async fn withdraw_unsent(cx: &RouterContext, permit: Option<IntentPermit>, error: Error) -> Error {
    match permit {
        Some(permit) if error.ran() == errors::Ran::Never => {
            cx.registry.withdraw_intent(permit).await.err().unwrap_or(error)
        }
        _ => error,
    }
}

/// Makes attempts until one gets an answer. At most one attempt of a non-idempotent action is
/// sent, and only with a permit.
async fn run_attempts(
    cx: &RouterContext,
    job: &ActionJob,
    permit: &mut Option<IntentPermit>,
) -> Result<Response<Bytes>> {
    let mut need = job.endpoint_need();
    let mut was_sent = false;
    loop {
        let lease = match cx.dispatcher.acquire(&need).await {
            Ok(lease) => lease,
            Err(error) if was_sent => {
                return Err(Error::new(ErrorKind::AttemptsFailed, error.to_string()));
            }
            Err(error) => return Err(error),
        };
        if let Err(error) = ensure_permit(cx, job, permit).await {
            cx.dispatcher.finish(lease, &need, AttemptOutcome::Cancelled);
            return Err(error);
        }
        if cx.clock.time_left_until(job.deadline).is_zero() {
            cx.dispatcher.finish(lease, &need, AttemptOutcome::Cancelled);
            return Err(deadline_error(was_sent));
        }
        let result = attempt_action(cx, job, &lease, permit.as_ref()).await;
        let Err(failed) = result else {
            cx.dispatcher.finish(lease, &need, AttemptOutcome::Completed);
            return result.map_err(|error| Error::new(ErrorKind::Internal, error.to_string()));
        };
        was_sent |= failed.outcome != AttemptOutcome::NotSent;
        end_attempt(cx, &mut need, lease, &failed);
        if was_sent && !job.action.idempotent {
            return Err(Error::new(ErrorKind::OutcomeUnknown, failed.to_string()));
        }
        if !cx.dispatcher.may_retry(&need, failed.outcome) {
            let kind = if was_sent { ErrorKind::AttemptsFailed } else { ErrorKind::NoEndpoint };
            return Err(Error::new(kind, failed.to_string()));
        }
        metrics::counter!(telemetry::RETRIES_TOTAL, "reason" => failed.outcome.label())
            .increment(1);
    }
}

fn deadline_error(was_sent: bool) -> Error {
    let kind =
        if was_sent { ErrorKind::DeadlineWhileRunning } else { ErrorKind::DeadlineBeforeRun };
    Error::new(kind, "the deadline passed before the call was sent")
}

fn end_attempt(
    cx: &RouterContext,
    need: &mut EndpointNeed,
    lease: EndpointLease,
    failed: &AttemptError,
) {
    let endpoint = lease.endpoint.clone();
    cx.dispatcher.finish(lease, need, failed.outcome);
    need.avoid.push(endpoint);
}

/// Records the intent of a non-idempotent action before its first attempt.
async fn ensure_permit(
    cx: &RouterContext,
    job: &ActionJob,
    permit: &mut Option<IntentPermit>,
) -> Result<()> {
    if job.action.idempotent || permit.is_some() {
        return Ok(());
    }
    let recorded = cx.registry.record_intent(&job.key, &job.fingerprint, job.deadline).await?;
    *permit = Some(recorded);
    Ok(())
}

async fn attempt_action(
    cx: &RouterContext,
    job: &ActionJob,
    lease: &EndpointLease,
    permit: Option<&IntentPermit>,
) -> Result<Response<Bytes>, AttemptError> {
    let client = if job.action.idempotent { &cx.pooled } else { &cx.unpooled };
    let timeout = job.action.timeout.min(cx.clock.time_left_until(job.deadline));
    let res = client
        .call(
            lease.address,
            Method::POST,
            &job.action.path,
            request_headers(job, permit),
            job.body.clone(),
            timeout,
        )
        .await
        .map_err(|error| {
            let outcome = match error {
                SendError::NotSent(_) => AttemptOutcome::NotSent,
                SendError::AnswerLost(_) => AttemptOutcome::Lost,
                SendError::TimedOut => AttemptOutcome::TimedOut,
            };
            AttemptError::new(outcome, error.to_string())
        })?;
    if res.status().is_server_error() && job.action.idempotent {
        let message = format!("the endpoint responded with {}", res.status());
        return Err(AttemptError::new(AttemptOutcome::Lost, message));
    }
    Ok(res)
}

fn request_headers(job: &ActionJob, permit: Option<&IntentPermit>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(content_type) = HeaderValue::from_str(&job.content_type) {
        headers.insert(CONTENT_TYPE, content_type);
    }
    insert_header(&mut headers, REQUEST_ID_HEADER, &job.key.to_string());
    if let Some(permit) = permit {
        insert_header(&mut headers, FENCING_HEADER, &permit.fencing.to_string());
    }
    headers
}

async fn settle_action(
    cx: &RouterContext,
    job: &ActionJob,
    reservation: Reservation,
    permit: Option<IntentPermit>,
    res: Response<Bytes>,
    log: &AnswerLog,
) -> Result<AnswerEnd> {
    let content_type = res.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let head = AnswerHead {
        status: res.status().as_u16(),
        content_type: content_type.unwrap_or("application/octet-stream").into(),
    };
    let tokens = job.action.price;
    let end = AnswerEnd { finish_reason: None, usage: Usage::new(0, tokens.0) };
    let answer = KeptAnswer { head: head.clone(), body: res.into_body(), end: end.clone() };
    let intent_commit = match &permit {
        Some(permit) => cx.registry.settle_intent(permit, &answer),
        None => Commit::default(),
    };
    let bill = Bill { request: job.key.clone(), tokens, router: cx.peers.view().local.id.clone() };
    let settled = cx.accounting.settle(reservation, bill, intent_commit, job.deadline).await?;
    count_settled(settled, tokens);
    log.start(head);
    log.push(answer.body);
    Ok(end)
}
