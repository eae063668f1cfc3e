//! One attempt of a chat request at one endpoint.

use bytes::Bytes;
use client::SendError;
use engine_api::{
    ADAPTER_HEADER, ChatChunk, ChatMessage, ChatRequest, DONE_MARK, MODEL_VERSION_HEADER,
    PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_FROM_HEADER, SseDecoder, StreamOptions, Usage,
};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header::CONTENT_TYPE};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use types::Priority;

use super::{ChatJob, attempt_error::AttemptError, stream_activity::StreamActivity};
use crate::{
    RouterContext,
    answer::{AnswerHead, AnswerLog},
    dispatch::{AttemptOutcome, EndpointLease},
};

/// Answer of a request so far, from all its attempts.
#[derive(Debug, Default)]
pub(super) struct ChatProgress {
    /// Text of the answer so far.
    pub(super) text: String,
    /// Tokens of the prompt, once an engine has reported them.
    pub(super) prompt_tokens: Option<u64>,
    /// Tokens of the answer so far.
    pub(super) completion_tokens: u64,
    /// Why the answer ended, once an engine has reported it.
    pub(super) finish_reason: Option<String>,
}

impl ChatProgress {
    /// Returns the usage so far; `prompt_bound` stands in for the prompt tokens if no engine has
    /// reported them.
    pub(super) fn usage(&self, prompt_bound: u64) -> Usage {
        Usage::new(self.prompt_tokens.unwrap_or(prompt_bound), self.completion_tokens)
    }
}

/// Makes one attempt. Writes the text to `log` as it arrives and adds it to `progress`, from
/// which the next attempt continues if this one fails. `on_prompt_tokens` is called with the
/// number of prompt tokens when an engine first reports it. `activity` shows when bytes arrived.
pub(super) async fn attempt_chat(
    cx: &RouterContext,
    job: &ChatJob,
    lease: &EndpointLease,
    progress: &mut ChatProgress,
    mut on_prompt_tokens: impl FnMut(u64),
    log: &AnswerLog,
    activity: &StreamActivity,
) -> Result<(), AttemptError> {
    let started = cx.clock.now();
    let body = encode_request(job, progress);
    let headers = request_headers(job, lease, progress);
    let path = "/v1/chat/completions";
    let res = cx.pooled.send(lease.address, Method::POST, path, headers, body).await;
    let res = res.map_err(|error| match error {
        SendError::NotSent(message) => AttemptError::new(AttemptOutcome::NotSent, message),
        error => AttemptError::new(AttemptOutcome::Lost, error.to_string()),
    })?;
    check_status(res.status())?;
    activity.record(cx.clock.now());
    let mut stream = EngineEvents::new(res.into_body());
    let mut is_first = true;
    let tokens_before = progress.completion_tokens;
    while let Some(chunk) = stream.next(cx, activity).await? {
        if std::mem::take(&mut is_first) {
            let latency = cx.clock.now().since(started);
            cx.dispatcher.report_first_token(lease, latency);
            metrics::histogram!(telemetry::FIRST_TOKEN_SECONDS).record(latency.as_secs_f64());
            log.start(AnswerHead { status: 200, content_type: "text/plain".into() });
        }
        let was_known = progress.prompt_tokens.is_some();
        apply_chunk(&chunk, tokens_before, progress);
        if let Some(prompt_tokens) = progress.prompt_tokens.filter(|_| !was_known) {
            on_prompt_tokens(prompt_tokens);
        }
        log.push(Bytes::copy_from_slice(chunk.text().as_bytes()));
    }
    if progress.finish_reason.is_some() {
        Ok(())
    } else {
        Err(AttemptError::new(AttemptOutcome::Lost, "the stream ended without a finish reason"))
    }
}

fn apply_chunk(chunk: &ChatChunk, tokens_before: u64, progress: &mut ChatProgress) {
    progress.text.push_str(chunk.text());
    match chunk.usage {
        Some(usage) => {
            progress.prompt_tokens.get_or_insert(usage.prompt_tokens);
            let tokens = tokens_before.saturating_add(usage.completion_tokens);
            progress.completion_tokens = progress.completion_tokens.max(tokens);
        }
        None if !chunk.text().is_empty() => progress.completion_tokens += 1,
        None => {}
    }
    if let Some(reason) = chunk.finish_reason() {
        progress.finish_reason = Some(reason.to_owned());
    }
}

fn check_status(status: StatusCode) -> Result<(), AttemptError> {
    let outcome = match status {
        StatusCode::OK => return Ok(()),
        StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            AttemptOutcome::Refused
        }
        status if status.is_client_error() => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Lost,
    };
    Err(AttemptError::new(outcome, format!("the endpoint responded with {status}")))
}

fn encode_request(job: &ChatJob, progress: &ChatProgress) -> Bytes {
    let mut req = ChatRequest {
        model: job.access.model.to_string(),
        max_tokens: Some(job.max_tokens.saturating_sub(progress.completion_tokens).max(1)),
        stream: true,
        stream_options: Some(StreamOptions { include_usage: true }),
        ..job.req.clone()
    };
    if !progress.text.is_empty() {
        req.messages.push(ChatMessage::from_text("assistant", &progress.text));
        req.continue_final_message = true;
    }
    serde_json::to_vec(&req).expect("a chat request serializes to JSON").into()
}

fn request_headers(job: &ChatJob, lease: &EndpointLease, progress: &ChatProgress) -> HeaderMap {
    let priority = match job.access.priority {
        Priority::Bulk => "0",
        Priority::Normal => "1",
        Priority::Urgent => "2",
    };
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(PRIORITY_HEADER, HeaderValue::from_static(priority));
    insert_header(&mut headers, REQUEST_ID_HEADER, &job.engine_request_id());
    if progress.text.is_empty() {
        // If the engine still has a stream of this request that another router started, it sends
        // that stream from the beginning.
        headers.insert(RESUME_FROM_HEADER, HeaderValue::from_static("0"));
    }
    if let Some(version) = &lease.version {
        insert_header(&mut headers, MODEL_VERSION_HEADER, version.as_str());
    }
    if let Some(adapter) = &job.access.adapter {
        insert_header(&mut headers, ADAPTER_HEADER, adapter.as_str());
    }
    headers
}

/// Inserts a header whose value is a name or an id and thus consists of visible ASCII.
pub(super) fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    let value = HeaderValue::from_str(value).expect("names and ids are visible ASCII");
    headers.insert(name, value);
}

/// Stream of the chunks of an engine's answer.
struct EngineEvents {
    /// Body of the HTTP response.
    body: Incoming,
    /// Splits the body into events.
    decoder: SseDecoder,
}

impl EngineEvents {
    fn new(body: Incoming) -> EngineEvents {
        EngineEvents { body, decoder: SseDecoder::new() }
    }

    /// Returns the next chunk; `None` after the event that marks the end of the stream.
    async fn next(
        &mut self,
        cx: &RouterContext,
        activity: &StreamActivity,
    ) -> Result<Option<ChatChunk>, AttemptError> {
        loop {
            if let Some(data) = self.decoder.next_event() {
                if data == DONE_MARK {
                    return Ok(None);
                }
                let chunk = serde_json::from_str(&data);
                return chunk
                    .map(Some)
                    .map_err(|error| lost_error(format!("malformed chunk: {error}")));
            }
            let frame = self.body.frame().await;
            activity.record(cx.clock.now());
            let frame = frame
                .ok_or_else(|| lost_error("the stream ended before its final event".to_owned()))?;
            let frame = frame.map_err(|error| lost_error(error.to_string()))?;
            let is_within_limit = frame.data_ref().is_none_or(|data| self.decoder.push(data));
            if !is_within_limit {
                return Err(lost_error("an event of the stream is too long".to_owned()));
            }
        }
    }
}

fn lost_error(message: String) -> AttemptError {
    AttemptError::new(AttemptOutcome::Lost, message)
}
