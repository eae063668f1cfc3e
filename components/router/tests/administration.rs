//! The administration API over loopback.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod scene;

use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method};
use scene::{API_KEY, Scene, headers};
use serde_json::{Value, json};
use standins::TableFaults;

const ADMIN: &str = "key-of-the-admin-0123456789";
const READER: &str = "key-of-the-reader-0123456789";
const CLERK: &str = "key-of-the-clerk-0123456789";

/// Calls the administration API; returns the status and the body.
async fn call(scene: &Scene, key: &str, method: Method, path: &str, body: &str) -> (u16, Value) {
    let address = scene.router.caller_address();
    let (headers, body) = (headers(key, "x"), body.to_owned().into());
    let timeout = Duration::from_secs(30);
    let res = scene.http.call(address, method, path, headers, body, timeout).await.unwrap();
    (res.status().as_u16(), serde_json::from_slice(res.body()).unwrap())
}

async fn post(scene: &Scene, key: &str, path: &str, body: &Value) -> (u16, Value) {
    call(scene, key, Method::POST, path, &body.to_string()).await
}

async fn get(scene: &Scene, key: &str, path: &str) -> (u16, Value) {
    call(scene, key, Method::GET, path, "").await
}

/// Makes and confirms a plan; returns the confirmation.
async fn apply(scene: &Scene, key: &str, intent: &Value) -> Value {
    let (status, plan) = post(scene, key, "/admin/v1/plans", intent).await;
    assert_eq!(status, 200, "{plan}");
    let path = format!("/admin/v1/plans/{}/confirm", plan["plan"].as_str().unwrap());
    let (status, confirmation) = post(scene, key, &path, &Value::Null).await;
    assert_eq!(status, 200, "{confirmation}");
    confirmation
}

/// Starts a scene with an admin, a reader, and a clerk of the account `cooperative`.
async fn scene_with_operators() -> Scene {
    let scene = Scene::start(1_000).await;
    let hash = |key: &str| config::ApiKey::new(key).hash();
    let intent = json!({ "set": { "operators": {
        "ada": { "key": hash(ADMIN), "role": "admin" },
        "rita": { "key": hash(READER), "role": "read" },
        "carl": { "key": hash(CLERK), "role": { "accounts": ["cooperative"] } },
    } } });
    apply(&scene, scene::BOOTSTRAP_KEY, &intent).await;
    scene
}

#[tokio::test(flavor = "multi_thread")]
async fn bootstrap_key_counts_only_while_there_is_no_operator() {
    let scene = scene_with_operators().await;
    let (status, _) = get(&scene, scene::BOOTSTRAP_KEY, "/admin/v1/state").await;
    assert_eq!(status, 401);
    let (status, _) = get(&scene, ADMIN, "/admin/v1/state").await;
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_wrong_and_callers_keys_get_the_same_answer() {
    let scene = scene_with_operators().await;
    let mut answers = Vec::new();
    for key in ["", "wrong", API_KEY] {
        answers.push(get(&scene, key, "/admin/v1/config").await);
        answers.push(get(&scene, key, "/admin/v1/plans/none").await);
    }
    let address = scene.router.caller_address();
    let none = HeaderMap::from_iter([("x".parse().unwrap(), HeaderValue::from_static("y"))]);
    let res = scene.http.call(
        address,
        Method::GET,
        "/admin/v1/audit",
        none,
        "".into(),
        Duration::from_secs(9),
    );
    let res = res.await.unwrap();
    answers.push((res.status().as_u16(), serde_json::from_slice(res.body()).unwrap()));
    assert!(answers.iter().all(|answer| *answer == answers[0] && answer.0 == 401), "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn roles_bound_what_operators_may_change() {
    let scene = scene_with_operators().await;
    let deposit =
        json!({ "deposits": [{ "id": "inv-1", "account": "cooperative", "tokens": 50 }] });
    let model = json!({ "remove": { "models": ["barrel-7b"] } });
    let other = json!({ "set": { "accounts": { "stranger": {} } } });
    let mut seen = Vec::new();
    for (who, key) in [("reader", READER), ("clerk", CLERK), ("admin", ADMIN)] {
        for (what, intent) in [("deposit", &deposit), ("model", &model), ("other", &other)] {
            let (status, body) = post(&scene, key, "/admin/v1/plans", intent).await;
            seen.push(format!("{who} {what}: {status} {}", body["error"]["code"]));
        }
    }
    insta::assert_snapshot!(seen.join("\n"));
    // A plan of an admin is not the clerk's to confirm.
    let (_, plan) = post(&scene, ADMIN, "/admin/v1/plans", &other).await;
    let path = format!("/admin/v1/plans/{}/confirm", plan["plan"].as_str().unwrap());
    assert_eq!(post(&scene, CLERK, &path, &Value::Null).await.0, 403);
    assert_eq!(post(&scene, READER, &path, &Value::Null).await.0, 403);
}

#[tokio::test(flavor = "multi_thread")]
async fn deposit_counts_once_however_often_it_is_repeated() {
    let scene = scene_with_operators().await;
    let intent =
        json!({ "deposits": [{ "id": "inv-7", "account": "cooperative", "tokens": 500 }] });
    let (_, first) = post(&scene, CLERK, "/admin/v1/plans", &intent).await;
    let (_, second) = post(&scene, CLERK, "/admin/v1/plans", &intent).await;
    for plan in [&first, &second, &first] {
        let path = format!("/admin/v1/plans/{}/confirm", plan["plan"].as_str().unwrap());
        let (status, body) = post(&scene, CLERK, &path, &Value::Null).await;
        assert_eq!(status, 200, "{body}");
    }
    assert_eq!(scene.budget().deposited.0, 1_500);
    let (_, again) = post(&scene, CLERK, "/admin/v1/plans", &intent).await;
    insta::assert_snapshot!(again["words"][0].as_str().unwrap());
    let other = json!({ "deposits": [{ "id": "inv-7", "account": "cooperative", "tokens": 9 }] });
    let (status, body) = post(&scene, CLERK, "/admin/v1/plans", &other).await;
    insta::assert_snapshot!(format!("{status} {}", body["error"]["faults"][0]));
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_plan_conflicts_with_the_difference_and_an_unrelated_change_does_not_matter() {
    let scene = scene_with_operators().await;
    let weigh = |weight: u32| json!({ "set": { "accounts": { "guild": { "weight": weight } } } });
    apply(&scene, ADMIN, &weigh(1)).await;
    let (_, plan_a) = post(&scene, ADMIN, "/admin/v1/plans", &weigh(2)).await;
    let (_, plan_b) = post(&scene, ADMIN, "/admin/v1/plans", &weigh(3)).await;
    let unrelated = json!({ "set": { "services": { "archive": {} } } });
    apply(&scene, ADMIN, &unrelated).await;
    let path = |plan: &Value| format!("/admin/v1/plans/{}/confirm", plan["plan"].as_str().unwrap());
    let (status, first) = post(&scene, ADMIN, &path(&plan_a), &Value::Null).await;
    assert_eq!(status, 200, "{first}");
    let (status, body) = post(&scene, ADMIN, &path(&plan_b), &Value::Null).await;
    assert_eq!(status, 409);
    insta::assert_snapshot!(serde_json::to_string_pretty(&body["error"]).unwrap());
    // The winner's confirmation stays the same when it is repeated.
    assert_eq!(post(&scene, ADMIN, &path(&plan_a), &Value::Null).await, (200, first));
}

#[tokio::test(flavor = "multi_thread")]
async fn version_is_undone_by_a_plan_of_its_own() {
    let scene = scene_with_operators().await;
    let (_, before) = get(&scene, ADMIN, "/admin/v1/config").await;
    let intent = json!({ "set": { "accounts": { "guild": { "weight": 2 } } } });
    let confirmation = apply(&scene, ADMIN, &intent).await;
    let version = confirmation["version"].as_u64().unwrap();
    let path = format!("/admin/v1/versions/{version}/undo");
    let (status, plan) = post(&scene, ADMIN, &path, &Value::Null).await;
    assert_eq!(status, 200, "{plan}");
    let path = format!("/admin/v1/plans/{}/confirm", plan["plan"].as_str().unwrap());
    post(&scene, ADMIN, &path, &Value::Null).await;
    let (_, after) = get(&scene, ADMIN, "/admin/v1/config").await;
    assert_eq!(after["accounts"], before["accounts"]);
    assert_eq!(after["version"], version + 1);
    let path = format!("/admin/v1/versions/{}/diff/{}", version - 1, version);
    let (_, diff) = get(&scene, READER, &path).await;
    insta::assert_snapshot!(diff["words"].to_string());
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_is_in_force_on_the_confirming_router_at_once() {
    let scene = scene_with_operators().await;
    let key = "key-of-the-guild-0123456789";
    let intent = json!({ "set": { "accounts": { "guild": {
        "keys": [config::ApiKey::new(key).hash()], "actions": ["find-stock"],
    } } }, "deposits": [{ "id": "inv-2", "account": "guild", "tokens": 5 }] });
    apply(&scene, ADMIN, &intent).await;
    let body = json!({ "wood": "oak" });
    let (status, answer) = post(&scene, key, "/v1/actions/find-stock", &body).await;
    assert_eq!(status, 200, "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_intents_are_refused_with_the_path_of_each_fault() {
    let scene = scene_with_operators().await;
    let (_, before) = get(&scene, ADMIN, "/admin/v1/config").await;
    let account = r#"{ "weight": 1 }"#;
    let twice = format!(r#"{{ "set": {{ "accounts": {{ "a": {account}, "a": {account} }} }} }}"#);
    let texts = [
        ("not JSON", "{ \"set\": "),
        ("unknown field", r#"{ "set": { "accounts": { "a": { "wieght": 1 } } } }"#),
        (
            "wrong unit",
            r#"{ "deposits": [{ "id": "i", "account": "cooperative", "tokens": "5M" }] }"#,
        ),
        ("negative", r#"{ "deposits": [{ "id": "i", "account": "cooperative", "tokens": -5 }] }"#),
        ("bad name", r#"{ "remove": { "accounts": ["a b"] } }"#),
        ("duplicate name", &twice),
        ("nothing", "{}"),
        (
            "many faults",
            r#"{ "set": { "accounts": { "a": { "weight": 5000, "actions": ["x"],
            "models": { "m": { "model": "nope", "versions": ["v1"] },
                "n": { "model": "barrel-7b", "versions": ["v9", "v1", "v1"] } } } },
            "endpoints": { "e": { "address": "0.0.0.0:0", "failure_domain": "zlin" } },
            "actions": { "x": { "service": "s", "path": "x", "idempotent": true, "price": 1,
                "timeout_ms": 0 } }, "quarantine": ["beef"] },
            "remove": { "models": ["gone"] },
            "deposits": [{ "id": "i", "account": "b", "tokens": 0 }] }"#,
        ),
    ];
    let mut seen = String::new();
    for (what, text) in texts {
        let (status, body) = call(&scene, ADMIN, Method::POST, "/admin/v1/plans", text).await;
        seen.push_str(&format!("{what}: {status} {}\n", body["error"]["message"]));
        for fault in body["error"]["faults"].as_array().into_iter().flatten() {
            seen.push_str(&format!("  {}: {}\n", fault["path"], fault["message"]));
        }
    }
    insta::assert_snapshot!(seen);
    let large = format!("{{{}}}", " ".repeat(config::INTENT_MAX_BYTES));
    let (status, _) = call(&scene, ADMIN, Method::POST, "/admin/v1/plans", &large).await;
    assert_eq!(status, 413);
    assert_eq!(get(&scene, ADMIN, "/admin/v1/config").await.1, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn table_that_is_away_refuses_changes_and_the_state_says_so() {
    let scene = scene_with_operators().await;
    let faults = TableFaults { down: true, ..TableFaults::default() };
    scene.platform.state().table().set_faults(faults);
    let (status, state) = get(&scene, ADMIN, "/admin/v1/state").await;
    assert_eq!(status, 200);
    assert_eq!(state["local"].get("accepted_version"), None);
    let intent = json!({ "set": { "accounts": { "a": {} } } });
    let (status, body) = post(&scene, ADMIN, "/admin/v1/plans", &intent).await;
    assert_eq!((status, &body["error"]["code"]), (503, &json!("store_unavailable")));
}
