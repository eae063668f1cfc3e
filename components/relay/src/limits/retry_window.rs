//! Limit on retries: a share of the requests in a sliding window.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use types::Timestamp;
use utils::HashMap;

/// Share of the limit that is used, so that counting at the endpoints, which differs from
/// this router's in time, stays within it.
const USED_SHARE: f64 = 0.7;

/// Limits on retries to one service, for all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond the share of requests.
    pub allowance: f64,
    /// Length of the window in which both count.
    pub window: Duration,
}

/// Requests and retries of one service.
#[derive(Debug, Default)]
struct Counts {
    /// Times of requests within the window.
    requests: VecDeque<Timestamp>,
    /// Times of retries within the window.
    retries: VecDeque<Timestamp>,
}

/// Sliding windows of the requests and retries that this router sent, by service.
#[derive(Debug)]
pub struct RetryWindow {
    /// Limits of all routers together.
    limits: RetryLimits,
    /// Counts by service.
    counts: HashMap<Arc<str>, Counts>,
}

impl RetryWindow {
    /// Creates windows without any request.
    pub fn new(limits: RetryLimits) -> RetryWindow {
        RetryWindow { limits, counts: HashMap::default() }
    }

    /// Takes over changed limits.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Notes a request to `service`.
    pub fn note_request(&mut self, service: &Arc<str>, now: Timestamp) {
        let counts = self.counts.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        expire(&mut counts.requests, now, self.limits.window);
    }

    /// Takes one retry to `service`; false where the share of this router among `routers`
    /// is used up.
    pub fn take(&mut self, service: &Arc<str>, routers: usize, now: Timestamp) -> bool {
        let counts = self.counts.entry(service.clone()).or_default();
        expire(&mut counts.requests, now, self.limits.window);
        expire(&mut counts.retries, now, self.limits.window);
        let shared = self.limits.allowance / routers.max(1) as f64;
        let earned = counts.requests.len() as f64 * self.limits.ratio;
        let is_allowed = (counts.retries.len() + 1) as f64 <= (shared + earned) * USED_SHARE;
        if is_allowed {
            counts.retries.push_back(now);
        }
        is_allowed
    }
}

fn expire(times: &mut VecDeque<Timestamp>, now: Timestamp, window: Duration) {
    while times.front().is_some_and(|&it| now.since(it) > window) {
        times.pop_front();
    }
}
