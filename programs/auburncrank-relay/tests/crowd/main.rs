//! Crowds of clients that do not keep to the limits, against the real program.
//!
//! Each test checks that the process lives, that its memory and descriptors stay within the limits of its host,
//! and that an ordinary request is answered while the crowd's connections are open. The host is far
//! smaller than those of the users, so that a small crowd suffices.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test may panic, and its numbers are small"
)]

#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

mod clients;
mod router;

use std::net::Ipv4Addr;

use serde_json::json;
use tokio::sync::Mutex;

use self::{
    clients::{
        Crowd, Readers, bytes_taken_after, get, head, is_served, request_in_chunks,
        request_with_length, unfinished_head,
    },
    router::{Host, Router},
    support::{
        Behaviour, CALLER_KEY, StandInEndpoint, StandInStore, desired_state, endpoint_entry,
        request, request_with_key,
    },
};

/// Maximum length of a body, as on the users' pages.
const BODY_MAX_BYTES: usize = 4 * 1_024 * 1_024;

/// Maximum length of a request head, as on the users' pages.
const HEAD_MAX_BYTES: usize = 16 * 1_024;

/// Timeouts of request heads and idle connections: longer than a test, so that they do not disperse a crowd.
const TIMEOUT_MS: u64 = 120_000;

/// A key that no client account has.
const UNKNOWN_KEY: &str = "key-unknown";

/// A host with memory for a few bodies.
const SMALL_MEMORY: Host = Host { memory_mb: 80, descriptors: 4_100 };

/// The smallest host of the users.
const SMALLEST_HOST: Host = Host { memory_mb: 120, descriptors: 3_075 };

/// A host with descriptors for about a hundred connections beyond the 200 for files.
const FEW_DESCRIPTORS: Host = Host { memory_mb: 80, descriptors: 320 };

/// Number of clients that send large bodies.
const BODY_CROWD: usize = 60;

/// Number of clients that do not read their answers.
const ANSWER_CROWD: usize = 200;

/// Length of an answer that the router reads as a whole before it passes it on.
const ANSWER_BYTES: usize = 1_000_000;

/// Number of clients that send request heads.
const HEAD_CROWD: usize = 1_500;

/// Number of clients of each of the auxiliary listeners that send long request heads.
const AUXILIARY_HEAD_CROWD: usize = 300;

/// Number of clients that use up the descriptors.
const CONNECTION_CROWD: usize = 500;

/// Held by the test that runs: the crowd of one is load for another.
static TURN: Mutex<()> = Mutex::const_new(());

/// A router with a stand-in store and a stand-in endpoint.
struct Scene {
    router: Router,
    endpoint: StandInEndpoint,
}

impl Scene {
    /// Starts the processes; `number` makes the router's address.
    async fn start(number: u8, host: Host) -> Scene {
        let endpoint = StandInEndpoint::start(Behaviour::Answer).await;
        let store = StandInStore::start().await;
        let mut state = desired_state(1, 1_000_000);
        state["limits"] = json!({"max_header_bytes": HEAD_MAX_BYTES, "max_body_bytes": BODY_MAX_BYTES,
            "header_timeout_ms": TIMEOUT_MS, "idle_timeout_ms": TIMEOUT_MS});
        store.write("op", "config", &state);
        store.write("servers", "i-0", &endpoint_entry(endpoint.address, "ready"));
        let router =
            Router::start(Ipv4Addr::new(127, 59, 0, number).into(), store.address, host).await;
        Scene { router, endpoint }
    }

    /// Checks the limits and that an ordinary request is served.
    async fn check(&mut self) {
        let is_served = is_served(self.router.caller_address, &ordinary_request()).await;
        self.router.check_limits();
        assert!(is_served, "no ordinary request was answered");
    }

    /// Checks that an ordinary request for router addresses is answered.
    async fn check_directory(&self) {
        let request = "GET /v1/resolve HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let is_served = is_served(self.router.directory_address, request.as_bytes()).await;
        assert!(is_served, "no request for router addresses was answered");
    }
}

fn ordinary_request() -> Vec<u8> {
    request_with_key("GET", "/get/x").into_bytes()
}

/// Runs a crowd against the callers' address of a host, then checks it.
async fn check_crowd(number: u8, host: Host, count: usize, payload: bytes::Bytes) {
    let _turn = TURN.lock().await;
    let mut scene = Scene::start(number, host).await;
    let crowd = Crowd::send(scene.router.caller_address, count, payload).await;
    scene.check().await;
    drop(crowd);
    scene.check().await;
}

/// Guards against a router that holds any number of bodies whose ends do not come.
#[tokio::test]
async fn bodies_with_a_length_that_stop_short_of_their_end() {
    let payload = request_with_length(CALLER_KEY, BODY_MAX_BYTES, BODY_MAX_BYTES - 1);
    check_crowd(1, SMALL_MEMORY, BODY_CROWD, payload).await;
}

/// Guards against a router that holds any number of chunked bodies whose ends do not come.
#[tokio::test]
async fn chunked_bodies_that_stop_short_of_their_end() {
    let payload = request_in_chunks(CALLER_KEY, BODY_MAX_BYTES - 1, 64 * 1_024);
    check_crowd(2, SMALL_MEMORY, BODY_CROWD, payload).await;
}

/// Guards against chunked bodies that take more memory the smaller their chunks are.
#[tokio::test]
async fn bodies_in_small_chunks_that_stop_short_of_their_end() {
    let payload = request_in_chunks(CALLER_KEY, BODY_MAX_BYTES - 1, 100);
    check_crowd(3, SMALL_MEMORY, BODY_CROWD, payload).await;
}

/// Guards against a router that holds bodies of callers whose key is unknown.
#[tokio::test]
async fn bodies_with_an_unknown_key_that_stop_short_of_their_end() {
    let payload = request_in_chunks(UNKNOWN_KEY, BODY_MAX_BYTES - 1, 64 * 1_024);
    check_crowd(4, SMALL_MEMORY, BODY_CROWD, payload).await;
}

/// Guards against callers with unknown keys whose bodies take the memory of others.
#[tokio::test]
async fn bodies_with_an_unknown_key_displace_no_others() {
    let _turn = TURN.lock().await;
    let mut scene = Scene::start(19, SMALL_MEMORY).await;
    let payload = request_in_chunks(UNKNOWN_KEY, BODY_MAX_BYTES - 1, 64 * 1_024);
    let _crowd = Crowd::send(scene.router.caller_address, BODY_CROWD, payload).await;
    scene.check().await;
    let metrics = get(scene.router.metrics_address, "/metrics").await;
    assert!(!metrics.contains("auburncrank_bodies_lost_total"), "bodies were given up");
}

/// Guards against a router that takes more than the limit of a chunked body.
#[tokio::test]
async fn chunked_bodies_over_the_limit() {
    let payload = request_in_chunks(CALLER_KEY, 3 * BODY_MAX_BYTES, 64 * 1_024);
    check_crowd(5, SMALL_MEMORY, BODY_CROWD, payload).await;
}

/// Guards against a router that takes a body whose announced length exceeds the limit.
#[tokio::test]
async fn bodies_announced_over_the_limit() {
    let payload = request_with_length(CALLER_KEY, 100 * BODY_MAX_BYTES, 3 * BODY_MAX_BYTES);
    check_crowd(6, SMALL_MEMORY, BODY_CROWD, payload).await;
}

/// Guards against a router that holds any number of whole bodies at once.
#[tokio::test]
async fn whole_bodies_that_wait_for_their_answers() {
    let _turn = TURN.lock().await;
    let mut scene = Scene::start(7, SMALL_MEMORY).await;
    scene.endpoint.set_behaviour(Behaviour::AnswerAfter(2_000));
    let payload = request_with_length(CALLER_KEY, BODY_MAX_BYTES, BODY_MAX_BYTES);
    let _crowd = Crowd::send(scene.router.caller_address, BODY_CROWD, payload).await;
    scene.endpoint.set_behaviour(Behaviour::Answer);
    scene.check().await;
}

/// Guards against a router that keeps a whole read buffer for the first bytes of a body.
#[tokio::test]
async fn many_bodies_that_stop_after_a_byte() {
    let payload = request_in_chunks(CALLER_KEY, 1, 1);
    check_crowd(8, SMALL_MEMORY, 2 * HEAD_CROWD, payload).await;
}

/// Guards against a router that holds any number of unfinished request heads.
#[tokio::test]
async fn unfinished_request_heads() {
    let payload = unfinished_head(56 * 1_024);
    check_crowd(9, SMALL_MEMORY, HEAD_CROWD, payload).await;
}

/// Guards against a router that holds any number of unfinished request heads within the limit.
#[tokio::test]
async fn unfinished_request_heads_within_the_limit() {
    let payload = unfinished_head(HEAD_MAX_BYTES - 1_024);
    check_crowd(10, SMALL_MEMORY, 2 * HEAD_CROWD, payload).await;
}

/// Guards against auxiliary listeners that hold request heads of any length.
#[tokio::test]
async fn unfinished_request_heads_at_the_auxiliary_listeners() {
    let _turn = TURN.lock().await;
    let mut scene = Scene::start(11, SMALL_MEMORY).await;
    let payload = unfinished_head(380 * 1_024);
    let router = &scene.router;
    let _crowds = (
        Crowd::send(router.directory_address, AUXILIARY_HEAD_CROWD, payload.clone()).await,
        Crowd::send(router.ready_address, AUXILIARY_HEAD_CROWD, payload.clone()).await,
        Crowd::send(router.metrics_address, AUXILIARY_HEAD_CROWD, payload).await,
    );
    scene.check().await;
    scene.check_directory().await;
}

/// Guards against a router without descriptors for ordinary callers, its store and its endpoints.
#[tokio::test]
async fn connections_that_send_a_byte() {
    check_crowd(12, FEW_DESCRIPTORS, CONNECTION_CROWD, "G".into()).await;
}

/// Guards against a router without descriptors because bodies stay open.
#[tokio::test]
async fn connections_that_leave_their_bodies_open() {
    let payload = request_in_chunks(CALLER_KEY, 100, 100);
    check_crowd(13, FEW_DESCRIPTORS, CONNECTION_CROWD, payload).await;
}

/// Guards against a router without descriptors because callers keep idle connections.
#[tokio::test]
async fn connections_that_stay_idle_after_an_answer() {
    let payload = head("/get/x", CALLER_KEY, "content-length: 0");
    check_crowd(14, FEW_DESCRIPTORS, CONNECTION_CROWD, payload.into()).await;
}

/// Guards against auxiliary listeners that take all descriptors.
#[tokio::test]
async fn connections_to_the_auxiliary_listeners() {
    let _turn = TURN.lock().await;
    let mut scene = Scene::start(15, FEW_DESCRIPTORS).await;
    let router = &scene.router;
    let _crowds = (
        Crowd::send(router.directory_address, CONNECTION_CROWD, "G".into()).await,
        Crowd::send(router.ready_address, CONNECTION_CROWD, "G".into()).await,
        Crowd::send(router.metrics_address, CONNECTION_CROWD, "G".into()).await,
    );
    scene.check().await;
    scene.check_directory().await;
}

/// Guards against connections of other routers, or of anyone else, that take all descriptors.
#[tokio::test]
async fn connections_to_the_tunnel_listener() {
    let _turn = TURN.lock().await;
    let mut scene = Scene::start(16, FEW_DESCRIPTORS).await;
    let address = scene.router.tunnel_address;
    let _crowd = Crowd::send(address, CONNECTION_CROWD, "\0\0\u{1}\0".into()).await;
    scene.check().await;
}

/// Guards against a crowd at the tunnel listener that is large enough to take all descriptors although each
/// connection is closed after a second.
#[tokio::test]
async fn many_connections_to_the_tunnel_listener() {
    let _turn = TURN.lock().await;
    let mut scene = Scene::start(20, FEW_DESCRIPTORS).await;
    let address = scene.router.tunnel_address;
    // The length of a frame that does not follow.
    let _crowd = Crowd::send(address, HEAD_CROWD, "\0\u{10}".into()).await;
    scene.check().await;
    let metrics = get(scene.router.metrics_address, "/metrics").await;
    assert!(!metrics.contains("auburncrank_accept_failures_total"), "descriptors ran out");
}

/// Guards against bytes that the router does not read and that take the host's memory in its sockets: they count
/// for the process, but not as resident memory.
#[tokio::test]
async fn bytes_that_are_not_read_while_a_request_runs() {
    let _turn = TURN.lock().await;
    let mut scene = Scene::start(22, SMALL_MEMORY).await;
    scene.endpoint.set_behaviour(Behaviour::AnswerAfter(2_000));
    let first = request_with_length(CALLER_KEY, 60_000, 60_000);
    let taken = bytes_taken_after(scene.router.caller_address, BODY_CROWD, first).await;
    println!("{taken} bytes taken");
    assert!(taken <= SMALL_MEMORY.memory_mb as usize * 1_000_000, "{taken} bytes taken");
    scene.endpoint.set_behaviour(Behaviour::Answer);
    scene.check().await;
}

/// Guards against answers that the router holds for clients which do not read them.
#[tokio::test]
async fn answers_that_are_not_read() {
    let _turn = TURN.lock().await;
    let mut scene = Scene::start(23, SMALL_MEMORY).await;
    scene.endpoint.set_behaviour(Behaviour::AnswerLarge(ANSWER_BYTES));
    let request = head("/get/x", CALLER_KEY, "content-length: 0");
    let _readers =
        Readers::send(scene.router.caller_address, ANSWER_CROWD, request.as_bytes()).await;
    // The answers arrive at the router.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    scene.endpoint.set_behaviour(Behaviour::Answer);
    scene.check().await;
}

/// Runs all kinds of crowds at once against a host, then checks it.
async fn check_all_kinds(number: u8, host: Host) {
    let _turn = TURN.lock().await;
    let mut scene = Scene::start(number, host).await;
    let router = &scene.router;
    let address = router.caller_address;
    let with_length = request_with_length(CALLER_KEY, BODY_MAX_BYTES, BODY_MAX_BYTES - 1);
    let chunked = request_in_chunks(CALLER_KEY, BODY_MAX_BYTES - 1, 64 * 1_024);
    let head = unfinished_head(HEAD_MAX_BYTES - 1_024);
    let _crowds = tokio::join!(
        Crowd::send(address, BODY_CROWD, with_length),
        Crowd::send(address, BODY_CROWD, chunked),
        Crowd::send(address, HEAD_CROWD, head.clone()),
        Crowd::send(address, HEAD_CROWD, request_in_chunks(CALLER_KEY, 60_000, 1_000)),
        Crowd::send(router.directory_address, AUXILIARY_HEAD_CROWD, head.clone()),
        Crowd::send(router.ready_address, AUXILIARY_HEAD_CROWD, head),
        Crowd::send(router.tunnel_address, CONNECTION_CROWD, "\0\u{10}".into()),
    );
    scene.check().await;
    scene.check_directory().await;
}

/// Guards against shares of the memory that together exceed it.
#[tokio::test]
async fn all_kinds_of_clients_at_once() {
    check_all_kinds(24, SMALL_MEMORY).await;
}

/// Guards against shares that do not suffice on the smallest hosts of the users.
#[tokio::test]
async fn all_kinds_of_clients_at_once_on_the_smallest_host() {
    check_all_kinds(25, SMALLEST_HOST).await;
}

/// Guards against bounds that refuse what the users' pages allow.
#[tokio::test]
async fn single_requests_within_the_limits_are_served_in_calm() {
    let _turn = TURN.lock().await;
    let mut scene = Scene::start(17, SMALL_MEMORY).await;
    let body = "x".repeat(BODY_MAX_BYTES);
    let key = format!("authorization: Bearer {CALLER_KEY}\r\n");
    let whole = request("POST", "/get/x", &key, &body);
    let long_head = format!("{key}x-line: {}\r\n", "x".repeat(HEAD_MAX_BYTES - 1_024));
    let mut chunked = request_in_chunks(CALLER_KEY, BODY_MAX_BYTES, 100).to_vec();
    chunked.extend_from_slice(b"0\r\n\r\n");
    let close = b"connection: close\r\n";
    let first_line_end = chunked.windows(2).position(|it| it == b"\r\n").unwrap() + 2;
    chunked.splice(first_line_end..first_line_end, close.iter().copied());
    for payload in
        [whole.into_bytes(), request("GET", "/get/x", &long_head, "").into_bytes(), chunked]
    {
        assert!(is_served(scene.router.caller_address, &payload).await);
    }
    scene.router.check_limits();
    let lengths: Vec<usize> = scene.endpoint.received().iter().map(|it| it.body.len()).collect();
    assert_eq!(lengths, [BODY_MAX_BYTES, 0, BODY_MAX_BYTES]);
}

/// Guards against bytes of pipelined requests that the router holds while it serves the first one.
#[tokio::test]
async fn requests_sent_while_another_one_runs() {
    let _turn = TURN.lock().await;
    let mut scene = Scene::start(18, SMALL_MEMORY).await;
    scene.endpoint.set_behaviour(Behaviour::AnswerAfter(2_000));
    let first = head("/get/x", CALLER_KEY, "content-length: 0").into();
    let rest = request_with_length(CALLER_KEY, BODY_MAX_BYTES, BODY_MAX_BYTES - 1);
    let parts = vec![first, rest];
    let _crowd = Crowd::send_parts(scene.router.caller_address, BODY_CROWD, parts).await;
    scene.endpoint.set_behaviour(Behaviour::Answer);
    scene.check().await;
}
