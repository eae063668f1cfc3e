//! How much of its host's limits a router uses, and how much more it takes.

use std::time::Duration;

/// Share of a resource above which a router counts as full: beyond it, queues grow with each burst.
const FULL_SHARE: f64 = 0.85;

/// Wait of datagrams and events above which a router counts as full, whatever it seems to use. A request
/// and its answer each wait as long as that.
const FULL_DELAY: Duration = Duration::from_millis(250);

/// Smallest share of its capacity that a router counts for in lists of addresses, so that each one that
/// is ready gets callers.
const LISTED_SHARE_MIN: f64 = 0.05;

/// What bounds the room of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// Bytes over the link of its host.
    Link,
    /// Time for which datagrams and events wait before they are handled.
    Delay,
}

impl Bound {
    /// Returns the label for metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Bound::Link => "link",
            Bound::Delay => "delay",
        }
    }
}

/// Limits of a router's host and what the router uses of them, measured by itself.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RouterRoom {
    /// Bandwidth of the host's link, for both directions together, in bytes per second; `None` if it is not stated.
    pub link_bytes_per_s: Option<f64>,
    /// Bytes per second over the link, in both directions together.
    pub used_bytes_per_s: f64,
    /// Processor capacity, in thousandths of a core.
    pub processor_millis: f64,
    /// Time for which what arrives waits before the router handles it.
    pub delay: Duration,
}

impl RouterRoom {
    /// Returns the share of the scarcest resource that is in use, and which that is. The share exceeds 1
    /// if the queues are long.
    pub fn used_share(&self) -> (f64, Bound) {
        let link = self.link_bytes_per_s.map_or(0.0, |it| self.used_bytes_per_s / it.max(1.0));
        let delay = self.delay.as_secs_f64() / FULL_DELAY.as_secs_f64() * FULL_SHARE;
        let shares = [(link, Bound::Link), (delay, Bound::Delay)];
        shares.into_iter().max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, Bound::Link))
    }

    /// Returns whether the router takes no more: requests that it accepts now end later than elsewhere.
    pub fn is_full(&self) -> bool {
        self.used_share().0 >= FULL_SHARE
    }

    /// Returns the share of its capacity that it still takes. The share is never less than a small part,
    /// so that each router that is ready gets callers.
    pub fn free_share(&self) -> f64 {
        (1.0 - self.used_share().0 / FULL_SHARE).clamp(LISTED_SHARE_MIN, 1.0)
    }
}
