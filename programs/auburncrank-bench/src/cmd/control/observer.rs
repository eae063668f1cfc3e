//! Watches which version is in force on each router.

use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;
use types::ConfigVersion;

use super::{fleet::Fleet, operators::AcceptedChange};

/// Time between two looks at the routers.
pub(super) const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two heartbeats of a router.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that is measured; a change that never came into force counts as it, in
/// milliseconds.
const TIME_MAX_MS: u64 = 3_600_000;

/// Watches which version is in force on each router.
pub(super) struct Observer {
    /// Of each router, its versions and when each came into force.
    seen: Vec<Vec<(ConfigVersion, Instant)>>,
    /// Times that a router had an older version in force than before.
    pub(super) reverts: usize,
    /// When the routers hear each other's heartbeats next.
    next_beat: Option<Instant>,
}

impl Observer {
    /// Creates an observer of `routers` routers.
    pub(super) fn new(routers: usize) -> Observer {
        Observer { seen: vec![Vec::new(); routers], reverts: 0, next_beat: None }
    }

    /// Looks at all routers. A router without any configuration takes no requests, so it
    /// has none in force.
    pub(super) fn look(&mut self, fleet: &Fleet) {
        let now = Instant::now();
        for (router, seen) in fleet.routers.iter().zip(&mut self.seen) {
            let version = router.cfg.version();
            let last = seen.last().map_or(ConfigVersion(0), |(version, _)| *version);
            if version == ConfigVersion(0) || version == last {
                continue;
            }
            self.reverts += usize::from(version < last);
            seen.push((version, now));
        }
    }

    /// Looks at the routers for `span`.
    pub(super) async fn watch(&mut self, fleet: &Fleet, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            if self.next_beat.is_none_or(|at| Instant::now() >= at) {
                self.next_beat = Some(Instant::now() + HEARTBEAT_INTERVAL);
                fleet.beat();
            }
            self.look(fleet);
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        self.look(fleet);
    }

    /// Returns the times from acceptance, or for the second half of the routers from
    /// `healed` where that is later, until each change was in force on each router.
    pub(super) fn times_to_force(
        &self,
        changes: &[AcceptedChange],
        healed: Option<Instant>,
    ) -> Histogram<u64> {
        let mut times = Histogram::new_with_bounds(1, TIME_MAX_MS, 3)
            .expect("the bounds and three digits are allowed");
        for change in changes {
            for (index, seen) in self.seen.iter().enumerate() {
                let is_cut = index >= self.seen.len() / 2;
                let start = healed.filter(|_| is_cut).map_or(change.at, |at| at.max(change.at));
                let reached = seen.iter().find(|(version, _)| *version >= change.version);
                let time = reached.map_or(u64::MAX, |(_, at)| {
                    u64::try_from(at.saturating_duration_since(start).as_millis())
                        .unwrap_or(u64::MAX)
                });
                times.saturating_record(time);
            }
        }
        times
    }
}
