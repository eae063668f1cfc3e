//! Routes of the desired state.

use std::{sync::Arc, time::Duration};

use rand::Rng as _;
use utils::Rng;

/// What may be repeated of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    Never,
    /// A stream that another endpoint may continue after its last event.
    ResumableStream,
    /// A stream that may run at most once.
    Stream,
}

impl RetryPolicy {
    /// Tells whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::ResumableStream | RetryPolicy::Stream)
    }

    /// Tells whether a request may be sent again after it may have run.
    pub fn may_run_again(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::ResumableStream)
    }
}

/// A service that serves a share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests relative to the route's other targets.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Prefix of the path; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Services that serve it; at least one.
    pub targets: Vec<RouteTarget>,
    /// Longest time for which the operator wants a caller to wait.
    pub timeout: Duration,
    /// Time within which an answer counts as in time.
    pub latency_target: Duration,
    /// Longest pause between the events of a stream that counts as in time.
    pub pause_target: Option<Duration>,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u32,
    /// Most endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_anonymous: bool,
}

impl Route {
    /// Draws the service of one request by the weights of the targets.
    pub fn draw_service(&self, rng: &mut Rng) -> Option<&Arc<str>> {
        if let [only] = self.targets.as_slice() {
            return Some(&only.service);
        }
        let total: u32 = self.targets.iter().map(|it| it.weight).sum();
        if total == 0 {
            return self.targets.first().map(|it| &it.service);
        }
        let mut drawn = rng.random_range(0..total);
        let target = self.targets.iter().find(|it| {
            let is_drawn = drawn < it.weight;
            drawn = drawn.saturating_sub(it.weight);
            is_drawn
        });
        target.map(|it| &it.service)
    }
}
