//! Numbers of endpoints inside of one scheduler.

/// Number of an endpoint inside of one scheduler; kept while the endpoint is configured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EndpointId(pub(crate) u32);

impl EndpointId {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}
