//! Chat completions.

use std::sync::Arc;

use bytes::Bytes;
use engine_api::{ChatChunk, ChatCompletion, ChatRequest, DONE_MARK, encode_event};
use errors::{Error, ErrorKind, Result};
use futures::{Stream, StreamExt, stream};
use http::{HeaderMap, HeaderValue, header::CONTENT_TYPE};
use types::{ModelName, RequestId, RequestKey};
use utils::Digest;
use viz::{Request, Response, ResponseExt};

use super::{
    HttpContext,
    auth::admit_caller,
    request_head::{check_content_type, deadline, request_id},
    respond::{respond_error, respond_with_id},
};
use crate::{
    answer::{AnswerEnd, AnswerEvent, AnswerLog, AnswerReader},
    registry::{Begin, BeginRequest},
    traffic::ChatJob,
};

/// Output limit, in tokens, of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 1_024;

/// Maximum number of messages in a conversation.
const MESSAGES_MAX: usize = 4_096;

/// Serves `POST /v1/chat/completions`.
pub(super) async fn serve_chat(cx: HttpContext, mut req: Request) -> viz::Result<Response> {
    metrics::counter!(telemetry::REQUESTS_TOTAL, "interface" => "chat").increment(1);
    let headers = req.headers().clone();
    let id = match request_id(&headers) {
        Ok(id) => id,
        Err(error) => return Ok(respond_error(&error, None)),
    };
    let result = answer_chat(&cx, &headers, &mut req, &id).await;
    Ok(respond_with_id(result, &id))
}

async fn answer_chat(
    cx: &HttpContext,
    headers: &HeaderMap,
    req: &mut Request,
    id: &RequestId,
) -> Result<Response> {
    let cfg = cx.router.cfg.load_full();
    let (account_name, account) = admit_caller(cx, &cfg, headers)?;
    check_content_type(headers)?;
    let deadline = deadline(headers, &cx.router.clock)?;
    let body = cx.bodies.read(req).await?;
    let chat: ChatRequest = serde_json::from_slice(body.bytes()).map_err(|error| {
        Error::new(ErrorKind::BadRequest, format!("invalid request body: {error}"))
    })?;
    let access = ModelName::new(&chat.model).ok().and_then(|name| account.models.get(&name));
    let Some(access) = access else {
        return Err(Error::new(
            ErrorKind::UnknownModel,
            "unknown model, or the client account has no access to it",
        ));
    };
    let context_tokens = cfg.models.get(&access.model).map_or(0, |model| model.context_tokens);
    let max_tokens = check_limits(&chat, context_tokens)?;
    let job = ChatJob {
        key: RequestKey::new(account_name.clone(), id.clone()),
        fingerprint: fingerprint(&chat),
        max_tokens,
        account: account.clone(),
        access: access.clone(),
        deadline,
        req: chat,
    };
    let format = AnswerFormat {
        id: id.clone(),
        model: job.req.model.clone(),
        is_stream: job.req.stream,
        includes_usage: job.req.stream_options.is_none_or(|options| options.include_usage),
    };
    let log = begin_chat(cx, job).await?;
    format.respond(log).await
}

/// Starts a run of the request, or returns the log of its running attempt or kept answer.
async fn begin_chat(cx: &HttpContext, job: ChatJob) -> Result<Arc<AnswerLog>> {
    let begin = BeginRequest {
        key: job.key.clone(),
        fingerprint: job.fingerprint,
        idempotent: true,
        deadline: job.deadline,
    };
    match cx.router.registry.begin(&begin).await? {
        Begin::Run(log) => {
            cx.runs.start_chat(job, log.clone());
            Ok(log)
        }
        Begin::Join(log) => Ok(log),
    }
}

/// Checks a request against the limits; returns its output limit in tokens.
fn check_limits(chat: &ChatRequest, context_tokens: u64) -> Result<u64> {
    let refuse = |message: String| Err(Error::new(ErrorKind::BadRequest, message));
    if chat.messages.is_empty() || chat.messages.len() > MESSAGES_MAX {
        return refuse(format!("messages must contain 1 to {MESSAGES_MAX} entries"));
    }
    if chat.continue_final_message {
        return refuse("continue_final_message is not supported".to_owned());
    }
    match chat.max_tokens {
        Some(0) => refuse("max_tokens must be at least 1".to_owned()),
        Some(tokens) if tokens > context_tokens => refuse(format!(
            "max_tokens must be at most {context_tokens}, the context size of the model"
        )),
        Some(tokens) => Ok(tokens),
        None => Ok(DEFAULT_MAX_TOKENS.min(context_tokens)),
    }
}

/// Returns the digest of the request's content without the streaming options, which only
/// change the format of the answer.
fn fingerprint(chat: &ChatRequest) -> Digest {
    let content = ChatRequest { stream: false, stream_options: None, ..chat.clone() };
    let json = serde_json::to_vec(&content).expect("a chat request serializes to JSON");
    Digest::from_content(&json)
}

/// Format in which an answer is sent.
#[derive(Debug, Clone)]
struct AnswerFormat {
    /// Id of the request.
    id: RequestId,
    /// Model name from the request.
    model: String,
    /// Whether the answer is streamed as server-sent events.
    is_stream: bool,
    /// Whether a stream ends with a usage chunk.
    includes_usage: bool,
}

impl AnswerFormat {
    async fn respond(self, log: Arc<AnswerLog>) -> Result<Response> {
        let mut reader = log.reader();
        // A failure before the first token is reported by the HTTP status.
        if let Some(AnswerEvent::Failed(error)) = reader.next().await {
            return Err(error);
        }
        if self.is_stream {
            return Ok(self.respond_stream(reader));
        }
        self.respond_complete(&log, reader).await
    }

    async fn respond_complete(self, log: &AnswerLog, mut reader: AnswerReader) -> Result<Response> {
        while let Some(event) = reader.next().await {
            match event {
                AnswerEvent::End(end) => return Ok(self.encode_completion(log, &end)),
                AnswerEvent::Failed(error) => return Err(error),
                AnswerEvent::Head(_) | AnswerEvent::Part(_) => {}
            }
        }
        Err(Error::new(ErrorKind::Internal, "the answer stopped before its end"))
    }

    fn encode_completion(&self, log: &AnswerLog, end: &AnswerEnd) -> Response {
        let body = log.body();
        let text = String::from_utf8_lossy(&body);
        let reason = end.finish_reason.as_deref().unwrap_or("stop");
        let completion =
            ChatCompletion::new(self.id.as_str(), &self.model, &text, reason, end.usage);
        let json = serde_json::to_vec(&completion).expect("a completion serializes to JSON");
        let mut res = Response::new(viz::Body::Full(json.into()));
        res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        res
    }

    fn respond_stream(self, reader: AnswerReader) -> Response {
        let mut res = Response::stream(self.encode_events(reader));
        res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        res.headers_mut().insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        res
    }

    fn encode_events(
        self,
        reader: AnswerReader,
    ) -> impl Stream<Item = std::io::Result<Bytes>> + Send + 'static {
        stream::unfold((self, reader), |(format, mut reader)| async move {
            let event = reader.next().await?;
            Some((Ok(format.encode_event(event)), (format, reader)))
        })
        .boxed()
    }

    fn encode_event(&self, event: AnswerEvent) -> Bytes {
        let (id, model) = (self.id.as_str(), self.model.as_str());
        match event {
            AnswerEvent::Head(_) => Bytes::new(),
            AnswerEvent::Part(part) => {
                encode_event(&ChatChunk::from_text(id, model, &String::from_utf8_lossy(&part)))
            }
            AnswerEvent::End(end) => self.encode_end(&end),
            // The missing done marker tells the caller that the answer is incomplete.
            AnswerEvent::Failed(error) => encode_event(&error.answer()),
        }
    }

    fn encode_end(&self, end: &AnswerEnd) -> Bytes {
        let (id, model) = (self.id.as_str(), self.model.as_str());
        let reason = end.finish_reason.as_deref().unwrap_or("stop");
        let mut bytes = encode_event(&ChatChunk::from_finish(id, model, reason)).to_vec();
        if self.includes_usage {
            bytes.extend(encode_event(&ChatChunk::from_usage(id, model, end.usage)));
        }
        bytes.extend(format!("data: {DONE_MARK}\n\n").into_bytes());
        bytes.into()
    }
}
