//! Limit on the rate of requests that an endpoint states in its answers, and this router's share
//! of it.

use std::{sync::Arc, time::Duration};

use types::Timestamp;
use utils::stable_hash;

/// Smallest share of a limit, in requests per second. A limit is shared by so few routers that
/// each gets at least this much; a limit below it goes to one router as a whole.
const SHARE_MIN_PER_S: f64 = 1.0;

/// Highest limit that an endpoint may state, in requests per second.
pub(super) const RATE_MAX_PER_S: f64 = 1e6;

/// Rate at which an endpoint that accepts fewer requests still gets some, in requests per second:
/// only an answer shows that a limit has ended.
const PROBE_PER_S: f64 = 0.1;

/// Size of the largest burst, as the time in which the share allows that many requests. A burst is
/// at least one request.
const BURST: Duration = Duration::from_millis(250);

/// Age of a statement after which the next request that may be sent there goes to the endpoint, so
/// that its answer shows whether the limit still holds.
const CONFIRMATION_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which the end of a limit is reported to other routers.
const END_REPORT_TIME: Duration = Duration::from_secs(5);

/// What an answer says about the rate of requests that the endpoint accepts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateStatement {
    /// The endpoint states no limit.
    Unlimited,
    /// Requests per second that it accepts from all routers together; finite and not negative.
    PerSecond(f64),
    /// The statement is malformed, or the answer lacks both a statement and a signature; it neither
    /// sets nor ends a limit.
    Unknown,
}

/// An endpoint's latest statement about its rate limit, as routers report it to each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateReport {
    /// Requests per second; `None` if the endpoint no longer states a limit.
    pub per_s: Option<f64>,
    /// Time since an answer with this statement arrived.
    pub age: Duration,
}

/// When an endpoint may get the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum NextRequest {
    /// Now.
    Now,
    /// At this time.
    At(Timestamp),
    /// Not from this router: the limit is shared by others.
    Never,
}

/// The rate that an endpoint states, and the requests that this router may send within its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct StatedRate {
    /// Requests per second from all routers together; `None` once the limit has ended.
    per_s: Option<f64>,
    /// When the latest answer with this statement arrived at some router.
    stated_at: Timestamp,
    /// Requests per second that this router may send.
    share_per_s: f64,
    /// Number of requests that may be sent at `refilled_at`; at most [`burst`](Self::burst).
    available: f64,
    /// Time for which `available` is valid.
    refilled_at: Timestamp,
}

impl StatedRate {
    /// Creates the rate of a new statement. No request may be sent before
    /// [`set_share`](Self::set_share).
    pub(super) fn new(per_s: f64, stated_at: Timestamp, now: Timestamp) -> StatedRate {
        StatedRate {
            per_s: Some(per_s),
            stated_at,
            share_per_s: 0.0,
            available: 0.0,
            refilled_at: now,
        }
    }

    /// Returns the stated limit in requests per second; `None` once it has ended.
    pub(super) fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Returns when the latest answer with this statement arrived at some router.
    pub(super) fn stated_at(&self) -> Timestamp {
        self.stated_at
    }

    /// Replaces the statement by one that is not older.
    pub(super) fn restate(&mut self, per_s: Option<f64>, stated_at: Timestamp) {
        self.per_s = per_s;
        self.stated_at = stated_at;
    }

    /// Sets this router's share of the limit, in requests per second.
    pub(super) fn set_share(&mut self, share_per_s: f64, now: Timestamp) {
        self.available = self.available_at(now);
        self.refilled_at = now;
        self.share_per_s = share_per_s;
    }

    /// Returns when this router may send the next request.
    pub(super) fn next_request(&self, now: Timestamp) -> NextRequest {
        let missing = 1.0 - self.available_at(now);
        if self.per_s.is_none() || missing <= 0.0 {
            NextRequest::Now
        } else if self.share_per_s > 0.0 {
            NextRequest::At(now + Duration::from_secs_f64(missing / self.share_per_s))
        } else {
            NextRequest::Never
        }
    }

    /// Counts a request that is sent.
    pub(super) fn take(&mut self, now: Timestamp) {
        self.available = (self.available_at(now) - 1.0).max(0.0);
        self.refilled_at = now;
    }

    /// Reports whether an answer is needed to learn if the limit still holds.
    pub(super) fn needs_confirmation(&self, now: Timestamp) -> bool {
        self.per_s.is_some() && now.since(self.stated_at) > CONFIRMATION_INTERVAL
    }

    /// Reports whether other routers are told of the statement.
    pub(super) fn is_reported(&self, now: Timestamp) -> bool {
        self.per_s.is_some() || now.since(self.stated_at) <= END_REPORT_TIME
    }

    fn available_at(&self, now: Timestamp) -> f64 {
        let refilled = now.since(self.refilled_at).as_secs_f64() * self.share_per_s;
        (self.available + refilled).min(self.burst())
    }

    fn burst(&self) -> f64 {
        (self.share_per_s * BURST.as_secs_f64()).max(1.0)
    }
}

/// Returns the share of an endpoint's limit of `per_s` that the router `own` may use, in requests
/// per second; zero if it has none. `routers` are all that share limits. The routers are chosen by
/// rendezvous hashing, so that all agree without exchanging messages and few shares move when a
/// router joins or leaves.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is not negative, and the cast saturates"
)]
pub(super) fn share_of(endpoint: &str, per_s: f64, own: &str, routers: &[Arc<str>]) -> f64 {
    let per_s = per_s.max(PROBE_PER_S);
    let sharers = ((per_s / SHARE_MIN_PER_S) as usize).clamp(1, routers.len().max(1));
    let rank = |router: &str| stable_hash(&[endpoint.as_bytes(), router.as_bytes()]);
    let own_rank = rank(own);
    let is_known = routers.iter().any(|it| **it == *own);
    let before = routers.iter().filter(|it| rank(it) > own_rank).count();
    if is_known && before < sharers { per_s / sharers as f64 } else { 0.0 }
}
