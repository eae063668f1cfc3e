//! The controller over loopback connections: engines load what the configuration prefers.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bytes::Bytes;
use client::AdminClient;
use engine_api::{LoadReport, LoadState};
use platform::WeightId;
use scene::{Scene, account_key, two_account_spec};
use serde_json::{Value, json};
use standins::engine::EngineSettings;
use types::{EndpointName, ModelName, ModelVersion};

/// Timeout for events without a required latency.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

async fn apply(admin: &AdminClient, intent: &Value) {
    let plan: Value = admin.post("/admin/v1/plans", intent.to_string().into()).await.unwrap();
    let path = format!("/admin/v1/plans/{}/confirm", plan["plan"].as_str().unwrap());
    let _: Value = admin.post(&path, Bytes::new()).await.unwrap();
}

async fn read_load(scene: &Scene, engine: &EndpointName) -> LoadReport {
    let http = client::HttpClient::new(client::Connections::OnePerCall);
    let address = scene.engine_address(engine);
    let (headers, body) = (http::HeaderMap::new(), Bytes::new());
    let res = http.call(address, http::Method::GET, "/v1/load", headers, body, WAIT_TIMEOUT).await;
    serde_json::from_slice(res.unwrap().body()).unwrap()
}

async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn preferred_version_is_loaded_on_every_engine_by_one_controller() {
    let mut spec = two_account_spec(1);
    spec.engines.retain(|engine| engine.model.as_str() == "barrel-7b");
    spec.accounts.truncate(1);
    for engine in &mut spec.engines {
        let load_time = Duration::from_millis(100);
        engine.settings = EngineSettings { load_time, ..EngineSettings::default() };
    }
    let scene = Scene::start(spec).await.unwrap();
    let (model, version) = (ModelName::new("barrel-7b").unwrap(), ModelVersion::new("v2").unwrap());
    let weights = WeightId { model: model.clone(), version: version.clone(), adapter: None };
    scene.platform().add_weights(weights, Duration::from_millis(100));
    let routers = scene.routers.caller_addresses();
    let admin = AdminClient::new(routers, account_key("admin"), WAIT_TIMEOUT, |_| {});
    let cfg: Value = admin.get("/admin/v1/config").await.unwrap();
    let mut changed = cfg["models"]["barrel-7b"].clone();
    changed["versions"] = json!(["v1", "v2"]);
    let mut account = cfg["accounts"]["cooperative"].clone();
    account["models"]["assessment"]["versions"] = json!(["v2", "v1"]);
    let intent = json!({ "set": {
        "models": { "barrel-7b": changed }, "accounts": { "cooperative": account },
    } });
    apply(&admin, &intent).await;
    for engine in scene.config().models[&model].endpoints.clone() {
        wait_for("the load of v2", async || {
            let report = read_load(&scene, &engine).await;
            report.models.iter().any(|it| it.version == version && it.state == LoadState::Ready)
        })
        .await;
        let report = read_load(&scene, &engine).await;
        assert_eq!(report.models.len(), 2, "v1 stays loaded for the accounts that still use it");
    }
}
