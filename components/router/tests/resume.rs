//! A router is killed while it streams an answer: a retry at another router resumes the
//! stream of the engine.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use engine_api::{ChatCompletion, ChatMessage};
use scene::{Scene, two_account_spec};
use serde_json::json;
use standins::engine::expected_answer;
use types::RouterName;

const ACCOUNT: &str = "cooperative";
const CHAT_PATH: &str = "/v1/chat/completions";

/// Starts a scene with one engine and two routers.
async fn start_scene() -> Scene {
    let mut spec = two_account_spec(1);
    spec.routers.truncate(2);
    spec.accounts.truncate(1);
    spec.engines.truncate(1);
    Scene::start(spec).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_resumes_the_stream_of_a_killed_router() {
    let mut scene = start_scene().await;
    let text = "Assess barrel 9. [tokens=300]";
    let body = json!({
        "model": "assessment", "max_tokens": 400, "stream": true,
        "messages": [{ "role": "user", "content": text }],
    });
    let first_router = RouterName::new("router-zlin").unwrap();
    let second_router = RouterName::new("router-kromeriz").unwrap();
    let first_address = scene.routers.get(&first_router).unwrap().caller_address();
    let second_address = scene.routers.get(&second_router).unwrap().caller_address();

    let first = scene.call(first_address, ACCOUNT, CHAT_PATH, "barrel-9", &body);
    let answer_begun = async {
        while scene.tally().generated_tokens < 10 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    // The first call and its connection are dropped before the answer is complete.
    tokio::select! {
        _ = first => panic!("the answer ended before the router was killed"),
        () = answer_begun => {}
    }
    scene.routers.kill(&first_router).unwrap();

    let retry = json!({
        "model": "assessment", "max_tokens": 400,
        "messages": [{ "role": "user", "content": text }],
    });
    let res = scene.call(second_address, ACCOUNT, CHAT_PATH, "barrel-9", &retry).await.unwrap();
    assert_eq!(res.status(), 200, "{:?}", res.body());
    let completion: ChatCompletion = serde_json::from_slice(res.body()).unwrap();
    let expected = expected_answer(&[ChatMessage::from_text("user", text)], 400);
    assert_eq!(completion.choices[0].message.content, expected);
    assert_eq!(completion.usage.completion_tokens, 300);
    let tally = scene.tally();
    assert_eq!((tally.generated_tokens, tally.bills), (300, 1));
}
