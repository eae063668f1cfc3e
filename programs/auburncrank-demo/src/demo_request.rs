//! The requests that the demo sends.

use std::time::Duration;

use client::CallerRequest;
use engine_api::ChatMessage;
use rand::Rng as _;
use serde_json::json;
use standins::engine::expected_answer;
use types::RequestId;
use utils::Rng;

/// Longest time of a request with all its retries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(40);

/// A request and what a whole answer to it is.
#[derive(Debug, Clone)]
pub(crate) struct DemoRequest {
    /// The call.
    pub(crate) call: CallerRequest,
    /// Text that a whole answer holds; of a chat answer, all of its text.
    pub(crate) expected: String,
    /// Whether the answer is that of a chat request.
    pub(crate) is_chat: bool,
}

/// Kind of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RequestKind {
    /// A long streamed answer, for which the caller is willing to wait.
    Long {
        /// Model name.
        model: &'static str,
        /// What the prompt is about.
        topic: &'static str,
    },
    /// A short answer, which cannot wait.
    Question {
        /// Model name.
        model: &'static str,
        /// What the prompt is about.
        topic: &'static str,
    },
    /// An action of a plain service.
    Action {
        /// Name of the action.
        name: &'static str,
    },
}

/// Kinds of the cooperative's requests.
pub(crate) const COOPERATIVE_KINDS: &[RequestKind] = &[
    RequestKind::Long { model: "assessment", topic: "staves, hoops and heads" },
    RequestKind::Question { model: "workshop-question", topic: "hoop spacing" },
    RequestKind::Action { name: "order-repair" },
    RequestKind::Action { name: "find-barrel" },
];

/// Kinds of the uniform maker's requests.
pub(crate) const UNIFORM_MAKER_KINDS: &[RequestKind] = &[
    RequestKind::Long { model: "fitting-plan", topic: "the measurement sheet" },
    RequestKind::Question { model: "fitting-question", topic: "the sleeve" },
    RequestKind::Action { name: "reserve-cloth" },
    RequestKind::Action { name: "charge-deposit" },
    RequestKind::Action { name: "find-stock" },
];

impl DemoRequest {
    /// Creates the request of `account` with `id`.
    pub(crate) fn new(account: &str, id: &str, kind: RequestKind, rng: &mut Rng) -> DemoRequest {
        match kind {
            RequestKind::Long { model, topic } => {
                let tokens = rng.random_range(80..200);
                DemoRequest::chat(id, model, topic, tokens, true)
            }
            RequestKind::Question { model, topic } => {
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
        let call = new_call(id, "/v1/chat/completions", &body, is_stream);
        DemoRequest { call, expected, is_chat: true }
    }

    fn action(account: &str, id: &str, name: &str) -> DemoRequest {
        let body = json!({ "reference": id });
        let call = new_call(id, &format!("/v1/actions/{name}"), &body, false);
        DemoRequest { call, expected: format!("{account}/{id}"), is_chat: false }
    }

    /// Tells whether `body` is the whole answer to this request.
    pub(crate) fn is_whole_answer(&self, body: &[u8]) -> bool {
        let text = String::from_utf8_lossy(body);
        if !self.is_chat || !self.call.is_stream {
            return text.contains(&self.expected);
        }
        text == self.expected
    }
}

fn new_call(id: &str, path: &str, body: &serde_json::Value, is_stream: bool) -> CallerRequest {
    CallerRequest {
        id: RequestId::new(id).expect("the demo's ids are sound"),
        path: path.to_owned(),
        body: body.to_string().into(),
        is_stream,
        timeout: REQUEST_TIMEOUT,
    }
}
