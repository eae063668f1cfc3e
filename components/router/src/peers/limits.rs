//! Limits of the connections between routers.

use std::time::Duration;

use inbound::HostShare;

/// Maximum number of messages waiting to be sent to one peer.
pub(super) const QUEUE_MAX_MESSAGES: usize = 512;

/// Maximum number of received messages waiting for the control thread, from all peers.
pub(super) const INBOX_MAX_MESSAGES: usize = 4_096;

/// Maximum number of messages from subsystems waiting for the control thread.
pub(super) const OUTBOX_MAX_MESSAGES: usize = 16_384;

/// What inbound connections from other routers may use of the limits of the process.
pub(crate) const INBOUND_SHARE: HostShare =
    HostShare { descriptor_percent: 15, memory_percent: 40 };

/// Maximum number of inbound connections from other routers.
pub(crate) const INBOUND_MAX_CONNECTIONS: usize = 4_096;

/// Timeout for connecting to a peer.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout for writing one message.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time after which an outbound connection is closed.
pub(super) const OUTBOUND_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle time after which an inbound connection is closed. Longer than the outbound timeout, so
/// that the sender closes first and loses no message.
pub(super) const INBOUND_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Initial mean delay before reconnecting to a peer.
pub(super) const RECONNECT_DELAY_MIN: Duration = Duration::from_millis(50);

/// Maximum mean delay before reconnecting to a peer.
pub(super) const RECONNECT_DELAY_MAX: Duration = Duration::from_secs(2);

/// Initial size of the read buffer of a connection, in bytes.
pub(super) const READ_BUFFER_BYTES: usize = 1_024;
