//! Choice of endpoints over the loopback network: leaving endpoints, crashed endpoints, and
//! content that crashes endpoints.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bytes::Bytes;
use engine_api::{ChatCompletion, ChatMessage};
use http::Response;
use routing::EndpointState;
use scene::{Scene, two_account_spec};
use serde_json::{Value, json};
use standins::engine::expected_answer;
use types::{EndpointName, ModelVersion};

const ACCOUNT: &str = "cooperative";

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_scene() -> Scene {
    let mut spec = two_account_spec(1);
    spec.routers.truncate(2);
    spec.accounts.truncate(1);
    spec.engines.retain(|engine| engine.model.as_str() == "barrel-7b");
    Scene::start(spec).await.unwrap()
}

fn engines(scene: &Scene) -> Vec<EndpointName> {
    let names = scene.config().endpoints.keys();
    names.filter(|name| name.as_str().starts_with("barrel-7b")).cloned().collect()
}

fn chat(text: &str) -> Value {
    json!({
        "model": "assessment", "max_tokens": 400,
        "messages": [{ "role": "user", "content": text }],
    })
}

async fn call(scene: &Scene, router: usize, id: &str, text: &str) -> Response<Bytes> {
    let address = scene.routers.caller_addresses()[router];
    scene.call(address, ACCOUNT, "/v1/chat/completions", id, &chat(text)).await.unwrap()
}

fn assert_complete(res: &Response<Bytes>, text: &str) {
    assert_eq!(res.status(), 200, "{:?}", res.body());
    let completion: ChatCompletion = serde_json::from_slice(res.body()).unwrap();
    let expected = expected_answer(&[ChatMessage::from_text("user", text)], 400);
    assert_eq!(completion.choices[0].message.content, expected);
}

fn count_crashes(scene: &Scene) -> u32 {
    engines(scene).iter().map(|name| scene.engine(name).log().crashes).sum()
}

async fn wait_until(mut is_done: impl FnMut() -> bool) {
    let wait = async {
        while !is_done() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait).await.expect("the condition holds within the timeout");
}

/// Waits for an engine that has generated some tokens of a running request; returns its name.
async fn engine_in_use(scene: &Scene) -> EndpointName {
    let names = engines(scene);
    let find = || {
        let is_busy = |name: &&EndpointName| {
            let records = scene.engine(name).log().records;
            records.iter().any(|it| !it.is_finished && it.generated_tokens > 5)
        };
        names.iter().find(is_busy).cloned()
    };
    wait_until(|| find().is_some()).await;
    find().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_finishes_its_requests_and_gets_no_new_ones() {
    let scene = start_scene().await;
    let long = "Long assessment. [tokens=300]";
    let in_progress = call(&scene, 0, "long", long);
    let rest = async {
        let leaving = engine_in_use(&scene).await;
        scene.engine(&leaving).set_leaving(true);
        for (_, router) in scene.routers.iter() {
            let status = || router.context().dispatcher.status();
            wait_until(|| {
                // A router that has just started may not know the endpoint yet.
                let status = status();
                let endpoint = status.endpoints.iter().find(|it| it.name == leaving);
                endpoint.is_some_and(|it| it.state == EndpointState::Leaving)
            })
            .await;
        }
        let runs_before = scene.engine(&leaving).log().records.len();
        for number in 0..30 {
            let text = format!("Short question {number}. [tokens=2]");
            let res = call(&scene, number % 2, &format!("short-{number}"), &text).await;
            assert_complete(&res, &text);
        }
        assert_eq!(scene.engine(&leaving).log().records.len(), runs_before);
    };
    let (res, ()) = tokio::join!(in_progress, rest);
    assert_complete(&res, long);
    let records = engines(&scene).into_iter().flat_map(|name| scene.engine(&name).log().records);
    assert_eq!(records.filter(|it| it.request_id.contains("long")).count(), 1);
}

/// Guards against an answer whose end another model version writes than its beginning.
#[tokio::test(flavor = "multi_thread")]
async fn answer_continues_only_at_the_model_version_that_began_it() {
    let mut spec = two_account_spec(1);
    spec.routers.truncate(1);
    spec.accounts.truncate(1);
    spec.engines.retain(|engine| engine.model.as_str() == "barrel-7b");
    let engine_count = spec.engines.len();
    spec.engines.truncate(4);
    assert!(engine_count >= 4, "{engine_count} engines");
    for engine in &mut spec.engines[1..] {
        engine.version = ModelVersion::new("v2").unwrap();
    }
    let old = spec.engines[0].name.clone();
    let scene = Scene::start(spec).await.unwrap();
    // Retries are a share of the requests so far.
    for number in 0..40 {
        let text = format!("Hoops {number}. [tokens=1]");
        assert_complete(&call(&scene, 0, &format!("warm-up-{number}"), &text).await, &text);
    }
    for number in 0..20 {
        let text = format!("Staves {number}. [tokens=200]");
        let id = format!("assessment-{number}");
        let answer = call(&scene, 0, &id, &text);
        let crash = async {
            let engine = engine_in_use(&scene).await;
            if engine == old {
                scene.kill_engine(&engine);
            }
            engine == old
        };
        let (res, is_killed) = tokio::join!(answer, crash);
        if is_killed {
            // No other engine has the version, so the answer ends with an error.
            assert_ne!(res.status(), 200, "{:?}", res.body());
            let names = engines(&scene).into_iter().filter(|it| *it != old);
            let records = names.flat_map(|it| scene.engine(&it).log().records);
            assert_eq!(records.filter(|it| it.request_id.contains(&id)).count(), 0);
            return;
        }
        assert_complete(&res, &text);
    }
    panic!("no answer began at the only engine of the version");
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_continues_at_another_engine_after_a_crash() {
    let scene = start_scene().await;
    let text = "Staves and hoops. [tokens=200]";
    let answer = call(&scene, 0, "assessment-1", text);
    let crash = async { scene.kill_engine(&engine_in_use(&scene).await) };
    let (res, ()) = tokio::join!(answer, crash);
    assert_complete(&res, text);
    let logs = engines(&scene).into_iter().map(|name| scene.engine(&name).log());
    let runs: Vec<_> = logs.flat_map(|log| log.records).collect();
    assert_eq!(runs.len(), 2, "{runs:?}");
    let generated: u64 = runs.iter().map(|it| it.generated_tokens).sum();
    assert!((200..260).contains(&generated), "the second run continued where the first ended");
}

#[tokio::test(flavor = "multi_thread")]
async fn content_that_crashes_engines_is_quarantined_under_a_new_id_too() {
    let scene = start_scene().await;
    let poison = "Look at this barrel. [poison]";
    let res = call(&scene, 0, "first-id", poison).await;
    assert_eq!(res.status(), 422, "{:?}", res.body());
    assert_eq!(count_crashes(&scene), 2);
    let res = call(&scene, 0, "second-id", poison).await;
    assert_eq!(res.status(), 422, "{:?}", res.body());
    let text = String::from_utf8_lossy(res.body()).into_owned();
    assert!(text.contains("\"code\":\"quarantined\""), "{text}");
    assert_eq!(count_crashes(&scene), 2);
    let (_, router) = scene.routers.iter().next().unwrap();
    wait_until(|| router.context().dispatcher.status().quarantined.len() == 1).await;
    let other = "Another barrel. [tokens=10]";
    assert_complete(&call(&scene, 0, "third-id", other).await, other);
}
