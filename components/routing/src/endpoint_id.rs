//! Identifiers of endpoints within one scheduler.

/// Identifier of an endpoint within one scheduler. It stays the same while the endpoint
/// keeps its name and address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EndpointId(pub(crate) u32);

impl EndpointId {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}
