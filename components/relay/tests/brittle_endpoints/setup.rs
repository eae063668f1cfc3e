//! What a simulation consists of, and what it counts.

use std::time::Duration;

/// What the simulated fleet consists of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setup {
    pub(crate) routers: usize,
    pub(crate) endpoints: usize,
    /// Requests that an endpoint runs at a time, and how long each takes on average.
    pub(crate) capacity: u32,
    pub(crate) work: Duration,
    /// Time for which a request may wait for room in its router.
    pub(crate) wait: Duration,
    /// Number of refusals within a second that an endpoint survives; `None` if it survives all.
    pub(crate) refusals_max: Option<u32>,
    /// Whether the endpoints state it.
    pub(crate) is_stated: bool,
}

impl Setup {
    /// Returns the requests per second that all endpoints together can run.
    pub(crate) fn capacity_per_s(&self) -> f64 {
        self.endpoints as f64 * f64::from(self.capacity) / self.work.as_secs_f64()
    }
}

/// Outcomes of the requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) sent: usize,
    pub(crate) served: usize,
    /// Requests that were given up.
    pub(crate) failed: usize,
    pub(crate) refusals: usize,
    pub(crate) falls: usize,
}
