//! A router dies with a stream open: the next one goes on with the engine's stream.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use engine_api::{ChatCompletion, ChatMessage};
use scene::{Scene, two_account_spec};
use serde_json::json;
use standins::engine::expected_answer;
use types::RouterName;

const ACCOUNT: &str = "cooperative";
const CHAT: &str = "/v1/chat/completions";

/// Starts a scene of one engine for assessments and two routers.
async fn start_scene() -> Scene {
    let mut spec = two_account_spec(1);
    spec.routers.truncate(2);
    spec.accounts.truncate(1);
    spec.engines.truncate(1);
    Scene::start(spec).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn next_router_resumes_the_stream_of_a_dead_one() {
    let mut scene = start_scene().await;
    let text = "Assess barrel 9. [tokens=300]";
    let body = json!({
        "model": "assessment", "max_tokens": 400, "stream": true,
        "messages": [{ "role": "user", "content": text }],
    });
    let dying = RouterName::new("router-zlin").unwrap();
    let next = RouterName::new("router-kromeriz").unwrap();
    let dying_address = scene.routers.get(&dying).unwrap().caller_address();
    let next_address = scene.routers.get(&next).unwrap().caller_address();

    let first = scene.call(dying_address, ACCOUNT, CHAT, "barrel-9", &body);
    let kill = async {
        while scene.tally().generated_tokens < 10 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    // The first call is dropped half way, with its connection.
    tokio::select! {
        _ = first => panic!("the answer ended before the router was killed"),
        () = kill => {}
    }
    scene.routers.kill(&dying).unwrap();

    let whole = json!({
        "model": "assessment", "max_tokens": 400,
        "messages": [{ "role": "user", "content": text }],
    });
    let res = scene.call(next_address, ACCOUNT, CHAT, "barrel-9", &whole).await.unwrap();
    assert_eq!(res.status(), 200, "{:?}", res.body());
    let completion: ChatCompletion = serde_json::from_slice(res.body()).unwrap();
    let expected = expected_answer(&[ChatMessage::from_text("user", text)], 400);
    assert_eq!(completion.choices[0].message.content, expected);
    assert_eq!(completion.usage.completion_tokens, 300);
    let tally = scene.tally();
    assert_eq!((tally.generated_tokens, tally.bills), (300, 1));
}
