//! A scene for tests: stand-ins and routers over loopback.

#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use budget::{BudgetRow, budget_key};
use client::{Connections, HttpClient, SendError};
use config::{CONFIG_KEY, Config};
use http::{HeaderMap, HeaderValue, Method, Response};
use platform::{Commit, Key, Write};
use router::{RouterProcess, RouterSettings};
use standins::{
    CallLimits, PlatformServer, PlatformState, ServiceServer, ServiceState,
    engine::{EngineServer, EngineSettings},
};
use types::{AccountName, FailureDomain, ModelName, ModelVersion, RouterName, Tokens};

/// API key of the client account of the scene.
pub(crate) const API_KEY: &str = "key-of-the-cooperative-0123456789";

/// Operator's key of the scene while there is no operator.
pub(crate) const BOOTSTRAP_KEY: &str = "key-of-the-first-operator-0123456789";

/// The client account of the scene.
pub(crate) const ACCOUNT: &str = "cooperative";

/// Longest time of a call in a test.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Stand-ins and a router.
pub(crate) struct Scene {
    /// The platform.
    pub(crate) platform: PlatformServer,
    /// A model engine.
    pub(crate) engine: EngineServer,
    /// A plain service.
    pub(crate) service: ServiceServer,
    /// A router.
    pub(crate) router: RouterProcess,
    /// Client of the callers.
    pub(crate) http: HttpClient,
}

impl Scene {
    /// Starts a scene whose account has a deposit of `deposit`.
    pub(crate) async fn start(deposit: u64) -> Scene {
        let state = PlatformState::new(CallLimits::new(2_000, 500), 1);
        let platform = PlatformServer::start(any_port(), state).await.unwrap();
        let model = ModelName::new("barrel-7b").unwrap();
        let models = [(model, ModelVersion::new("v1").unwrap())];
        let engine =
            EngineServer::start(any_port(), EngineSettings::default(), &models).await.unwrap();
        let service = ServiceServer::start(any_port(), ServiceState::default()).await.unwrap();
        write_config(&platform, &scene_config(engine.address(), service.address()));
        write_deposit(&platform, deposit);
        let router = RouterProcess::start(router_settings("router-1", &platform)).unwrap();
        let scene =
            Scene { platform, engine, service, router, http: HttpClient::new(Connections::Kept) };
        scene.wait_until_ready().await;
        scene
    }

    /// Sends a call to the router.
    pub(crate) async fn call(
        &self,
        path: &str,
        id: &str,
        body: &serde_json::Value,
    ) -> Result<Response<bytes::Bytes>, SendError> {
        let address = self.router.caller_address();
        let body = serde_json::to_vec(body).unwrap();
        self.http
            .call(address, Method::POST, path, headers(API_KEY, id), body.into(), CALL_TIMEOUT)
            .await
    }

    /// Reads the budget row of the account.
    pub(crate) fn budget(&self) -> BudgetRow {
        let account = AccountName::new(ACCOUNT).unwrap();
        let rows = self.platform.state().table().inspect(budget_key(&account).as_str());
        rows[0].decode().unwrap()
    }

    async fn wait_until_ready(&self) {
        for _ in 0..500 {
            let address = self.router.caller_address();
            let body = bytes::Bytes::new();
            let res = self
                .http
                .call(address, Method::GET, "/ready", HeaderMap::new(), body, CALL_TIMEOUT)
                .await;
            if res.is_ok_and(|res| res.status().is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the router is not ready");
    }
}

/// Returns the headers of a call.
pub(crate) fn headers(key: &str, id: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let value = |text: &str| HeaderValue::from_str(text).unwrap();
    headers.insert("authorization", value(&format!("Bearer {key}")));
    headers.insert("content-type", value("application/json"));
    headers.insert("idempotency-key", value(id));
    headers
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn router_settings(name: &str, platform: &PlatformServer) -> RouterSettings {
    RouterSettings {
        name: RouterName::new(name).unwrap(),
        failure_domain: FailureDomain::new("zlin").unwrap(),
        caller_address: any_port(),
        peer_address: any_port(),
        seeds: Vec::new(),
        platform_address: platform.address(),
        platform_timeout: Duration::from_secs(2),
        drain_timeout: Duration::from_secs(10),
        traffic_threads: 2,
        bootstrap_operator_key: Some(config::ApiKey::new(BOOTSTRAP_KEY).hash()),
    }
}

fn scene_config(engine: SocketAddr, service: SocketAddr) -> Config {
    let key = config::ApiKey::new(API_KEY).hash();
    let json = serde_json::json!({
        "version": 1,
        "accounts": { ACCOUNT: {
            "keys": [key],
            "models": { "assessment": { "model": "barrel-7b", "versions": ["v1"] } },
            "actions": ["order-repair", "find-stock"],
        } },
        "models": { "barrel-7b": {
            "versions": ["v1"], "endpoints": ["engine-1"], "context_tokens": 8192,
        } },
        "endpoints": {
            "engine-1": { "address": engine, "failure_domain": "zlin" },
            "portal-1": { "address": service, "failure_domain": "zlin" },
        },
        "services": { "portal": { "endpoints": ["portal-1"] } },
        "actions": {
            "order-repair": {
                "service": "portal", "path": "/orders", "idempotent": false,
                "price": 10, "timeout_ms": 5000,
            },
            "find-stock": {
                "service": "portal", "path": "/stock", "idempotent": true,
                "price": 1, "timeout_ms": 5000,
            },
        },
    });
    serde_json::from_value(json).unwrap()
}

fn write_config(platform: &PlatformServer, cfg: &Config) {
    let write = Write::put(Key::from_parts(&[CONFIG_KEY]), cfg);
    platform.state().table().force(&Commit { writes: vec![write], ..Commit::default() });
}

fn write_deposit(platform: &PlatformServer, deposit: u64) {
    let account = AccountName::new(ACCOUNT).unwrap();
    let row = BudgetRow { deposited: Tokens(deposit), ..BudgetRow::default() };
    let write = Write::put(budget_key(&account), &row);
    platform.state().table().force(&Commit { writes: vec![write], ..Commit::default() });
}
