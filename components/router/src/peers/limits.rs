//! Limits of the connections between routers.

use std::time::Duration;

/// Most messages that wait for one peer.
pub(super) const QUEUE_MAX_MESSAGES: usize = 512;

/// Most messages that wait for the control thread, of all peers together.
pub(super) const INBOX_MAX_MESSAGES: usize = 4_096;

/// Most messages that subsystems hand over and that are not sent yet.
pub(super) const OUTBOX_MAX_MESSAGES: usize = 16_384;

/// Most connections that other routers may have to this one.
pub(super) const INBOUND_MAX_CONNECTIONS: usize = 4_096;

/// Longest time to connect to a peer.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest time to write one message.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without messages after which an outbound connection is closed.
pub(super) const OUTBOUND_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time without messages after which an inbound connection is closed. Longer than the
/// outbound one, so that the sender closes first and loses nothing.
pub(super) const INBOUND_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Shortest mean delay before a peer is connected to anew.
pub(super) const RECONNECT_MIN: Duration = Duration::from_millis(50);

/// Longest mean delay before a peer is connected to anew.
pub(super) const RECONNECT_MAX: Duration = Duration::from_secs(2);

/// Initial size of the read buffer of a connection, in bytes.
pub(super) const READ_BUFFER_BYTES: usize = 1_024;
