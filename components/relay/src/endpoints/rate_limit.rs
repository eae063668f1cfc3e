//! Limit on the rate of requests that an endpoint states in its answers, and this router's share
//! of it.

use std::{sync::Arc, time::Duration};

use types::Timestamp;

use super::rate_share::{RateShare, is_sharer};

/// Smallest share of a limit, in requests per second. A limit is shared by so few routers that
/// each gets at least this much; a limit below it goes to one router as a whole.
const SHARE_MIN_PER_S: f64 = 1.0;

/// Highest limit that an endpoint may state, in requests per second.
pub(super) const RATE_MAX_PER_S: f64 = 1e6;

/// Rate at which an endpoint that accepts fewer requests still gets some, in requests per second:
/// only an answer shows that a limit has ended.
const PROBE_PER_S: f64 = 0.1;

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
    /// What this router may send.
    share: RateShare,
}

impl StatedRate {
    /// Creates the rate of a new statement. No request may be sent before
    /// [`set_share`](Self::set_share).
    pub(super) fn new(per_s: f64, stated_at: Timestamp, now: Timestamp) -> StatedRate {
        StatedRate { per_s: Some(per_s), stated_at, share: RateShare::new(now) }
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
        self.share.set(share_per_s, now);
    }

    /// Returns when this router may send the next request.
    pub(super) fn next_request(&self, now: Timestamp) -> NextRequest {
        if self.per_s.is_none() {
            return NextRequest::Now;
        }
        match self.share.wait(now) {
            Some(Duration::ZERO) => NextRequest::Now,
            Some(wait) => NextRequest::At(now + wait),
            None => NextRequest::Never,
        }
    }

    /// Counts a request that is sent.
    pub(super) fn take(&mut self, now: Timestamp) {
        self.share.take(now);
    }

    /// Reports whether an answer is needed to learn if the limit still holds.
    pub(super) fn needs_confirmation(&self, now: Timestamp) -> bool {
        self.per_s.is_some() && now.since(self.stated_at) > CONFIRMATION_INTERVAL
    }

    /// Reports whether other routers are told of the statement.
    pub(super) fn is_reported(&self, now: Timestamp) -> bool {
        self.per_s.is_some() || now.since(self.stated_at) <= END_REPORT_TIME
    }
}

/// Returns the share of an endpoint's limit of `per_s` that the router `own` may use, in requests
/// per second; zero if it has none. `routers` are all that share limits.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is not negative, and the cast saturates"
)]
pub(super) fn share_of(endpoint: &str, per_s: f64, own: &str, routers: &[Arc<str>]) -> f64 {
    let per_s = per_s.max(PROBE_PER_S);
    let sharers = ((per_s / SHARE_MIN_PER_S) as usize).clamp(1, routers.len().max(1));
    if is_sharer(endpoint, sharers, own, routers) { per_s / sharers as f64 } else { 0.0 }
}
