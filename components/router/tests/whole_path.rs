//! The whole path over loopback: a caller's request goes through a router to an
//! endpoint and back, paid from a prepaid budget in the platform's table.

#[allow(dead_code)]
mod scene;

use engine_api::{ChatCompletion, ChatMessage};
use scene::Scene;
use serde_json::json;
use standins::engine::expected_answer;
use types::Tokens;

#[tokio::test(flavor = "multi_thread")]
async fn chat_request_is_answered_whole_and_billed_once() {
    let scene = Scene::start(100_000).await;
    let text = "Hoop 3 has slipped. [tokens=40]";
    let body = json!({
        "model": "assessment", "max_tokens": 100,
        "messages": [{ "role": "user", "content": text }],
    });
    let first = scene.call("/v1/chat/completions", "barrel-1", &body).await.unwrap();
    assert_eq!(first.status(), 200, "{:?}", first.body());
    let completion: ChatCompletion = serde_json::from_slice(first.body()).unwrap();
    let expected = expected_answer(&[ChatMessage::from_text("user", text)], 100);
    assert_eq!(completion.choices[0].message.content, expected);
    assert_eq!(completion.usage.completion_tokens, 40);

    let again = scene.call("/v1/chat/completions", "barrel-1", &body).await.unwrap();
    assert_eq!(again.body(), first.body());
    assert_eq!(scene.engine.state().log().records.len(), 1);
    assert_eq!(scene.budget().settled, Tokens(completion.usage.total_tokens));
}

#[tokio::test(flavor = "multi_thread")]
async fn streamed_answer_ends_with_usage_and_the_final_mark() {
    let scene = Scene::start(100_000).await;
    let body = json!({
        "model": "assessment", "max_tokens": 100, "stream": true,
        "messages": [{ "role": "user", "content": "Which hoop? [tokens=5]" }],
    });
    let res = scene.call("/v1/chat/completions", "barrel-2", &body).await.unwrap();
    let text = String::from_utf8_lossy(res.body()).into_owned();
    assert!(text.contains("\"completion_tokens\":5"), "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_action_runs_once_for_all_retries() {
    let scene = Scene::start(1_000).await;
    let body = json!({ "barrel": 17 });
    for _ in 0..3 {
        let res = scene.call("/v1/actions/order-repair", "order-17", &body).await.unwrap();
        assert_eq!(res.status(), 200, "{:?}", res.body());
    }
    assert_eq!(scene.service.state().runs().len(), 1);
    assert_eq!(scene.budget().settled, Tokens(10));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_beyond_the_budget_is_refused_as_not_run() {
    let scene = Scene::start(5).await;
    let body = json!({ "barrel": 17 });
    let res = scene.call("/v1/actions/order-repair", "order-18", &body).await.unwrap();
    assert_eq!(res.status(), 402);
    let text = String::from_utf8_lossy(res.body()).into_owned();
    assert!(text.contains("\"code\":\"budget_exhausted\""), "{text}");
    assert!(text.contains("\"ran\":\"never\""), "{text}");
    assert!(scene.service.state().runs().is_empty());
}
