//! Cost of the path through a router: each run sends the same streams directly to the engine and
//! through a router.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use client::{Connections, ERROR_HEADER, HttpClient};
use config::ShortagePolicy;
use engine_api::{ChatMessage, SseDecoder};
use hdrhistogram::Histogram;
use http::{HeaderMap, HeaderValue, Method, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use router::HttpLimits;
use scene::{AccountSpec, EngineSpec, RouterSpec, Scene, SceneSpec, account_key};
use serde::Serialize;
use serde_json::json;
use standins::{
    CallLimits,
    engine::{EngineSettings, expected_answer},
};
use types::{AccountName, EndpointName, FailureDomain, ModelName, Priority, RouterName, Tokens};

use super::StudyError;
use crate::{cli::StudyOptions, memory::PeakMemory, output::print_row};

/// Numbers of concurrent streams.
const STREAM_COUNTS: [usize; 3] = [1, 64, 1_000];

/// Minimum number of measured streams in a run.
const STREAMS_MIN: usize = 64;

/// Minimum number of measured streams of each concurrent worker. The first stream of a worker is
/// not measured, because connections are opened and limits are learned during it.
const ROUNDS_MIN: usize = 3;

/// Tokens of each answer.
const ANSWER_TOKENS: u64 = 50;

const ACCOUNT: &str = "bench";
const ENGINE: &str = "engine-1";
const MODEL: &str = "barrel-7b";

/// Result of one run.
#[derive(Debug, Serialize)]
struct PathRow {
    /// Number of concurrent streams.
    streams: usize,
    /// Median time to the first token through the router, in milliseconds.
    router_ttft_p50_ms: f64,
    /// Median time to the first token directly from the engine, in milliseconds.
    direct_ttft_p50_ms: f64,
    /// Ratio of the router's median to the direct one.
    ttft_ratio: f64,
    /// Tokens per second through the router.
    router_tokens_per_s: f64,
    /// Tokens per second directly from the engine.
    direct_tokens_per_s: f64,
    /// Ratio of the router's rate to the direct one.
    throughput_ratio: f64,
    /// Additional peak memory per stream through the router compared with the direct path, in
    /// bytes. Includes the answers that the router keeps and its connections.
    router_bytes_per_stream: f64,
    /// Number of requests that the router refused, by error code.
    refusals: BTreeMap<String, u64>,
    /// Streams through the router that failed or ended without the final `[DONE]` event; a caller
    /// would retry them.
    broken_streams: u64,
    /// Answers through the router that ended with `[DONE]` but differ from the expected answer.
    incomplete_answers: u64,
}

/// Runs the study.
pub(crate) fn run(options: &StudyOptions) -> Result<(), StudyError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| StudyError(error.to_string()))?;
    runtime.block_on(async {
        for streams in STREAM_COUNTS {
            if options.includes(&streams.to_string()) {
                print_row(&measure(streams, options.seed).await?);
            }
        }
        Ok(())
    })
}

async fn measure(streams: usize, seed: u64) -> Result<PathRow, StudyError> {
    let scene = Scene::start(single_engine_scene(seed)).await;
    let scene = scene.map_err(|error| StudyError(error.to_string()))?;
    let engine_address = scene.engine_address(&parse_name(EndpointName::new, ENGINE));
    let router_address = scene.routers.caller_addresses()[0];
    let direct = run_streams(streams, engine_address, "direct").await;
    let router = run_streams(streams, router_address, "router").await;
    Ok(PathRow {
        streams,
        router_ttft_p50_ms: router.ttft_p50_ms(),
        direct_ttft_p50_ms: direct.ttft_p50_ms(),
        ttft_ratio: router.ttft_p50_ms() / direct.ttft_p50_ms(),
        router_tokens_per_s: router.tokens_per_s,
        direct_tokens_per_s: direct.tokens_per_s,
        throughput_ratio: router.tokens_per_s / direct.tokens_per_s,
        router_bytes_per_stream: (router.peak_bytes - direct.peak_bytes) / streams as f64,
        refusals: router.refusals,
        broken_streams: router.broken,
        incomplete_answers: router.incomplete,
    })
}

/// Returns a scene with one account, one router, and one engine with a large batch.
fn single_engine_scene(seed: u64) -> SceneSpec {
    let failure_domain = parse_name(FailureDomain::new, "zlin");
    let model = parse_name(ModelName::new, MODEL);
    SceneSpec {
        seed,
        limits: CallLimits::new(1_000_000, 1_000_000),
        accounts: vec![AccountSpec {
            name: parse_name(AccountName::new, ACCOUNT),
            deposit: Tokens(1_000_000_000),
            shortage: ShortagePolicy::default(),
            models: vec![(model.clone(), model.clone(), Priority::Normal)],
            actions: Vec::new(),
        }],
        engines: vec![EngineSpec {
            name: parse_name(EndpointName::new, ENGINE),
            failure_domain: failure_domain.clone(),
            model,
            version: scene::first_version(),
            settings: EngineSettings {
                max_batch: 2_000,
                step_per_request: Duration::ZERO,
                ..EngineSettings::default()
            },
        }],
        services: Vec::new(),
        actions: Vec::new(),
        routers: vec![RouterSpec { name: parse_name(RouterName::new, "router-1"), failure_domain }],
        http_limits: HttpLimits::default(),
        drain_timeout: Duration::from_secs(1),
        stream_idle_timeout: Duration::from_secs(30),
    }
}

fn parse_name<T, E: std::fmt::Debug>(new: impl Fn(&str) -> Result<T, E>, text: &str) -> T {
    new(text).expect("a valid name")
}

/// Result of all streams to one server, which is a router or an engine.
struct StreamsResult {
    /// Times to the first token, in microseconds.
    ttft_us: Histogram<u64>,
    /// Tokens per second over all streams.
    tokens_per_s: f64,
    /// Peak memory relative to the memory allocated before, in bytes.
    peak_bytes: f64,
    /// Number of refused requests, by error code.
    refusals: BTreeMap<String, u64>,
    /// Streams that failed or ended without `[DONE]`; a caller would retry them.
    broken: u64,
    /// Answers that ended with `[DONE]` but differ from the expected answer.
    incomplete: u64,
}

impl StreamsResult {
    fn ttft_p50_ms(&self) -> f64 {
        self.ttft_us.value_at_quantile(0.5) as f64 / 1_000.0
    }
}

async fn run_streams(concurrent: usize, server: SocketAddr, label: &str) -> StreamsResult {
    let http = HttpClient::new(Connections::Pooled);
    // The peak includes the connections opened in the first round.
    let peak = PeakMemory::start();
    run_round(&http, concurrent, 1, server, &format!("{label}-first")).await;
    let rounds = STREAMS_MIN.div_ceil(concurrent).max(ROUNDS_MIN);
    let result = run_round(&http, concurrent, rounds, server, label).await;
    StreamsResult { peak_bytes: peak.stop().await, ..result }
}

async fn run_round(
    http: &HttpClient,
    concurrent: usize,
    rounds: usize,
    server: SocketAddr,
    label: &str,
) -> StreamsResult {
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
    let (mut broken, mut incomplete, mut refusals) = (0, 0, BTreeMap::new());
    for worker in workers {
        for result in worker.await.unwrap_or_default() {
            match result {
                StreamEnd::Complete(first_token) => {
                    let micros = u64::try_from(first_token.as_micros());
                    ttft_us
                        .record(micros.unwrap_or(u64::MAX))
                        .expect("the histogram resizes itself");
                }
                StreamEnd::Refused(code) => *refusals.entry(code).or_default() += 1,
                StreamEnd::Broken => broken += 1,
                StreamEnd::Incomplete => incomplete += 1,
            }
        }
    }
    let tokens = ttft_us.len() * ANSWER_TOKENS;
    let tokens_per_s = tokens as f64 / started.elapsed().as_secs_f64();
    StreamsResult { ttft_us, tokens_per_s, peak_bytes: 0.0, refusals, broken, incomplete }
}

/// How a stream ended.
enum StreamEnd {
    /// The expected answer arrived. Holds the time to its first token.
    Complete(Duration),
    /// The server refused the request. Holds the error code.
    Refused(String),
    /// The connection could not be opened or broke, or the stream ended without `[DONE]`.
    Broken,
    /// The stream ended with `[DONE]`, but the answer differs from the expected one.
    Incomplete,
}

async fn run_stream(http: &HttpClient, server: SocketAddr, id: &str) -> StreamEnd {
    let text = format!("{id} [tokens={ANSWER_TOKENS}]");
    let started = Instant::now();
    let body = encode_request(&text);
    let path = "/v1/chat/completions";
    let Ok(res) = http.send(server, Method::POST, path, headers(id), body).await else {
        return StreamEnd::Broken;
    };
    if let Some(code) = res.headers().get(ERROR_HEADER) {
        return StreamEnd::Refused(code.to_str().unwrap_or_default().to_owned());
    }
    let Some((first_token, answer)) = read_answer(res, started).await else {
        return StreamEnd::Broken;
    };
    let expected = expected_answer(&[ChatMessage::from_text("user", &text)], ANSWER_TOKENS);
    if answer == expected { StreamEnd::Complete(first_token) } else { StreamEnd::Incomplete }
}

fn encode_request(text: &str) -> Bytes {
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": ANSWER_TOKENS,
        "messages": [{ "role": "user", "content": text }],
    });
    body.to_string().into()
}

/// Reads a streamed answer. Returns the time to its first token and its text, or `None` if the
/// stream failed, had no token or ended without `[DONE]`.
async fn read_answer(mut res: Response<Incoming>, started: Instant) -> Option<(Duration, String)> {
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
    first_token.filter(|_| is_done).map(|first_token| (first_token, answer))
}

fn headers(id: &str) -> HeaderMap {
    let value = |text: &str| HeaderValue::from_str(text).expect("visible ASCII");
    let mut headers = HeaderMap::new();
    headers.insert("authorization", value(&format!("Bearer {}", account_key(ACCOUNT).expose())));
    headers.insert("content-type", value("application/json"));
    headers.insert("idempotency-key", value(id));
    headers.insert(engine_api::REQUEST_ID_HEADER, value(id));
    headers
}
