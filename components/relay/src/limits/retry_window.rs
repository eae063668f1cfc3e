//! Limits retries to a share of the requests in a sliding window.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use types::Timestamp;
use utils::HashMap;

/// Share of the limit that this router uses, from 0 to 1. Endpoints count the same retries at
/// slightly different times; the margin keeps their counts within the limit as well.
const USED_SHARE: f64 = 0.7;

/// Limits on the retries to one service, for all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in a window in addition to the share of requests.
    pub allowance: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Recent requests and retries of one service.
#[derive(Debug, Default)]
struct Counts {
    /// Times of the requests within the window, oldest first.
    requests: VecDeque<Timestamp>,
    /// Times of the retries within the window, oldest first.
    retries: VecDeque<Timestamp>,
}

/// Sliding windows of the requests and retries that this router sent, by service.
#[derive(Debug)]
pub struct RetryWindow {
    /// Limits of all routers together.
    limits: RetryLimits,
    /// Counts, keyed by service name.
    counts: HashMap<Arc<str>, Counts>,
}

impl RetryWindow {
    /// Creates windows without any requests.
    pub fn new(limits: RetryLimits) -> RetryWindow {
        RetryWindow { limits, counts: HashMap::default() }
    }

    /// Replaces the limits; takes effect with the next call.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Records a request to `service`.
    pub fn record_request(&mut self, service: &Arc<str>, now: Timestamp) {
        let counts = self.counts.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        expire(&mut counts.requests, now, self.limits.window);
    }

    /// Records one retry to `service` and returns `true`, or returns `false` if this router has
    /// used up its share of the limit. `routers` is the number of routers that share the allowance.
    pub fn try_take_retry(&mut self, service: &Arc<str>, routers: usize, now: Timestamp) -> bool {
        let is_allowed = self.has_retry(service, routers, now);
        if is_allowed {
            self.counts.entry(service.clone()).or_default().retries.push_back(now);
        }
        is_allowed
    }

    /// Reports whether [`try_take_retry`](Self::try_take_retry) would allow a retry now.
    pub fn has_retry(&mut self, service: &Arc<str>, routers: usize, now: Timestamp) -> bool {
        let counts = self.counts.entry(service.clone()).or_default();
        expire(&mut counts.requests, now, self.limits.window);
        expire(&mut counts.retries, now, self.limits.window);
        let allowance_share = self.limits.allowance / routers.max(1) as f64;
        let earned = counts.requests.len() as f64 * self.limits.ratio;
        (counts.retries.len() + 1) as f64 <= (allowance_share + earned) * USED_SHARE
    }
}

fn expire(times: &mut VecDeque<Timestamp>, now: Timestamp, window: Duration) {
    while times.front().is_some_and(|&it| now.since(it) > window) {
        times.pop_front();
    }
}
