//! Relays streams, event by event.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use errors::Error;
use futures::{StreamExt, stream};
use http::{Response, header::CONTENT_TYPE, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{
    body::AnswerBody,
    connections::Connection,
    exchange::{Answer, Placed},
    framing::caller_head,
    placing::{note_loss, obtain_answer, take_retry},
    run::{CALLER_LEFT, Run},
};
use crate::{model::RetryPolicy, stream::EventSplitter};

/// Pauses of the length that the route allows after which a stream that may be resumed is
/// taken to be lost, as a factor.
const STALL_FACTOR: u32 = 4;

/// Shortest time after which a stream is taken to be lost.
const STALL_MIN: Duration = Duration::from_millis(800);

/// A stream on its way from an endpoint to the caller.
struct StreamRun {
    /// The request.
    run: Run,
    /// What arrives from the endpoint.
    source: Option<Source>,
    /// Splits it into events.
    splitter: EventSplitter,
}

/// An endpoint's stream.
struct Source {
    /// Body.
    body: Incoming,
    /// Connection on which it arrives.
    connection: Connection,
    /// Place on the endpoint.
    placed: Placed,
}

/// What arrived from an endpoint.
enum Arrival {
    /// Whole events.
    Events(Bytes),
    /// The end of the stream.
    End,
    /// The stream broke.
    Broken(String),
    /// Nothing arrived for too long.
    Stalled,
}

/// Relays a request whose answer is passed on event by event.
pub(super) async fn relay_stream(mut run: Run) -> Result<Response<AnswerBody>, (Error, Run)> {
    let last_event = run.head.last_event;
    let answer = match obtain_answer(&mut run, last_event).await {
        Ok(answer) => answer,
        Err(error) => return Err((error, run)),
    };
    let Answer { head, meaning, body, connection, placed } = answer;
    let is_stream = is_event_stream(&head);
    if head.status.is_success() && !meaning.is_signed {
        let message = "a success without the endpoint's signature";
        return Err((Error::new(errors::ErrorKind::AttemptsFailed, message), run));
    }
    if head.status.is_server_error() {
        let now = run.cx.now();
        run.cx.lock_endpoints().note_outcome(&placed.placement.endpoint, true, now);
    }
    let source = Source { body, connection, placed };
    let res_head = caller_head(head);
    if !is_stream {
        run.outcome = "endpoint_failed";
        return Ok(Response::from_parts(res_head, AnswerBody::Parts(copy_bytes(run, source))));
    }
    run.outcome = CALLER_LEFT;
    let splitter = EventSplitter::after(last_event);
    let state = StreamRun { run, source: Some(source), splitter };
    let parts = stream::unfold(state, |mut state| async move {
        let part = state.next_part().await?;
        Some((part, state))
    });
    Ok(Response::from_parts(res_head, AnswerBody::Parts(parts.boxed())))
}

fn is_event_stream(head: &response::Parts) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|it| it.to_str().ok());
    head.status.is_success() && content_type.is_some_and(|it| it.starts_with("text/event-stream"))
}

/// Copies an answer that is not a stream of events as it is.
fn copy_bytes(run: Run, source: Source) -> stream::BoxStream<'static, io::Result<Bytes>> {
    let until = run.cx.instant(run.limit_at);
    let parts = stream::unfold(Some((run, source)), move |state| async move {
        let (run, mut source) = state?;
        loop {
            match tokio::time::timeout_at(until, source.body.frame()).await {
                Err(_) => return Some((Err(io::ErrorKind::TimedOut.into()), None)),
                Ok(None) => {
                    run.cx.connections.keep(source.connection);
                    return None;
                }
                Ok(Some(Err(error))) => return Some((Err(io::Error::other(error)), None)),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Some((Ok(data), Some((run, source))));
                    }
                }
            }
        }
    });
    parts.boxed()
}

impl StreamRun {
    /// Returns the next events for the caller; `None` where the stream is complete.
    async fn next_part(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.next_arrival().await {
                Arrival::Events(bytes) => return Some(Ok(bytes)),
                Arrival::End => {
                    self.complete();
                    return None;
                }
                Arrival::Broken(reason) => {
                    if let Err(error) = self.resume(&reason, false).await {
                        return Some(Err(error));
                    }
                }
                Arrival::Stalled => {
                    if let Err(error) = self.resume("no event arrived in time", true).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    async fn next_arrival(&mut self) -> Arrival {
        let until = self.patience();
        loop {
            match self.take_events() {
                Ok(Some(bytes)) => return Arrival::Events(bytes),
                Ok(None) => {}
                Err(reason) => return Arrival::Broken(reason),
            }
            let Some(source) = &mut self.source else {
                return Arrival::Broken("the stream has no source".to_owned());
            };
            match tokio::time::timeout_at(until, source.body.frame()).await {
                Err(_) => return Arrival::Stalled,
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                Ok(Some(Err(error))) => return Arrival::Broken(error.to_string()),
                Ok(None) if self.splitter.rest().is_empty() => return Arrival::End,
                Ok(None) => return Arrival::Broken("the stream ends in an event".to_owned()),
            }
        }
    }

    /// Returns until when the next event may take.
    fn patience(&self) -> tokio::time::Instant {
        let run = &self.run;
        let limit = run.cx.instant(run.limit_at);
        if !self.may_resume() {
            return limit;
        }
        let pause = run.route.pause_target.unwrap_or(run.route.latency_target);
        let stall = (pause * STALL_FACTOR).max(STALL_MIN);
        let first = run.route.latency_target * 2;
        let wait = if run.first_event_at.is_some() { stall } else { stall.max(first) };
        limit.min(run.cx.instant(run.cx.now() + wait))
    }

    fn may_resume(&self) -> bool {
        let run = &self.run;
        run.route.retry_policy == RetryPolicy::ResumableStream
            && run.attempts < run.route.max_attempts
    }

    /// Returns the whole events that have arrived, as one piece.
    fn take_events(&mut self) -> Result<Option<Bytes>, String> {
        let mut first: Option<Bytes> = None;
        let mut joined = BytesMut::new();
        while let Some(event) = self.splitter.next_event().map_err(|it| it.to_string())? {
            self.run.events += 1;
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
        if first.is_some() && self.run.first_event_at.is_none() {
            self.note_first_event();
        }
        Ok(if joined.is_empty() { first } else { Some(joined.freeze()) })
    }

    fn note_first_event(&mut self) {
        let now = self.run.cx.now();
        self.run.first_event_at = Some(now);
        let latency = now.since(self.run.received_at);
        metrics::histogram!(telemetry::FIRST_TOKEN_SECONDS).record(latency.as_secs_f64());
        if let Some(source) = &mut self.source {
            source.placed.end_prompt();
        }
    }

    fn complete(&mut self) {
        self.run.is_complete = true;
        self.run.outcome = "answered";
        let Some(source) = self.source.take() else { return };
        let now = self.run.cx.now();
        let endpoint = &source.placed.placement.endpoint;
        self.run.cx.lock_endpoints().note_outcome(endpoint, false, now);
        self.run.cx.connections.keep(source.connection);
    }

    /// Goes on at another endpoint after the last whole event.
    async fn resume(&mut self, reason: &str, is_stalled: bool) -> io::Result<()> {
        let now = self.run.cx.now();
        self.run.outcome = "broken";
        if let Some(source) = self.source.take() {
            let endpoint = source.placed.placement.endpoint.clone();
            log::info!(request:% = self.run.head.id, endpoint:% = endpoint, events = self.run.events, last_event = self.splitter.last_id().unwrap_or_default(); "stream broken: {reason}");
            if now < self.run.limit_at {
                self.run.cx.lock_endpoints().note_outcome(&endpoint, true, now);
                self.run.avoid.push(endpoint);
            }
            // Closing the connection ends the former run before the next begins.
            let Source { placed, connection, body } = source;
            drop((body, connection));
            if !is_stalled {
                note_loss(&self.run, &placed).await;
            }
        }
        if self.run.time_left() < Duration::from_millis(5) {
            self.run.outcome = "timed_out";
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the time has passed"));
        }
        if !self.may_resume() || !take_retry(&self.run) {
            return Err(io::Error::other(reason.to_owned()));
        }
        metrics::counter!(telemetry::RETRIES_TOTAL, "reason" => "resumed").increment(1);
        let last_event = self.splitter.last_id();
        let answer = obtain_answer(&mut self.run, last_event).await.map_err(io::Error::other)?;
        if !answer.meaning.is_signed || !is_event_stream(&answer.head) {
            return Err(io::Error::other("the stream was not resumed"));
        }
        log::info!(request:% = self.run.head.id, endpoint:% = answer.placed.placement.endpoint, after = last_event.unwrap_or_default(); "stream resumed");
        self.splitter = EventSplitter::after(last_event);
        let Answer { body, connection, placed, .. } = answer;
        self.source = Some(Source { body, connection, placed });
        self.run.outcome = CALLER_LEFT;
        Ok(())
    }
}
