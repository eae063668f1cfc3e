//! Relays event streams and resumes broken ones on another endpoint.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use errors::Error;
use futures::{StreamExt, stream};
use http::{Response, header::CONTENT_TYPE, response};
use http_body_util::BodyExt;

use super::{
    body::ResponseBody,
    exchange::EndpointResponse,
    forwarding::{EndpointStream, forward_bytes},
    framing::response_head_for_caller,
    placing::{send_until_answered, try_take_retry},
    run::{ActiveRequest, CALLER_LEFT, CutReason},
    suspicion::{check_for_crash, record_survival},
};
use crate::{model::RetryPolicy, stream::EventSplitter};

/// A resumable stream counts as stalled after a pause of this many times the route's pause target.
const STALL_FACTOR: u32 = 4;

/// Minimum time without an event after which a stream counts as stalled.
const STALL_MIN: Duration = Duration::from_millis(800);

/// A stream that is being relayed from an endpoint to the caller.
struct StreamRelay {
    /// The request.
    request: ActiveRequest,
    /// Stream of the current endpoint; `None` from its break until it is resumed.
    source: Option<EndpointStream>,
    /// Splits the bytes of the stream into events.
    splitter: EventSplitter,
}

/// Result of waiting for an endpoint's stream.
enum StreamInput {
    /// Complete events.
    Events(Bytes),
    /// The stream ended after a complete event.
    End,
    /// The stream broke; holds the reason.
    Broken(String),
    /// Nothing arrived for too long.
    Stalled,
}

/// Relays a request whose answer is passed on event by event.
///
/// # Errors
/// Returns the error for the caller, and the request, if no endpoint gave a valid answer.
pub(super) async fn relay_stream(
    mut request: ActiveRequest,
) -> Result<Response<ResponseBody>, (Error, ActiveRequest)> {
    let last_event = request.head.last_event;
    let answer = match send_until_answered(&mut request, last_event).await {
        Ok(answer) => answer,
        Err(error) => return Err((error, request)),
    };
    let EndpointResponse { head, metadata, body, connection, guard } = answer;
    let is_stream = is_event_stream(&head);
    if head.status.is_success() && !metadata.is_signed {
        let message = "the endpoint's answer has a success status but no signature";
        return Err((Error::new(errors::ErrorKind::AttemptsFailed, message), request));
    }
    if head.status.is_server_error() {
        let now = request.cx.now();
        request.cx.lock_endpoints().record_outcome(&guard.placement.endpoint, true, now);
    }
    let source = EndpointStream { body, connection, guard };
    let res_head = response_head_for_caller(head);
    if !is_stream {
        request.outcome = "endpoint_failed";
        return Ok(Response::from_parts(
            res_head,
            ResponseBody::Chunks(forward_bytes(request, Bytes::new(), source)),
        ));
    }
    request.outcome = CALLER_LEFT;
    let splitter = EventSplitter::after(last_event);
    let state = StreamRelay { request, source: Some(source), splitter };
    let chunks = stream::unfold(state, |mut state| async move {
        let chunk = state.next_chunk().await?;
        Some((chunk, state))
    });
    Ok(Response::from_parts(res_head, ResponseBody::Chunks(chunks.boxed())))
}

fn is_event_stream(head: &response::Parts) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|it| it.to_str().ok());
    head.status.is_success() && content_type.is_some_and(|it| it.starts_with("text/event-stream"))
}

impl StreamRelay {
    /// Returns the next events for the caller, resuming the stream if it breaks; `None` at the end
    /// of the stream.
    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.next_input().await {
                StreamInput::Events(bytes) => return Some(Ok(bytes)),
                StreamInput::End => {
                    self.finish_stream();
                    return None;
                }
                StreamInput::Broken(reason) => {
                    if let Err(error) = self.resume(&reason, false).await {
                        self.record_cut(CutReason::Broken);
                        return Some(Err(error));
                    }
                }
                StreamInput::Stalled => {
                    if let Err(error) = self.resume("no event arrived in time", true).await {
                        self.record_cut(CutReason::Silence);
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    fn record_cut(&self, reason: CutReason) {
        let is_late = self.request.outcome == "timed_out";
        self.request.record_cut(if is_late { CutReason::Deadline } else { reason });
    }

    async fn next_input(&mut self) -> StreamInput {
        let until = self.input_deadline();
        loop {
            match self.take_events() {
                Ok(Some(bytes)) => return StreamInput::Events(bytes),
                Ok(None) => {}
                Err(reason) => return StreamInput::Broken(reason),
            }
            let Some(source) = &mut self.source else {
                return StreamInput::Broken(
                    "the stream has no connection to an endpoint".to_owned(),
                );
            };
            match tokio::time::timeout_at(until, source.body.frame()).await {
                Err(_) => return StreamInput::Stalled,
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                Ok(Some(Err(error))) => return StreamInput::Broken(error.to_string()),
                Ok(None) if self.splitter.rest().is_empty() => return StreamInput::End,
                Ok(None) => {
                    return StreamInput::Broken("the stream ended within an event".to_owned());
                }
            }
        }
    }

    /// Returns the time by which the next event has to arrive.
    fn input_deadline(&self) -> tokio::time::Instant {
        let request = &self.request;
        let limit = request.cx.instant(request.deadline);
        if !self.may_resume() {
            return limit;
        }
        let pause = request.route.pause_target.unwrap_or(request.route.latency_target);
        let stall = (pause * STALL_FACTOR).max(STALL_MIN);
        let first = request.route.latency_target * 2;
        let wait = if request.first_event_at.is_some() { stall } else { stall.max(first) };
        limit.min(request.cx.instant(request.cx.now() + wait))
    }

    fn may_resume(&self) -> bool {
        let request = &self.request;
        request.route.retry_policy == RetryPolicy::ResumableStream
            && request.attempts < request.route.max_attempts
    }

    /// Returns all complete events that have arrived, joined into one buffer.
    fn take_events(&mut self) -> Result<Option<Bytes>, String> {
        let is_first_of_attempt = self.request.attempt_events == 0;
        let mut first: Option<Bytes> = None;
        let mut joined = BytesMut::new();
        while let Some(event) = self.splitter.next_event().map_err(|it| it.to_string())? {
            self.request.events += 1;
            self.request.attempt_events += 1;
            match &first {
                None => first = Some(event.bytes),
                Some(bytes) => {
                    if joined.is_empty() {
                        joined.extend_from_slice(bytes);
                    }
                    joined.extend_from_slice(&event.bytes);
                }
            }
        }
        if first.is_some() && is_first_of_attempt {
            record_survival(&self.request);
        }
        if first.is_some() && self.request.first_event_at.is_none() {
            self.record_first_event();
        }
        Ok(if joined.is_empty() { first } else { Some(joined.freeze()) })
    }

    fn record_first_event(&mut self) {
        let now = self.request.cx.now();
        self.request.first_event_at = Some(now);
        let latency = now.since(self.request.received_at);
        metrics::histogram!(telemetry::FIRST_TOKEN_SECONDS).record(latency.as_secs_f64());
        if let Some(source) = &mut self.source {
            source.guard.finish_prompt();
        }
    }

    fn finish_stream(&mut self) {
        self.request.is_complete = true;
        self.request.outcome = "answered";
        let Some(source) = self.source.take() else { return };
        let now = self.request.cx.now();
        let endpoint = &source.guard.placement.endpoint;
        self.request.cx.lock_endpoints().record_outcome(endpoint, false, now);
        self.request.cx.connections.release(source.connection);
    }

    /// Resumes the stream on another endpoint after the last complete event.
    ///
    /// # Errors
    /// Returns an error if the stream cannot or may not be resumed.
    async fn resume(&mut self, reason: &str, is_stalled: bool) -> io::Result<()> {
        let now = self.request.cx.now();
        self.request.outcome = "broken";
        if let Some(source) = self.source.take() {
            let endpoint = source.guard.placement.endpoint.clone();
            log::info!(request:% = self.request.head.id, endpoint:% = endpoint, events = self.request.events, last_event = self.splitter.last_id().unwrap_or_default(); "stream broken: {reason}");
            if now < self.request.deadline {
                self.request.cx.lock_endpoints().record_outcome(&endpoint, true, now);
                self.request.failed_endpoints.push(endpoint);
            }
            // Closing the connection cancels the request on this endpoint before it is sent to
            // the next one.
            let EndpointStream { guard, connection, body } = source;
            drop((body, connection));
            if !is_stalled {
                check_for_crash(&self.request, &guard).await;
            }
        }
        if self.request.time_left() < Duration::from_millis(5) {
            self.request.outcome = "timed_out";
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the request deadline has passed"));
        }
        if !self.may_resume() || !try_take_retry(&self.request) {
            return Err(io::Error::other(reason.to_owned()));
        }
        metrics::counter!(telemetry::RETRIES_TOTAL, "reason" => "resumed").increment(1);
        let last_event = self.splitter.last_id();
        let answer =
            send_until_answered(&mut self.request, last_event).await.map_err(io::Error::other)?;
        if !answer.metadata.is_signed || !is_event_stream(&answer.head) {
            return Err(io::Error::other("the endpoint did not resume the stream"));
        }
        log::info!(request:% = self.request.head.id, endpoint:% = answer.guard.placement.endpoint, version:% = answer.guard.placement.version, after = last_event.unwrap_or_default(); "stream resumed");
        self.splitter = EventSplitter::after(last_event);
        let EndpointResponse { body, connection, guard, .. } = answer;
        self.source = Some(EndpointStream { body, connection, guard });
        self.request.outcome = CALLER_LEFT;
        Ok(())
    }
}
