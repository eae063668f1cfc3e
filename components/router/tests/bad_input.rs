//! Invalid input from callers: each gets a clear error and uses no tokens of the budget.

#![allow(clippy::unwrap_used)]

use std::{fmt::Write as _, net::SocketAddr, time::Duration};

use http::Method;
use scene::{Scene, account_key, two_account_spec};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use types::{AccountName, Tokens};

const CHAT_PATH: &str = "/v1/chat/completions";
const GOOD_CHAT: &str =
    r#"{"model":"assessment","max_tokens":4,"messages":[{"role":"user","content":"hoop?"}]}"#;

/// An HTTP request as raw text, so that any part of it can be malformed.
struct RawCall {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
}

impl RawCall {
    fn new(name: &'static str, path: &'static str, body: &str) -> RawCall {
        let key = account_key("cooperative");
        let headers = vec![
            ("authorization", format!("Bearer {}", key.expose())),
            ("content-type", "application/json".to_owned()),
        ];
        RawCall { name, method: Method::POST, path, headers, body: body.to_owned() }
    }

    fn with_header(mut self, name: &'static str, value: &str) -> RawCall {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    fn encode(&self) -> String {
        let mut text = format!("{} {} HTTP/1.1\r\nhost: router\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        let _ = write!(text, "connection: close\r\ncontent-length: {}\r\n\r\n", self.body.len());
        text + &self.body
    }
}

fn chat(name: &'static str, body: &str) -> RawCall {
    RawCall::new(name, CHAT_PATH, body)
}

fn bad_calls() -> Vec<RawCall> {
    let with_field = |field: &str| GOOD_CHAT.replace("\"max_tokens\":4", field);
    let mut calls = vec![
        chat("no key", GOOD_CHAT).with_header("authorization", ""),
        chat("wrong key", GOOD_CHAT).with_header("authorization", "Bearer wrong"),
        chat("bad request id", GOOD_CHAT).with_header("idempotency-key", "a b"),
        chat("bad timeout", GOOD_CHAT).with_header("x-request-timeout-ms", "soon"),
        chat("wrong content type", GOOD_CHAT).with_header("content-type", "text/plain"),
        chat("truncated JSON", &GOOD_CHAT[..40]),
        chat("no messages", r#"{"model":"assessment","messages":[]}"#),
        chat("zero max_tokens", &with_field("\"max_tokens\":0")),
        chat("absurd max_tokens", &with_field("\"max_tokens\":18446744073709551615")),
        chat("negative max_tokens", &with_field("\"max_tokens\":-1")),
        chat("unknown model", &GOOD_CHAT.replace("assessment", "none")),
        chat("model of another account", &GOOD_CHAT.replace("assessment", "fitting-plan")),
        chat("body too large", &"x".repeat(70_000)),
        RawCall::new("unknown action", "/v1/actions/none", "{}"),
        RawCall::new("action of another account", "/v1/actions/reserve-cloth", "{}"),
        RawCall::new("unknown path", "/v1/none", "{}"),
    ];
    calls.push(RawCall { method: Method::DELETE, ..chat("wrong method", "") });
    let long = "x".repeat(100_000);
    calls.push(chat("headers too large", GOOD_CHAT).with_header("x-long", &long));
    calls
}

async fn start_scene() -> Scene {
    let mut spec = two_account_spec(1);
    spec.routers.truncate(1);
    spec.http_limits.body_max_bytes = 64 * 1024;
    spec.http_limits.body_timeout = Duration::from_millis(300);
    Scene::start(spec).await.unwrap()
}

/// Sends raw text and returns the status, the error code and the `ran` field of the response.
async fn exchange(router: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(router).await.unwrap();
    // The router may answer and close the connection before it has read the whole request.
    let _ = stream.write_all(text.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1).unwrap_or("none").to_owned();
    let code = answer.split("\"code\":\"").nth(1).and_then(|rest| rest.split('"').next());
    let ran = answer.split("\"ran\":\"").nth(1).and_then(|rest| rest.split('"').next());
    format!("{status} {} {}", code.unwrap_or("-"), ran.unwrap_or("-"))
}

fn assert_nothing_spent(scene: &Scene) {
    let budget = scene.budget(&AccountName::new("cooperative").unwrap()).unwrap();
    assert_eq!(budget.settled, Tokens::ZERO);
    assert_eq!(scene.tally().generated_tokens, 0);
    assert_eq!(scene.tally().bills, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_clear_error_and_spends_no_tokens() {
    let scene = start_scene().await;
    let router = scene.routers.caller_addresses()[0];
    let mut table = String::new();
    for call in bad_calls() {
        let answer = exchange(router, &call.encode()).await;
        let _ = writeln!(table, "{:26} {answer}", call.name);
    }
    insta::assert_snapshot!(table);
    assert_nothing_spent(&scene);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_sender_is_refused_as_not_run() {
    let scene = start_scene().await;
    let router = scene.routers.caller_addresses()[0];
    let whole = chat("slow sender", GOOD_CHAT).encode();
    let answer = exchange(router, &whole[..whole.len() - 10]).await;
    assert_eq!(answer, "408 slow_sender never");
    assert_nothing_spent(&scene);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_id_with_other_content_is_refused() {
    let scene = start_scene().await;
    let router = scene.routers.caller_addresses()[0];
    let first = chat("first", GOOD_CHAT).with_header("idempotency-key", "barrel-1");
    let other = GOOD_CHAT.replace("hoop?", "stave?");
    let second = chat("second", &other).with_header("idempotency-key", "barrel-1");
    assert_eq!(exchange(router, &first.encode()).await, "200 - -");
    assert_eq!(exchange(router, &second.encode()).await, "409 request_id_reused never");
    assert_eq!(scene.tally().bills, 1);
}
