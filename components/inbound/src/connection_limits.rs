//! Limits on the connections of all clients of a listener together.

/// Descriptors reserved for files; the rest is for sockets. Source: the users' limits on a process.
const FILE_DESCRIPTORS: u32 = 200;

/// Memory of a connection without unfinished requests, in bytes: its buffers and its task.
pub(crate) const CONNECTION_BYTES: usize = 24 * 1_024;

/// Share of the memory of the host for connections and unfinished request heads, in percent.
const MEMORY_PERCENT: u64 = 20;

/// Part of a host that a listener may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostShare {
    /// Percentage of the descriptors that are not for files.
    pub descriptor_percent: u32,
    /// Percentage of the memory reserved for connections, which is itself a share of that of the host.
    pub memory_percent: u64,
}

/// Limits on the connections of all clients of a listener together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum memory of the connections and of unfinished request heads on them, in bytes.
    pub bytes: usize,
}

/// Minimum number of connections, however small the host is.
const CONNECTIONS_MIN: usize = 4;

impl ConnectionLimits {
    /// Returns the limits of a listener that may use `share` of a host with these limits; a resource whose
    /// limit is not stated is not limited.
    pub fn for_host(
        memory_bytes: Option<u64>,
        descriptors: Option<u32>,
        share: HostShare,
    ) -> ConnectionLimits {
        let connections = descriptors.map_or(usize::MAX, |it| {
            let sockets = u64::from(it.saturating_sub(FILE_DESCRIPTORS));
            to_size(sockets * u64::from(share.descriptor_percent) / 100).max(CONNECTIONS_MIN)
        });
        let bytes = memory_bytes.map_or(usize::MAX, |it| {
            let bytes = it / 100 * MEMORY_PERCENT / 100 * share.memory_percent;
            to_size(bytes).max(CONNECTIONS_MIN * CONNECTION_BYTES)
        });
        ConnectionLimits { connections, bytes }
    }
}

fn to_size(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
