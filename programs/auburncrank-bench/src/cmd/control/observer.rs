//! Observation of the configuration version in force on each router.

use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;
use types::ConfigVersion;

use super::{fleet::Fleet, operators::AcceptedChange};

/// Time between two samples of the routers' versions.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two heartbeats of a router.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that is recorded, in milliseconds. A change that never came into force is recorded
/// with this time.
const TIME_MAX_MS: u64 = 3_600_000;

/// Records when each version came into force on each router.
pub(super) struct Observer {
    /// Versions of each router, each with the time at which it came into force.
    versions: Vec<Vec<(ConfigVersion, Instant)>>,
    /// Number of times that a router replaced a version in force with an older one.
    pub(super) reverts: usize,
    /// Time of the next heartbeats; `None` before the first ones.
    next_heartbeat: Option<Instant>,
}

impl Observer {
    /// Creates an observer of `routers` routers.
    pub(super) fn new(routers: usize) -> Observer {
        Observer { versions: vec![Vec::new(); routers], reverts: 0, next_heartbeat: None }
    }

    /// Samples the versions of all routers. Skips routers without a configuration: these accept no
    /// requests, so they have no version in force.
    pub(super) fn sample(&mut self, fleet: &Fleet) {
        let now = Instant::now();
        for (router, versions) in fleet.routers.iter().zip(&mut self.versions) {
            let version = router.cfg.version();
            let last = versions.last().map_or(ConfigVersion(0), |(version, _)| *version);
            if version == ConfigVersion(0) || version == last {
                continue;
            }
            self.reverts += usize::from(version < last);
            versions.push((version, now));
        }
    }

    /// Samples the versions and delivers heartbeats for `span`.
    pub(super) async fn watch(&mut self, fleet: &Fleet, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            if self.next_heartbeat.is_none_or(|at| Instant::now() >= at) {
                self.next_heartbeat = Some(Instant::now() + HEARTBEAT_INTERVAL);
                fleet.deliver_heartbeats();
            }
            self.sample(fleet);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        self.sample(fleet);
    }

    /// Returns the times, in milliseconds, until each change was in force on each router. They
    /// start at the acceptance of the change or, for the second half of the routers, at `healed_at`
    /// if that is later.
    pub(super) fn times_to_force(
        &self,
        changes: &[AcceptedChange],
        healed_at: Option<Instant>,
    ) -> Histogram<u64> {
        let mut times = Histogram::new_with_bounds(1, TIME_MAX_MS, 3)
            .expect("the bounds and the precision are valid");
        for change in changes {
            for (index, versions) in self.versions.iter().enumerate() {
                let is_cut_off = index >= self.versions.len() / 2;
                let start =
                    healed_at.filter(|_| is_cut_off).map_or(change.at, |at| at.max(change.at));
                let reached = versions.iter().find(|(version, _)| *version >= change.version);
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
