//! Settings of the failure detector.

use std::time::Duration;

/// Settings of the failure detector; the same on all routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DetectorSettings {
    /// Time between two probes.
    pub probe_period: Duration,
    /// Time to wait for the answer to a direct ping before other members are asked to ping.
    pub direct_timeout: Duration,
    /// Time to wait for any answer to a probe before the member is suspected.
    pub probe_timeout: Duration,
    /// Time in which a suspected member can refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Time between two probes of a suspected member.
    pub suspect_probe_interval: Duration,
    /// Number of members that are asked to ping on behalf of this router.
    pub indirect_probes: usize,
    /// Time between two rounds of gossip while there are changes to disseminate.
    pub gossip_period: Duration,
    /// Number of members that each round of gossip is sent to.
    pub gossip_fanout: usize,
    /// Maximum number of records in one message.
    pub max_updates: usize,
    /// Number of further members whose records each ping and ack carries, in rotation, if there
    /// is room.
    pub refresh_updates: usize,
    /// Time between two attempts to reach contact addresses or dead members.
    pub contact_period: Duration,
    /// Time from the start to the first request for all members that follows the join. Each
    /// later one is sent when three times as long has passed since the start, before jitter.
    pub first_full_sync_delay: Duration,
    /// Number of requests for all members after the join.
    pub full_syncs: u32,
    /// Age up to which this router accepts a reported death of a member that it knows as live.
    /// It notifies the member of an older one, so that the member can refute it.
    pub recent_death_age: Duration,
    /// Time for which dead members are kept and contacted again.
    pub dead_retention: Duration,
    /// Delay of a wakeup above which the process is assumed to have been paused.
    pub pause_threshold: Duration,
}

impl Default for DetectorSettings {
    fn default() -> DetectorSettings {
        DetectorSettings {
            probe_period: Duration::from_millis(200),
            direct_timeout: Duration::from_millis(250),
            probe_timeout: Duration::from_millis(600),
            suspicion_timeout: Duration::from_millis(1_800),
            suspect_probe_interval: Duration::from_millis(250),
            indirect_probes: 3,
            gossip_period: Duration::from_millis(200),
            gossip_fanout: 3,
            max_updates: 8,
            refresh_updates: 2,
            contact_period: Duration::from_secs(1),
            first_full_sync_delay: Duration::from_secs(2),
            full_syncs: 4,
            recent_death_age: Duration::from_secs(10),
            dead_retention: Duration::from_secs(3_600),
            pause_threshold: Duration::from_secs(1),
        }
    }
}
