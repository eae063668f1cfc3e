//! Crowds of clients that do not keep to the limits, against the real daemon; see the tests of the same name of
//! `auburncrank-relay`.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

#[path = "../../../auburncrank-relay/tests/crowd/clients.rs"]
#[allow(dead_code, reason = "each test program uses only some of the clients")]
mod clients;

mod daemon;

use bytes::Bytes;
use scene::{Scene, account_key, two_account_spec};
use tokio::sync::Mutex;

use self::{
    clients::{Crowd, is_served, unfinished_head},
    daemon::{BODY_MAX_BYTES, Daemon},
};

/// Descriptors that are enough for each crowd that does not use them up.
const MANY_DESCRIPTORS: u32 = 4_100;

/// Descriptors for about a hundred connections beyond the 200 for files.
const FEW_DESCRIPTORS: u32 = 400;

/// Number of clients that send large bodies.
const BODY_CROWD: usize = 100;

/// Number of clients that send request heads.
const HEAD_CROWD: usize = 3_000;

/// Number of clients that use up the descriptors.
const CONNECTION_CROWD: usize = 600;

/// Held by the test that runs: the crowd of one is load for another.
static TURN: Mutex<()> = Mutex::const_new(());

/// Starts stand-ins and a daemon. Dropping the scene ends the stand-ins.
async fn start(number: u8, descriptors: u32) -> (Scene, Daemon) {
    let scene = Scene::start_without_routers(two_account_spec(u64::from(number))).await.unwrap();
    let daemon = Daemon::start(number, scene.platform_address(), descriptors).await;
    (scene, daemon)
}

/// Returns the head of a request of a client account, which ends with `framing`.
fn head(path: &str, framing: &str) -> String {
    let key = account_key("cooperative");
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\n{framing}\r\n\r\n",
        key.expose()
    )
}

/// Returns a request with a body that stops short of its end.
fn unfinished_body(path: &str, framing: &str, start: &str) -> Bytes {
    let mut bytes = head(path, framing).into_bytes();
    bytes.extend_from_slice(start.as_bytes());
    bytes.resize(bytes.len() + BODY_MAX_BYTES - 1, b' ');
    bytes.into()
}

/// Checks the limits and that an ordinary request is served.
async fn check(daemon: &mut Daemon) {
    let request = head("/v1/actions/find-barrel", "content-length: 2\r\nconnection: close") + "{}";
    let is_served = is_served(daemon.caller_address, request.as_bytes()).await;
    daemon.check_limits();
    assert!(is_served, "no ordinary request was answered");
}

/// Guards against a daemon that holds any number of bodies whose ends do not come.
#[tokio::test]
async fn daemon_stays_within_its_memory_while_bodies_stop_short_of_their_end() {
    let _turn = TURN.lock().await;
    let (_scene, mut daemon) = start(1, MANY_DESCRIPTORS).await;
    let framing = format!("content-length: {BODY_MAX_BYTES}");
    let payload = unfinished_body("/v1/chat/completions", &framing, "");
    let _crowd = Crowd::send(daemon.caller_address, BODY_CROWD, payload).await;
    check(&mut daemon).await;
}

/// Guards against a daemon that holds any number of chunked bodies whose ends do not come.
#[tokio::test]
async fn daemon_stays_within_its_memory_while_chunked_bodies_stop_short_of_their_end() {
    let _turn = TURN.lock().await;
    let (_scene, mut daemon) = start(2, MANY_DESCRIPTORS).await;
    let (framing, size) = ("transfer-encoding: chunked", format!("{:x}\r\n", BODY_MAX_BYTES - 1));
    let payload = unfinished_body("/v1/actions/find-barrel", framing, &size);
    let _crowd = Crowd::send(daemon.caller_address, BODY_CROWD, payload).await;
    check(&mut daemon).await;
}

/// Guards against a daemon that holds any number of unfinished request heads.
#[tokio::test]
async fn daemon_stays_within_its_memory_while_request_heads_stay_unfinished() {
    let _turn = TURN.lock().await;
    let (_scene, mut daemon) = start(3, MANY_DESCRIPTORS).await;
    let payload = unfinished_head(60 * 1_024);
    let _crowd = Crowd::send(daemon.caller_address, HEAD_CROWD, payload).await;
    check(&mut daemon).await;
}

/// Guards against a daemon without descriptors for ordinary callers, the platform and its endpoints.
#[tokio::test]
async fn daemon_serves_callers_while_connections_send_a_byte() {
    let _turn = TURN.lock().await;
    let (_scene, mut daemon) = start(4, FEW_DESCRIPTORS).await;
    let _crowd = Crowd::send(daemon.caller_address, CONNECTION_CROWD, "G".into()).await;
    check(&mut daemon).await;
}

/// Guards against a port for other routers that holds any number of unfinished messages.
#[tokio::test]
async fn daemon_stays_within_its_memory_while_messages_stay_unfinished() {
    let _turn = TURN.lock().await;
    let (_scene, mut daemon) = start(5, MANY_DESCRIPTORS).await;
    let mut frame = u32::try_from(BODY_MAX_BYTES - 100).unwrap().to_be_bytes().to_vec();
    frame.resize(BODY_MAX_BYTES - 200, 0);
    let _crowd = Crowd::send(daemon.peer_address, BODY_CROWD, frame.into()).await;
    check(&mut daemon).await;
}

/// Guards against a port for other routers whose connections take all descriptors.
#[tokio::test]
async fn daemon_serves_callers_while_connections_of_routers_stay_open() {
    let _turn = TURN.lock().await;
    let (_scene, mut daemon) = start(6, FEW_DESCRIPTORS).await;
    let _crowd = Crowd::send(daemon.peer_address, CONNECTION_CROWD, "\0".into()).await;
    check(&mut daemon).await;
}
