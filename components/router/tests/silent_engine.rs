//! Engines that are silent for a while within a stream and go on.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use engine_api::{ChatCompletion, ChatMessage};
use scene::{Scene, two_account_spec};
use serde_json::json;
use standins::engine::expected_answer;

/// Time between two tokens of the engines.
const TOKEN_PAUSE: Duration = Duration::from_millis(700);

/// Pause after which a router may go on at another engine.
const IDLE_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts a scene with one router in front of `engines` engines that write slowly.
async fn start_scene(engines: usize) -> Scene {
    let mut spec = two_account_spec(1);
    spec.routers.truncate(1);
    spec.accounts.truncate(1);
    spec.engines.truncate(engines);
    for engine in &mut spec.engines {
        engine.settings.step_base = TOKEN_PAUSE;
    }
    spec.stream_idle_timeout = IDLE_TIMEOUT;
    Scene::start(spec).await.unwrap()
}

/// Guards against answers that end with an error because a silent engine was given up before another
/// one was granted.
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_a_silent_engine_is_completed() {
    for engines in [1, 2] {
        let scene = start_scene(engines).await;
        let text = "Which hoop? [tokens=4]";
        let body = json!({
            "model": "assessment", "max_tokens": 10,
            "messages": [{ "role": "user", "content": text }],
        });
        let router = scene.routers.caller_addresses()[0];
        let path = "/v1/chat/completions";
        let res = scene.call(router, "cooperative", path, "barrel-1", &body).await.unwrap();
        assert_eq!(res.status(), 200, "{engines} engines: {:?}", res.body());
        let completion: ChatCompletion = serde_json::from_slice(res.body()).unwrap();
        let expected = expected_answer(&[ChatMessage::from_text("user", text)], 10);
        assert_eq!(completion.choices[0].message.content, expected, "{engines} engines");
        assert_eq!(scene.tally().bills, 1, "{engines} engines");
    }
}
