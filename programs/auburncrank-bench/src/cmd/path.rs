//! Cost of the path through a router: the same streams through a router and directly
//! to the engine, in one run.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use budget::{BudgetRow, budget_key};
use bytes::Bytes;
use client::{Connections, HttpClient};
use config::{ApiKey, CONFIG_KEY, Config};
use engine_api::{ChatMessage, SseDecoder};
use hdrhistogram::Histogram;
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::BodyExt;
use platform::{Commit, Key, Write};
use router::{RouterProcess, RouterSettings};
use serde::Serialize;
use serde_json::json;
use standins::{
    CallLimits, PlatformServer, PlatformState,
    engine::{EngineServer, EngineSettings, expected_answer},
};
use types::{AccountName, FailureDomain, ModelName, ModelVersion, RouterName, Tokens};

use super::StudyError;
use crate::{cli::StudyOptions, output::print_row};

/// Numbers of concurrent streams.
const STREAMS: [usize; 3] = [1, 64, 1_000];

/// Streams of one run, at least one for each concurrent place.
const STREAMS_MIN: usize = 64;

/// Tokens of each answer.
const ANSWER_TOKENS: u64 = 50;

/// Longest time for the router to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

const API_KEY: &str = "key-of-the-bench-account-0123456789";

/// Result of one run.
#[derive(Debug, Serialize)]
struct PathRow {
    /// Number of concurrent streams.
    streams: usize,
    /// Median time to the first token through the router, in milliseconds.
    router_ttft_p50_ms: f64,
    /// Median time to the first token from the engine, in milliseconds.
    direct_ttft_p50_ms: f64,
    /// Their ratio.
    ttft_ratio: f64,
    /// Tokens a second through the router.
    router_tokens_per_s: f64,
    /// Tokens a second from the engine.
    direct_tokens_per_s: f64,
    /// Their ratio.
    throughput_ratio: f64,
    /// Answers through the router that were not whole.
    incomplete_answers: usize,
}

/// Runs the study.
pub(crate) fn run(options: &StudyOptions) -> Result<(), StudyError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| StudyError(error.to_string()))?;
    runtime.block_on(async {
        for streams in STREAMS {
            if options.includes(&streams.to_string()) {
                print_row(&measure(streams, options.seed).await?);
            }
        }
        Ok(())
    })
}

async fn measure(streams: usize, seed: u64) -> Result<PathRow, StudyError> {
    let scene = Scene::start(seed).await?;
    let direct = run_streams(streams, scene.engine.address(), "direct").await;
    let router = run_streams(streams, scene.router.caller_address(), "router").await;
    Ok(PathRow {
        streams,
        router_ttft_p50_ms: router.ttft_p50_ms(),
        direct_ttft_p50_ms: direct.ttft_p50_ms(),
        ttft_ratio: router.ttft_p50_ms() / direct.ttft_p50_ms(),
        router_tokens_per_s: router.tokens_per_s,
        direct_tokens_per_s: direct.tokens_per_s,
        throughput_ratio: router.tokens_per_s / direct.tokens_per_s,
        incomplete_answers: router.incomplete,
    })
}

/// Stand-ins and one router.
struct Scene {
    /// Kept so that it goes on serving.
    _platform: PlatformServer,
    engine: EngineServer,
    router: RouterProcess,
}

impl Scene {
    async fn start(seed: u64) -> Result<Scene, StudyError> {
        let fail = |error: std::io::Error| StudyError(error.to_string());
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let state = PlatformState::new(CallLimits::new(1_000_000, 1_000_000), seed);
        let platform = PlatformServer::start(any_port, state).await.map_err(fail)?;
        let settings = EngineSettings {
            max_batch: 2_000,
            step_per_request: Duration::ZERO,
            ..EngineSettings::default()
        };
        let model = ModelName::new("barrel-7b").expect("a name");
        let version = ModelVersion::new("v1").expect("a name");
        let models = [(model, version)];
        let engine = EngineServer::start(any_port, settings, &models);
        let engine = engine.await.map_err(fail)?;
        write_rows(&platform, engine.address());
        let settings = RouterSettings {
            name: RouterName::new("router-1").expect("a name"),
            failure_domain: FailureDomain::new("zlin").expect("a name"),
            caller_address: any_port,
            peer_address: any_port,
            seeds: Vec::new(),
            platform_address: platform.address(),
            platform_timeout: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(1),
            traffic_threads: 2,
            bootstrap_operator_key: None,
        };
        let router =
            RouterProcess::start(settings).map_err(|error| StudyError(error.to_string()))?;
        wait_until_ready(router.caller_address()).await?;
        Ok(Scene { _platform: platform, engine, router })
    }
}

fn write_rows(platform: &PlatformServer, engine: SocketAddr) {
    let cfg: Config = serde_json::from_value(json!({
        "version": 1,
        "accounts": { "bench": {
            "keys": [ApiKey::new(API_KEY).hash()],
            "models": { "barrel-7b": { "model": "barrel-7b", "versions": ["v1"] } },
        } },
        "models": { "barrel-7b": {
            "versions": ["v1"], "endpoints": ["engine-1"], "context_tokens": 8192,
        } },
        "endpoints": { "engine-1": { "address": engine, "failure_domain": "zlin" } },
    }))
    .expect("the configuration is sound");
    let account = AccountName::new("bench").expect("a name");
    let budget = BudgetRow { deposited: Tokens(1_000_000_000), ..BudgetRow::default() };
    let writes = vec![
        Write::put(Key::from_parts(&[CONFIG_KEY]), &cfg),
        Write::put(budget_key(&account), &budget),
    ];
    platform.state().table().force(&Commit { writes, ..Commit::default() });
}

async fn wait_until_ready(router: SocketAddr) -> Result<(), StudyError> {
    let http = HttpClient::new(Connections::OnePerCall);
    let started = Instant::now();
    while started.elapsed() < READY_TIMEOUT {
        let timeout = Duration::from_secs(1);
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        let res = http.call(router, Method::GET, "/ready", headers, body, timeout).await;
        if res.is_ok_and(|res| res.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(StudyError("the router is not ready".to_owned()))
}

/// Result of all streams to one server.
struct StreamsResult {
    /// Times to the first token, in microseconds.
    ttft_us: Histogram<u64>,
    /// Tokens a second over all streams.
    tokens_per_s: f64,
    /// Answers that were not whole.
    incomplete: usize,
}

impl StreamsResult {
    fn ttft_p50_ms(&self) -> f64 {
        self.ttft_us.value_at_quantile(0.5) as f64 / 1_000.0
    }
}

async fn run_streams(concurrent: usize, server: SocketAddr, label: &str) -> StreamsResult {
    let http = HttpClient::new(Connections::Kept);
    let rounds = STREAMS_MIN.div_ceil(concurrent);
    let started = Instant::now();
    let workers: Vec<_> = (0..concurrent)
        .map(|worker| {
            let (http, label) = (http.clone(), label.to_owned());
            tokio::spawn(async move {
                let mut results = Vec::new();
                for round in 0..rounds {
                    let id = format!("{label}-{worker}-{round}");
                    results.push(run_stream(&http, server, &id).await);
                }
                results
            })
        })
        .collect();
    let mut ttft_us = Histogram::new(3).expect("3 is a valid precision");
    let mut incomplete = 0;
    for worker in workers {
        for result in worker.await.unwrap_or_default() {
            match result {
                Some(first_token) => {
                    let micros = u64::try_from(first_token.as_micros());
                    ttft_us.record(micros.unwrap_or(u64::MAX)).expect("the histogram grows");
                }
                None => incomplete += 1,
            }
        }
    }
    let tokens = ttft_us.len() * ANSWER_TOKENS;
    let tokens_per_s = tokens as f64 / started.elapsed().as_secs_f64();
    StreamsResult { ttft_us, tokens_per_s, incomplete }
}

/// Runs one stream; returns the time to its first token, or `None` where the answer
/// was not whole.
async fn run_stream(http: &HttpClient, server: SocketAddr, id: &str) -> Option<Duration> {
    let text = format!("{id} [tokens={ANSWER_TOKENS}]");
    let body = json!({
        "model": "barrel-7b", "stream": true, "max_tokens": ANSWER_TOKENS,
        "messages": [{ "role": "user", "content": text }],
    });
    let started = Instant::now();
    let path = "/v1/chat/completions";
    let body = body.to_string().into();
    let mut res = http.send(server, Method::POST, path, headers(id), body).await.ok()?;
    let mut decoder = SseDecoder::new();
    let (mut first_token, mut answer, mut is_done) = (None, String::new(), false);
    while let Some(frame) = res.body_mut().frame().await {
        decoder.push(frame.ok()?.data_ref()?);
        while let Some(data) = decoder.next_event() {
            if data == engine_api::DONE_MARK {
                is_done = true;
                continue;
            }
            let chunk: engine_api::ChatChunk = serde_json::from_str(&data).ok()?;
            if !chunk.text().is_empty() {
                first_token.get_or_insert_with(|| started.elapsed());
                answer.push_str(chunk.text());
            }
        }
    }
    let expected = expected_answer(&[ChatMessage::from_text("user", &text)], ANSWER_TOKENS);
    first_token.filter(|_| is_done && answer == expected)
}

fn headers(id: &str) -> HeaderMap {
    let value = |text: &str| HeaderValue::from_str(text).expect("visible ASCII");
    let mut headers = HeaderMap::new();
    headers.insert("authorization", value(&format!("Bearer {API_KEY}")));
    headers.insert("content-type", value("application/json"));
    headers.insert("idempotency-key", value(id));
    headers.insert(engine_api::REQUEST_ID_HEADER, value(id));
    headers
}
