//! A router's share of a rate of requests.

use std::{sync::Arc, time::Duration};

use types::Timestamp;
use utils::stable_hash;

/// Size of the largest burst, as the time in which the share allows that many requests. A burst is
/// at least one request.
const BURST: Duration = Duration::from_millis(250);

/// A share of a rate, and the requests that may be sent within it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RateShare {
    /// Requests per second that this router may send.
    per_s: f64,
    /// Number of requests that may be sent at `refilled_at`; at most [`burst`].
    available: f64,
    /// Time for which `available` is valid.
    refilled_at: Timestamp,
}

impl RateShare {
    /// Creates a share of nothing.
    pub(super) fn new(now: Timestamp) -> RateShare {
        RateShare { per_s: 0.0, available: 0.0, refilled_at: now }
    }

    /// Sets the share, in requests per second.
    pub(super) fn set(&mut self, per_s: f64, now: Timestamp) {
        self.available = self.available_at(now);
        self.refilled_at = now;
        self.per_s = per_s;
    }

    /// Returns the time until the next request may be sent; `None` if the share is zero.
    pub(super) fn wait(&self, now: Timestamp) -> Option<Duration> {
        let missing = 1.0 - self.available_at(now);
        if missing <= 0.0 {
            Some(Duration::ZERO)
        } else if self.per_s > 0.0 {
            Some(Duration::from_secs_f64(missing / self.per_s))
        } else {
            None
        }
    }

    /// Counts a request that is sent.
    pub(super) fn take(&mut self, now: Timestamp) {
        self.available = (self.available_at(now) - 1.0).max(0.0);
        self.refilled_at = now;
    }

    fn available_at(&self, now: Timestamp) -> f64 {
        let refilled = now.since(self.refilled_at).as_secs_f64() * self.per_s;
        (self.available + refilled).min(burst(self.per_s))
    }
}

/// Returns the largest number of requests of a share that may be sent at once.
pub(super) fn burst(per_s: f64) -> f64 {
    (per_s * BURST.as_secs_f64()).max(1.0)
}

/// Reports whether the router `own` is among the `count` of `routers` that share what the endpoint
/// accepts. They are chosen by rendezvous hashing, so that all routers agree without exchanging
/// messages and few shares move when a router joins or leaves.
pub(super) fn is_sharer(endpoint: &str, count: usize, own: &str, routers: &[Arc<str>]) -> bool {
    let rank = |router: &str| stable_hash(&[endpoint.as_bytes(), router.as_bytes()]);
    let own_rank = rank(own);
    let is_known = routers.iter().any(|it| **it == *own);
    is_known && routers.iter().filter(|it| rank(it) > own_rank).count() < count
}
