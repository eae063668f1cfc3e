//! End-to-end requests over loopback connections: from a caller through a router to an
//! endpoint and back, paid from a prepaid budget in the platform's table.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use engine_api::{ChatCompletion, ChatMessage};
use http::Response;
use scene::{Scene, two_account_spec};
use serde_json::{Value, json};
use standins::engine::expected_answer;
use types::{AccountName, ServiceName, Tokens};

const ACCOUNT: &str = "cooperative";

async fn start_scene(deposit: u64) -> Scene {
    let mut spec = two_account_spec(1);
    spec.routers.truncate(1);
    spec.accounts.truncate(1);
    spec.accounts[0].deposit = Tokens(deposit);
    Scene::start(spec).await.unwrap()
}

async fn call(scene: &Scene, path: &str, id: &str, body: &Value) -> Response<Bytes> {
    let router = scene.routers.caller_addresses()[0];
    scene.call(router, ACCOUNT, path, id, body).await.unwrap()
}

fn settled(scene: &Scene) -> Tokens {
    scene.budget(&AccountName::new(ACCOUNT).unwrap()).unwrap().settled
}

fn order_runs(scene: &Scene) -> usize {
    scene.service(&ServiceName::new("portal").unwrap()).runs().len()
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_request_is_answered_completely_and_billed_once() {
    let scene = start_scene(100_000).await;
    let text = "Hoop 3 has slipped. [tokens=40]";
    let body = json!({
        "model": "assessment", "max_tokens": 100,
        "messages": [{ "role": "user", "content": text }],
    });
    let first = call(&scene, "/v1/chat/completions", "barrel-1", &body).await;
    assert_eq!(first.status(), 200, "{:?}", first.body());
    let completion: ChatCompletion = serde_json::from_slice(first.body()).unwrap();
    let expected = expected_answer(&[ChatMessage::from_text("user", text)], 100);
    assert_eq!(completion.choices[0].message.content, expected);
    assert_eq!(completion.usage.completion_tokens, 40);

    let again = call(&scene, "/v1/chat/completions", "barrel-1", &body).await;
    assert_eq!(again.body(), first.body());
    assert_eq!(scene.tally().generated_tokens, 40);
    assert_eq!(scene.tally().bills, 1);
    assert_eq!(settled(&scene), Tokens(completion.usage.total_tokens));
}

#[tokio::test(flavor = "multi_thread")]
async fn streamed_answer_ends_with_usage_and_the_done_marker() {
    let scene = start_scene(100_000).await;
    let body = json!({
        "model": "assessment", "max_tokens": 100, "stream": true,
        "messages": [{ "role": "user", "content": "Which hoop? [tokens=5]" }],
    });
    let res = call(&scene, "/v1/chat/completions", "barrel-2", &body).await;
    let text = String::from_utf8_lossy(res.body()).into_owned();
    assert!(text.contains("\"completion_tokens\":5"), "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_action_runs_once_for_all_retries() {
    let scene = start_scene(1_000).await;
    let body = json!({ "barrel": 17 });
    for _ in 0..3 {
        let res = call(&scene, "/v1/actions/order-repair", "order-17", &body).await;
        assert_eq!(res.status(), 200, "{:?}", res.body());
    }
    assert_eq!(order_runs(&scene), 1);
    assert_eq!(settled(&scene), Tokens(20));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_beyond_the_budget_is_refused_as_not_run() {
    let scene = start_scene(5).await;
    let body = json!({ "barrel": 17 });
    let res = call(&scene, "/v1/actions/order-repair", "order-18", &body).await;
    assert_eq!(res.status(), 402, "{:?}", res.body());
    let text = String::from_utf8_lossy(res.body()).into_owned();
    assert!(text.contains("\"code\":\"budget_exhausted\""), "{text}");
    assert!(text.contains("\"ran\":\"never\""), "{text}");
    assert_eq!(order_runs(&scene), 0);
}
