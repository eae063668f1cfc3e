//! The administration API over loopback connections.

#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use client::{Connections, HttpClient};
use config::{ApiKey, INTENT_MAX_BYTES};
use http::{HeaderMap, HeaderValue, Method, header::AUTHORIZATION};
use platform::{Commit, Key, Write};
use router::{HttpLimits, RouterProcess, RouterSettings};
use scene::{Scene, account_key, two_account_spec};
use serde_json::{Value, json};
use standins::{CallLimits, PlatformServer, PlatformState, TableFaults};
use types::{AccountName, FailureDomain, RouterName, Tokens};

const READER: &str = "key-of-the-reader-0123456789";
const CLERK: &str = "key-of-the-clerk-0123456789";
const BOOTSTRAP: &str = "key-of-the-first-operator-0123456789";

/// Calls the administration API and returns the status and the body.
async fn call(
    router: SocketAddr,
    key: &str,
    method: Method,
    path: &str,
    body: &str,
) -> (u16, Value) {
    let mut headers = HeaderMap::new();
    headers.insert(AUTHORIZATION, HeaderValue::from_str(&format!("Bearer {key}")).unwrap());
    let (body, timeout) = (body.to_owned().into(), Duration::from_secs(30));
    let http = HttpClient::new(Connections::OnePerCall);
    let res = http.call(router, method, path, headers, body, timeout).await.unwrap();
    (res.status().as_u16(), serde_json::from_slice(res.body()).unwrap())
}

async fn post(router: SocketAddr, key: &str, path: &str, body: &Value) -> (u16, Value) {
    call(router, key, Method::POST, path, &body.to_string()).await
}

async fn get(router: SocketAddr, key: &str, path: &str) -> (u16, Value) {
    call(router, key, Method::GET, path, "").await
}

async fn confirm(router: SocketAddr, key: &str, plan: &Value) -> (u16, Value) {
    let path = format!("/admin/v1/plans/{}/confirm", plan["plan"].as_str().unwrap());
    post(router, key, &path, &Value::Null).await
}

/// Creates and confirms a plan, and returns the confirmation.
async fn apply(router: SocketAddr, key: &str, intent: &Value) -> Value {
    let (status, plan) = post(router, key, "/admin/v1/plans", intent).await;
    assert_eq!(status, 200, "{plan}");
    let (status, confirmation) = confirm(router, key, &plan).await;
    assert_eq!(status, 200, "{confirmation}");
    confirmation
}

/// A scene with three operators: an admin, a reader, and a clerk who may change only the
/// account `cooperative`.
struct AdminSetup {
    scene: Scene,
    router: SocketAddr,
    admin: String,
}

impl AdminSetup {
    async fn start() -> AdminSetup {
        let mut spec = two_account_spec(1);
        spec.routers.truncate(1);
        let scene = Scene::start(spec).await.unwrap();
        let router = scene.routers.caller_addresses()[0];
        let admin = account_key("admin").expose().to_owned();
        let hash = |key: &str| ApiKey::new(key).hash();
        let intent = json!({ "set": { "operators": {
            "rita": { "key": hash(READER), "role": "read" },
            "carl": { "key": hash(CLERK), "role": { "accounts": ["cooperative"] } },
        } } });
        apply(router, &admin, &intent).await;
        AdminSetup { scene, router, admin }
    }

    fn deposited(&self) -> Tokens {
        let account = AccountName::new("cooperative").unwrap();
        self.scene.budget(&account).unwrap().deposited
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bootstrap_key_is_valid_only_while_there_is_no_operator() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let state = PlatformState::new(CallLimits::new(2_000, 300), 1);
    let platform = PlatformServer::start(any_port, state).await.unwrap();
    let process = RouterProcess::start(RouterSettings {
        name: RouterName::new("router-1").unwrap(),
        failure_domain: FailureDomain::new("zlin").unwrap(),
        caller_address: any_port,
        peer_address: any_port,
        seeds: Vec::new(),
        platform_address: platform.address(),
        platform_timeout: Duration::from_secs(2),
        http_limits: HttpLimits::default(),
        stream_idle_timeout: Duration::from_secs(30),
        drain_timeout: Duration::from_secs(10),
        traffic_threads: 2,
        bootstrap_operator_key: Some(ApiKey::new(BOOTSTRAP).hash()),
    });
    let process = process.unwrap();
    let router = process.caller_address();
    let reader = json!({ "key": ApiKey::new(READER).hash(), "role": "read" });
    let intent = json!({ "set": { "operators": { "rita": reader } } });
    let (status, body) = post(router, BOOTSTRAP, "/admin/v1/plans", &intent).await;
    assert_eq!((status, &body["error"]["faults"][0]["path"]), (422, &json!("operators")));
    let admin = json!({ "key": ApiKey::new(CLERK).hash(), "role": "admin" });
    apply(router, BOOTSTRAP, &json!({ "set": { "operators": { "ada": admin } } })).await;
    assert_eq!(get(router, BOOTSTRAP, "/admin/v1/state").await.0, 401);
    assert_eq!(get(router, CLERK, "/admin/v1/state").await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_wrong_and_callers_keys_get_the_same_answer() {
    let setup = AdminSetup::start().await;
    let router = setup.router;
    let mut answers = Vec::new();
    for key in ["", "wrong", account_key("cooperative").expose()] {
        answers.push(get(router, key, "/admin/v1/config").await);
        answers.push(get(router, key, "/admin/v1/plans/none").await);
    }
    assert!(answers.iter().all(|answer| *answer == answers[0] && answer.0 == 401), "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn roles_limit_what_operators_may_change() {
    let setup = AdminSetup::start().await;
    let (router, admin) = (setup.router, setup.admin.as_str());
    let deposit =
        json!({ "deposits": [{ "id": "inv-1", "account": "cooperative", "tokens": 50 }] });
    let model = json!({ "remove": { "models": ["barrel-7b"] } });
    let other = json!({ "set": { "accounts": { "stranger": {} } } });
    let mut seen = Vec::new();
    for (who, key) in [("reader", READER), ("clerk", CLERK), ("admin", admin)] {
        for (what, intent) in [("deposit", &deposit), ("model", &model), ("other", &other)] {
            let (status, body) = post(router, key, "/admin/v1/plans", intent).await;
            seen.push(format!("{who} {what}: {status} {}", body["error"]["code"]));
        }
    }
    insta::assert_snapshot!(seen.join("\n"));
    // The clerk and the reader may not confirm a plan that they could not create.
    let (_, plan) = post(router, admin, "/admin/v1/plans", &other).await;
    assert_eq!(confirm(router, CLERK, &plan).await.0, 403);
    assert_eq!(confirm(router, READER, &plan).await.0, 403);
}

#[tokio::test(flavor = "multi_thread")]
async fn deposit_counts_once_however_often_it_is_repeated() {
    let setup = AdminSetup::start().await;
    let router = setup.router;
    let intent =
        json!({ "deposits": [{ "id": "inv-7", "account": "cooperative", "tokens": 500 }] });
    let (_, first) = post(router, CLERK, "/admin/v1/plans", &intent).await;
    let (_, second) = post(router, CLERK, "/admin/v1/plans", &intent).await;
    for plan in [&first, &second, &first] {
        let (status, body) = confirm(router, CLERK, plan).await;
        assert_eq!(status, 200, "{body}");
    }
    assert_eq!(setup.deposited(), Tokens(400_500));
    let (_, again) = post(router, CLERK, "/admin/v1/plans", &intent).await;
    insta::assert_snapshot!(again["words"][0].as_str().unwrap());
    let other = json!({ "deposits": [{ "id": "inv-7", "account": "cooperative", "tokens": 9 }] });
    let (status, body) = post(router, CLERK, "/admin/v1/plans", &other).await;
    insta::assert_snapshot!(format!("{status} {}", body["error"]["faults"][0]));
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_plan_is_rejected_with_the_difference_and_an_unrelated_change_does_not_matter() {
    let setup = AdminSetup::start().await;
    let (router, admin) = (setup.router, setup.admin.as_str());
    let weight_intent =
        |weight: u32| json!({ "set": { "accounts": { "guild": { "weight": weight } } } });
    apply(router, admin, &weight_intent(1)).await;
    let (_, plan_a) = post(router, admin, "/admin/v1/plans", &weight_intent(2)).await;
    let (_, plan_b) = post(router, admin, "/admin/v1/plans", &weight_intent(3)).await;
    let unrelated = json!({ "set": { "services": { "archive": {} } } });
    apply(router, admin, &unrelated).await;
    let (status, first) = confirm(router, admin, &plan_a).await;
    assert_eq!(status, 200, "{first}");
    let (status, body) = confirm(router, admin, &plan_b).await;
    assert_eq!(status, 409);
    insta::assert_snapshot!(serde_json::to_string_pretty(&body["error"]).unwrap());
    // Repeating the successful confirmation returns the same result.
    assert_eq!(confirm(router, admin, &plan_a).await, (200, first));
}

#[tokio::test(flavor = "multi_thread")]
async fn version_is_undone_by_a_plan_of_its_own() {
    let setup = AdminSetup::start().await;
    let (router, admin) = (setup.router, setup.admin.as_str());
    let (_, before) = get(router, admin, "/admin/v1/config").await;
    let intent = json!({ "set": { "accounts": { "guild": { "weight": 2 } } } });
    let confirmation = apply(router, admin, &intent).await;
    let version = confirmation["version"].as_u64().unwrap();
    let path = format!("/admin/v1/versions/{version}/undo");
    let (status, plan) = post(router, admin, &path, &Value::Null).await;
    assert_eq!(status, 200, "{plan}");
    assert_eq!(confirm(router, admin, &plan).await.0, 200);
    let (_, after) = get(router, admin, "/admin/v1/config").await;
    assert_eq!(after["accounts"], before["accounts"]);
    assert_eq!(after["version"], version + 1);
    let path = format!("/admin/v1/versions/{}/diff/{}", version - 1, version);
    let (_, diff) = get(router, READER, &path).await;
    insta::assert_snapshot!(diff["words"].to_string());
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_is_active_on_the_confirming_router_at_once() {
    let setup = AdminSetup::start().await;
    let (router, admin) = (setup.router, setup.admin.as_str());
    let key = "key-of-the-guild-0123456789";
    let intent = json!({ "set": { "accounts": { "guild": {
        "keys": [ApiKey::new(key).hash()], "actions": ["find-stock"],
    } } }, "deposits": [{ "id": "inv-2", "account": "guild", "tokens": 5 }] });
    apply(router, admin, &intent).await;
    let body = json!({ "wood": "oak" });
    let (status, answer) = post(router, key, "/v1/actions/find-stock", &body).await;
    assert_eq!(status, 200, "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_intents_are_refused_with_the_path_of_each_fault() {
    let setup = AdminSetup::start().await;
    let (router, admin) = (setup.router, setup.admin.as_str());
    let (_, before) = get(router, admin, "/admin/v1/config").await;
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
        let (status, body) = call(router, admin, Method::POST, "/admin/v1/plans", text).await;
        seen.push_str(&format!("{what}: {status} {}\n", body["error"]["message"]));
        for fault in body["error"]["faults"].as_array().into_iter().flatten() {
            seen.push_str(&format!("  {}: {}\n", fault["path"], fault["message"]));
        }
    }
    insta::assert_snapshot!(seen);
    let large = format!("{{{}}}", " ".repeat(INTENT_MAX_BYTES));
    let (status, _) = call(router, admin, Method::POST, "/admin/v1/plans", &large).await;
    assert_eq!(status, 413);
    assert_eq!(get(router, admin, "/admin/v1/config").await.1, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn unavailable_table_refuses_changes_and_the_state_reports_it() {
    let setup = AdminSetup::start().await;
    let (router, admin) = (setup.router, setup.admin.as_str());
    let faults = TableFaults { down: true, ..TableFaults::default() };
    setup.scene.platform().table().set_faults(faults);
    let (status, state) = get(router, admin, "/admin/v1/state").await;
    assert_eq!(status, 200);
    assert_eq!(state["local"].get("accepted_version"), None);
    let intent = json!({ "set": { "accounts": { "a": {} } } });
    let (status, body) = post(router, admin, "/admin/v1/plans", &intent).await;
    assert_eq!((status, &body["error"]["code"]), (503, &json!("store_unavailable")));
}

#[tokio::test(flavor = "multi_thread")]
async fn grants_in_doubt_and_calls_without_outcome_are_listed_and_resolved() {
    let setup = AdminSetup::start().await;
    let (router, admin) = (setup.router, setup.admin.as_str());
    let gone = json!({ "name": "router-gone", "incarnation": 3 });
    let table = setup.scene.platform().table();
    let put = |key: &str, value: Value| Write::put(Key::new(key).unwrap(), &value);
    let grant = json!({ "router": gone, "write": 1, "unspent": 90, "spent": 10, "witness": null,
        "epoch": 0, "ceiling": 0, "closed_unix_ms": null, "moved": {}, "received": {} });
    let call = json!({ "router": gone, "write": 1, "fingerprint": "0".repeat(64), "fencing": 1,
        "state": "recorded" });
    let budget = json!({ "deposited": 1_000, "settled": 10, "granted": 90 });
    let writes = vec![
        put("grant/cooperative/router-gone/3", grant),
        put("budget/cooperative", budget),
        put("intent/cooperative/order-9", call),
    ];
    table.commit_directly(&Commit { writes, ..Commit::default() });
    let (_, in_doubt) = get(router, READER, "/admin/v1/in-doubt").await;
    assert_eq!(in_doubt["grants"][0]["tokens"], 90, "{in_doubt}");
    let (_, open) = get(router, READER, "/admin/v1/outcome-unknown").await;
    assert_eq!(open["calls"][0]["router_is_known"], false, "{open}");

    let close = |spent: u64| {
        json!({ "resolutions": [{ "kind": "close_grant",
        "account": "cooperative", "router": "router-gone", "incarnation": 3, "spent": spent }] })
    };
    let (status, refused) = post(router, CLERK, "/admin/v1/plans", &close(91)).await;
    insta::assert_snapshot!(format!("{status} {}", refused["error"]["faults"][0]));
    apply(router, CLERK, &close(60)).await;
    let account = AccountName::new("cooperative").unwrap();
    let budget = setup.scene.budget(&account).unwrap();
    assert_eq!((budget.granted, budget.settled), (Tokens(0), Tokens(70)));

    let settle = |ended: bool| {
        json!({ "resolutions": [{ "kind": "settle_request",
        "account": "cooperative", "request": "order-9", "ran": false, "router_ended": ended }] })
    };
    let (status, refused) = post(router, admin, "/admin/v1/plans", &settle(false)).await;
    insta::assert_snapshot!(format!("{status} {}", refused["error"]["faults"][0]));
    apply(router, admin, &settle(true)).await;
    let (_, open) = get(router, READER, "/admin/v1/outcome-unknown").await;
    assert_eq!(open["calls"], json!([]));
    let (_, audit) = get(router, READER, "/admin/v1/audit").await;
    let words = audit["entries"].as_array().unwrap().last().unwrap()["words"].to_string();
    insta::assert_snapshot!(words);
}
