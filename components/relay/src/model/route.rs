//! Routes from callers' hosts and paths to services.

use std::{sync::Arc, time::Duration};

use rand::Rng as _;
use utils::Rng;

/// Whether a route's answers are streams, and whether a request may be sent again if an endpoint
/// may already have run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    Never,
    /// The answer is a stream that another endpoint may continue after the last event.
    ResumableStream,
    /// The answer is a stream, and the request may run at most once.
    Stream,
}

impl RetryPolicy {
    /// Reports whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::ResumableStream | RetryPolicy::Stream)
    }

    /// Reports whether a request may be sent again after it may have run.
    pub fn may_run_again(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::ResumableStream)
    }
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// A rule that maps requests by host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name shown in logs.
    pub name: Arc<str>,
    /// Host that requests are addressed to.
    pub host: Arc<str>,
    /// Path prefix; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether answers are streams, and whether requests may be sent again.
    pub retry_policy: RetryPolicy,
    /// Services that get the requests; at least one.
    pub targets: Vec<RouteTarget>,
    /// Maximum time for a request; a caller's own timeout may only shorten it.
    pub timeout: Duration,
    /// Target for the time to the answer, or to the first event of a stream.
    pub latency_target: Duration,
    /// Target for the longest pause between two events of a stream.
    pub pause_target: Option<Duration>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of attempts per request; only attempts that may have run count.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub is_anonymous: bool,
}

impl Route {
    /// Picks the service for one request at random, by the weights of the targets.
    pub fn pick_service(&self, rng: &mut Rng) -> Option<&Arc<str>> {
        if let [only] = self.targets.as_slice() {
            return Some(&only.service);
        }
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|it| &it.service);
        }
        let mut drawn = rng.random_range(0..total);
        let target = self.targets.iter().find(|it| {
            let is_drawn = drawn < u64::from(it.weight);
            drawn = drawn.saturating_sub(u64::from(it.weight));
            is_drawn
        });
        target.map(|it| &it.service)
    }
}
