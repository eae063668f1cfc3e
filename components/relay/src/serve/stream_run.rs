//! Relays event streams and resumes broken ones on another endpoint.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use errors::Error;
use futures::{StreamExt, stream};
use http::{Response, header::CONTENT_TYPE, response};
use http_body_util::BodyExt;
use types::Timestamp;

use super::{
    beginning::Beginning,
    body::ResponseBody,
    continuation::{record_begun, record_no_version},
    exchange::{EndpointResponse, PlacementGuard},
    forwarding::{EndpointStream, forward_bytes},
    framing::response_head_for_caller,
    placing::send_until_answered,
    replacement::{Denial, event_gap_limit, find_replacement, record_silence, wait_for_grant},
    run::{ActiveRequest, CALLER_LEFT, CutReason},
    suspicion::{check_for_crash, record_survival},
};
use crate::{
    model::RetryPolicy,
    stream::{EventSplitter, GapMeter},
};

/// Minimum time left before the deadline for a stream to be resumed.
const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

/// Pause after the first failure to resume a stream; it doubles with each further one.
const RESUME_PAUSE: Duration = Duration::from_millis(200);

/// A stream that is being relayed from an endpoint to the caller.
struct StreamRelay {
    /// The request.
    request: ActiveRequest,
    /// Stream of the current endpoint; `None` from its break until it is resumed.
    source: Option<EndpointStream>,
    /// Splits the bytes of the stream into events.
    splitter: EventSplitter,
    /// Measures the gaps between events.
    gaps: GapMeter,
    /// Endpoint that has begun the stream, until it is known which of its processes did; `None` if the
    /// stream has not begun, or its caller cannot take it up.
    beginning: Option<Beginning>,
}

/// Result of waiting for an endpoint's stream.
enum StreamInput {
    /// Complete events.
    Events(Bytes),
    /// The stream ended after a complete event.
    End,
    /// The stream broke; holds the reason.
    Broken(String),
    /// Nothing arrived for too long, and another run was granted.
    Replaced(Box<PlacementGuard>),
    /// The deadline of the request has passed.
    Late,
}

/// Relays a request whose answer is passed on event by event.
///
/// # Errors
/// Returns the error for the caller, and the request, if no endpoint gave a valid answer.
pub(super) async fn relay_stream(
    mut request: ActiveRequest,
) -> Result<Response<ResponseBody>, (Error, ActiveRequest)> {
    let last_event = request.head.last_event;
    let answer = match send_until_answered(&mut request, last_event, None).await {
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
        request.has_uncounted_output = res_head.status.is_success();
        return Ok(Response::from_parts(
            res_head,
            ResponseBody::Chunks(forward_bytes(request, Bytes::new(), source)),
        ));
    }
    request.outcome = CALLER_LEFT;
    let splitter = EventSplitter::after(last_event);
    let gaps = GapMeter::default();
    let state = StreamRelay { request, source: Some(source), splitter, gaps, beginning: None };
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
                StreamInput::Events(bytes) => {
                    if let Some(beginning) = &self.beginning
                        && beginning.confirm(&mut self.request).await
                    {
                        self.beginning = None;
                    }
                    return Some(Ok(bytes));
                }
                StreamInput::End => {
                    self.finish_stream();
                    return None;
                }
                StreamInput::Late => return Some(Err(self.cut_off(CutReason::Deadline))),
                StreamInput::Broken(reason) => {
                    self.leave_broken_endpoint(&reason).await;
                    self.confirm_beginning().await;
                    if let Err(reason) = self.resume(None).await {
                        return Some(Err(self.cut_off(reason)));
                    }
                }
                StreamInput::Replaced(guard) => {
                    self.leave_silent_endpoint();
                    let origin = self.request.origin.clone();
                    self.confirm_beginning().await;
                    // A corrected version makes the granted run unusable.
                    let guard = (self.request.origin == origin).then_some(*guard);
                    if let Err(reason) = self.resume(guard).await {
                        return Some(Err(self.cut_off(reason)));
                    }
                }
            }
        }
    }

    /// Finds out which process began the stream, now that it has left its endpoint.
    async fn confirm_beginning(&mut self) {
        if let Some(beginning) = self.beginning.take() {
            beginning.confirm_after_break(&mut self.request).await;
        }
    }

    async fn next_input(&mut self) -> StreamInput {
        let deadline = self.request.cx.instant(self.request.deadline);
        // Bytes of an event that does not end are no sign that the endpoint goes on.
        let since = self.request.cx.now();
        loop {
            match self.take_events() {
                Ok(Some(bytes)) => return StreamInput::Events(bytes),
                Ok(None) => {}
                Err(reason) => return StreamInput::Broken(reason),
            }
            let request = &self.request;
            let Some(source) = &mut self.source else {
                return StreamInput::Broken(
                    "the stream has no connection to an endpoint".to_owned(),
                );
            };
            let endpoint = &source.guard.placement.endpoint;
            let frame = tokio::select! {
                biased;
                frame = source.body.frame() => frame,
                () = tokio::time::sleep_until(deadline) => return StreamInput::Late,
                guard = find_replacement(request, endpoint, request.attempts, since) => {
                    return StreamInput::Replaced(Box::new(guard));
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                        self.gaps.record_arrival(self.request.cx.now());
                    }
                }
                Some(Err(error)) => return StreamInput::Broken(error.to_string()),
                None if self.splitter.rest().is_empty() => return StreamInput::End,
                None => {
                    return StreamInput::Broken("the stream ended within an event".to_owned());
                }
            }
        }
    }

    /// Returns all complete events that have arrived, joined into one buffer.
    fn take_events(&mut self) -> Result<Option<Bytes>, String> {
        let is_first_of_attempt = self.request.attempt_events == 0;
        let events_before = self.request.events;
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
        self.record_gaps(self.request.events - events_before);
        Ok(if joined.is_empty() { first } else { Some(joined.freeze()) })
    }

    fn record_first_event(&mut self) {
        let now = self.request.cx.now();
        self.request.first_event_at = Some(now);
        record_begun(&self.request);
        let is_begun_here = self.request.origin.is_some() && self.request.head.last_event.is_none();
        if let Some(source) = self.source.as_ref().filter(|_| is_begun_here) {
            let boot_now = self.request.cx.boot_now();
            self.beginning = Some(Beginning::new(&source.guard.placement, boot_now));
        }
        let latency = now.since(self.request.received_at);
        metrics::histogram!(telemetry::FIRST_TOKEN_SECONDS).record(latency.as_secs_f64());
        if let Some(source) = &mut self.source {
            source.guard.record_first_event_time();
            source.guard.finish_prompt();
        }
    }

    fn record_gaps(&mut self, events: u64) {
        let Some(millis) = self.gaps.record_events(events) else { return };
        let Some(source) = &self.source else { return };
        let now = self.request.cx.now();
        let endpoint = &source.guard.placement.endpoint;
        self.request.cx.lock_endpoints().record_event_gap(endpoint, millis, now);
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

    /// Ends the answer before its end.
    fn cut_off(&mut self, reason: CutReason) -> io::Error {
        self.request.outcome = match reason {
            CutReason::Deadline => "timed_out",
            CutReason::Broken => "broken",
        };
        self.request.record_cut(reason);
        io::Error::other("the answer is incomplete")
    }

    /// Closes the connection to an endpoint that broke off.
    async fn leave_broken_endpoint(&mut self, reason: &str) {
        let Some(source) = self.source.take() else { return };
        let endpoint = source.guard.placement.endpoint.clone();
        log::info!(request:% = self.request.head.id, endpoint:% = endpoint, events = self.request.events, last_event = self.splitter.last_id().unwrap_or_default(); "stream broken: {reason}");
        let now = self.request.cx.now();
        self.request.cx.lock_endpoints().record_outcome(&endpoint, true, now);
        self.request.failed_endpoints.push(endpoint);
        let EndpointStream { guard, connection, body } = source;
        drop((body, connection));
        check_for_crash(&self.request, &guard).await;
    }

    /// Closes the connection to a silent endpoint, which cancels the request there before it is sent
    /// to the next one.
    fn leave_silent_endpoint(&mut self) {
        let Some(source) = self.source.take() else { return };
        record_silence(&mut self.request, &source.guard.placement.endpoint);
    }

    /// Resumes the stream on another endpoint after the last complete event. Tries again until the
    /// caller has given up or another run cannot be granted any more.
    ///
    /// # Errors
    /// Returns the reason if the stream cannot be resumed in time.
    async fn resume(&mut self, mut granted: Option<PlacementGuard>) -> Result<(), CutReason> {
        let until = self.request.cx.now() + event_gap_limit(&self.request.route);
        let mut pause = RESUME_PAUSE;
        self.request.outcome = "broken";
        loop {
            if self.request.time_left() < TIME_LEFT_MIN {
                return Err(CutReason::Deadline);
            }
            let guard = match granted.take() {
                Some(guard) => guard,
                None => self.wait_for_grant(until.min(self.request.deadline)).await?,
            };
            metrics::counter!(telemetry::RETRIES_TOTAL, "reason" => "resumed").increment(1);
            let last_event = self.splitter.last_id();
            let sent = send_until_answered(&mut self.request, last_event, Some(guard)).await;
            let failure = match sent {
                Ok(answer) if answer.metadata.is_signed && is_event_stream(&answer.head) => {
                    self.go_on_with(answer);
                    return Ok(());
                }
                Ok(answer) => {
                    let endpoint = answer.guard.placement.endpoint.clone();
                    let now = self.request.cx.now();
                    self.request.cx.lock_endpoints().record_outcome(&endpoint, true, now);
                    self.request.failed_endpoints.push(endpoint);
                    format!("answered with {}", answer.head.status)
                }
                Err(error) => error.to_string(),
            };
            log::info!(request:% = self.request.head.id, endpoint:% = self.request.endpoint.as_deref().unwrap_or(""), attempts = self.request.attempts; "stream not resumed: {failure}");
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
    }

    /// Waits until another run is granted.
    ///
    /// # Errors
    /// Returns the reason if none may be granted, or none is granted in time.
    async fn wait_for_grant(&self, until: Timestamp) -> Result<PlacementGuard, CutReason> {
        let request = &self.request;
        let may_resume = request.route.retry_policy == RetryPolicy::ResumableStream
            && request.attempts < request.route.max_attempts;
        if !may_resume {
            return Err(CutReason::Broken);
        }
        let granted = wait_for_grant(request, until.since(request.cx.now())).await;
        granted.map_err(|denial| {
            if denial == Denial::Version {
                record_no_version();
            }
            log::info!(request:% = request.head.id, reason:? = denial; "no other run of the stream is granted");
            if request.time_left() < TIME_LEFT_MIN { CutReason::Deadline } else { CutReason::Broken }
        })
    }

    fn go_on_with(&mut self, answer: EndpointResponse) {
        let last_event = self.splitter.last_id();
        log::info!(request:% = self.request.head.id, endpoint:% = answer.guard.placement.endpoint, version:% = answer.guard.placement.version, after = last_event.unwrap_or_default(); "stream resumed");
        self.splitter = EventSplitter::after(last_event);
        self.gaps = GapMeter::default();
        let EndpointResponse { body, connection, guard, .. } = answer;
        self.source = Some(EndpointStream { body, connection, guard });
        self.request.outcome = CALLER_LEFT;
    }
}
