//! Socket options by the kind of peer: how long data may stay unacknowledged, and whether idle
//! connections are probed.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time after which a connection to an endpoint that acknowledges neither data nor keep-alive probes
/// is closed (`TCP_USER_TIMEOUT`). On Linux it also replaces the number of unanswered probes: the
/// first probe that is due after it closes the connection. More than two [`KEEP_ALIVE_INTERVAL`]s, so
/// that one lost probe closes none.
const ENDPOINT_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The same for a connection that carries a request which may not fit into the buffers of the endpoint.
/// While the endpoint is silent its window is full, which counts as unacknowledged although its host
/// answers, so that nothing but the deadline of the request shows whether the path is broken.
const LARGE_REQUEST_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after which a connection to an endpoint on which nothing arrives is probed, and time between
/// probes. Linux takes whole seconds.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a caller's connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`):
/// longer than callers wait for an answer or leave one unread.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);

/// Sets the options of a connection to an endpoint. A path that does not acknowledge what was sent
/// counts as broken after [`ENDPOINT_UNACKNOWLEDGED_TIMEOUT`], and one on which nothing arrives after
/// two unanswered keep-alive probes, so that the request can go elsewhere. An endpoint whose process
/// is silent still acknowledges both.
pub(crate) fn set_endpoint_socket_options(stream: &TcpStream, is_for_large_request: bool) {
    let timeout = if is_for_large_request {
        LARGE_REQUEST_UNACKNOWLEDGED_TIMEOUT
    } else {
        ENDPOINT_UNACKNOWLEDGED_TIMEOUT
    };
    set_socket_options(stream, timeout);
    enable_keep_alive(stream);
    discard_unsent_bytes_on_close(stream);
}

/// Sets the options of a connection on which another router opens a tunnel through this one. That
/// router reads answers no faster than its callers, so the connection is given up no earlier than
/// theirs; keep-alive probes find a router that is gone while nothing is sent.
pub(crate) fn set_tunnel_socket_options(stream: &TcpStream) {
    set_socket_options(stream, CALLER_UNACKNOWLEDGED_TIMEOUT);
    enable_keep_alive(stream);
}

/// Makes a close reset the connection (`SO_LINGER` of zero). Otherwise the kernel goes on sending what
/// is still in the socket's buffer, so that a request that was given up reaches its endpoint after its
/// deadline once a full or broken link is usable again. A connection is closed only when idle, or when
/// the request on it is given up.
fn discard_unsent_bytes_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("failed to set the linger time: {error}");
    }
}

fn enable_keep_alive(stream: &TcpStream) {
    let keep_alive =
        TcpKeepalive::new().with_time(KEEP_ALIVE_INTERVAL).with_interval(KEEP_ALIVE_INTERVAL);
    if let Err(error) = SockRef::from(stream).set_tcp_keepalive(&keep_alive) {
        log::debug!("failed to enable keep-alive probes: {error}");
    }
}

/// Sets the options of a caller's connection. A caller that acknowledges late, or does not read while
/// its window is full, still gets its answer; [`CALLER_UNACKNOWLEDGED_TIMEOUT`] bounds how long the
/// answers to callers that have vanished keep their endpoints and tokens.
pub(super) fn set_caller_socket_options(stream: &TcpStream) {
    set_socket_options(stream, CALLER_UNACKNOWLEDGED_TIMEOUT);
}

/// Disables Nagle's algorithm and sets `TCP_USER_TIMEOUT`.
fn set_socket_options(stream: &TcpStream, unacknowledged_timeout: Duration) {
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(unacknowledged_timeout)));
    if let Err(error) = set {
        log::debug!("failed to set socket options: {error}");
    }
}
