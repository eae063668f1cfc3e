//! Requests that the demo sends, with the answers that it expects.

use std::time::Duration;

use client::CallerRequest;
use engine_api::ChatMessage;
use rand::Rng as _;
use serde_json::json;
use standins::engine::expected_answer;
use types::RequestId;
use utils::Rng;

/// Maximum duration of a request, including its retries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(40);

/// Request together with the answer that is expected for it.
#[derive(Debug, Clone)]
pub(crate) struct DemoRequest {
    /// Request to send.
    pub(crate) caller_request: CallerRequest,
    /// Text that a complete answer contains; a streamed chat answer has to equal it.
    pub(crate) expected: String,
    /// Whether it is a chat request; otherwise it is an action.
    pub(crate) is_chat: bool,
}

/// Kind of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RequestKind {
    /// Chat request with a long streamed answer, for which the caller can wait.
    LongChat {
        /// Model name.
        model: &'static str,
        /// Topic of the prompt.
        topic: &'static str,
    },
    /// Chat request with a short answer, which the caller needs soon.
    ShortChat {
        /// Model name.
        model: &'static str,
        /// Topic of the prompt.
        topic: &'static str,
    },
    /// Action of a plain service.
    Action {
        /// Name of the action.
        name: &'static str,
    },
}

/// Kinds of requests that callers of the account `cooperative` send.
pub(crate) const COOPERATIVE_KINDS: &[RequestKind] = &[
    RequestKind::LongChat { model: "assessment", topic: "staves, hoops and heads" },
    RequestKind::ShortChat { model: "workshop-question", topic: "hoop spacing" },
    RequestKind::Action { name: "order-repair" },
    RequestKind::Action { name: "find-barrel" },
];

/// Kinds of requests that callers of the account `uniform-maker` send.
pub(crate) const UNIFORM_MAKER_KINDS: &[RequestKind] = &[
    RequestKind::LongChat { model: "fitting-plan", topic: "the measurement sheet" },
    RequestKind::ShortChat { model: "fitting-question", topic: "the sleeve" },
    RequestKind::Action { name: "reserve-cloth" },
    RequestKind::Action { name: "charge-deposit" },
    RequestKind::Action { name: "find-stock" },
];

impl DemoRequest {
    /// Creates a request of `account` with the id `id`. For chat requests, `rng` determines the
    /// length of the answer and whether a short answer is streamed.
    pub(crate) fn new(account: &str, id: &str, kind: RequestKind, rng: &mut Rng) -> DemoRequest {
        match kind {
            RequestKind::LongChat { model, topic } => {
                let tokens = rng.random_range(80..200);
                DemoRequest::chat(id, model, topic, tokens, true)
            }
            RequestKind::ShortChat { model, topic } => {
                let tokens = rng.random_range(8..20);
                DemoRequest::chat(id, model, topic, tokens, rng.random_bool(0.5))
            }
            RequestKind::Action { name } => DemoRequest::action(account, id, name),
        }
    }

    fn chat(id: &str, model: &str, topic: &str, tokens: u64, is_stream: bool) -> DemoRequest {
        let text = format!("Request {id} about {topic}. [tokens={tokens}]");
        let max_tokens = tokens * 2;
        let expected = expected_answer(&[ChatMessage::from_text("user", &text)], max_tokens);
        let body = json!({
            "model": model, "max_tokens": max_tokens, "stream": is_stream,
            "messages": [{ "role": "user", "content": text }],
        });
        let caller_request = new_request(id, "/v1/chat/completions", &body, is_stream);
        DemoRequest { caller_request, expected, is_chat: true }
    }

    fn action(account: &str, id: &str, name: &str) -> DemoRequest {
        let body = json!({ "reference": id });
        let caller_request = new_request(id, &format!("/v1/actions/{name}"), &body, false);
        DemoRequest { caller_request, expected: format!("{account}/{id}"), is_chat: false }
    }

    /// Reports whether `body` is the complete answer to this request.
    pub(crate) fn is_complete_answer(&self, body: &[u8]) -> bool {
        let text = String::from_utf8_lossy(body);
        if !self.is_chat || !self.caller_request.is_stream {
            return text.contains(&self.expected);
        }
        text == self.expected
    }
}

fn new_request(id: &str, path: &str, body: &serde_json::Value, is_stream: bool) -> CallerRequest {
    CallerRequest {
        id: RequestId::new(id).expect("request ids of the demo are valid"),
        path: path.to_owned(),
        body: body.to_string().into(),
        is_stream,
        timeout: REQUEST_TIMEOUT,
    }
}
