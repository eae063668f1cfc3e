//! Settings of the failure detector.

use std::time::Duration;

/// Settings of the failure detector; equal on all routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DetectorSettings {
    /// Time between two probes.
    pub probe_period: Duration,
    /// Time for the answer to a direct ping, before others are asked to ping.
    pub direct_timeout: Duration,
    /// Time for any answer, before the member is suspected.
    pub probe_timeout: Duration,
    /// Time for a suspected member to refute, before it is dead.
    pub suspicion_timeout: Duration,
    /// Time between two further probes of a suspected member.
    pub suspect_retry: Duration,
    /// Members that are asked to ping in place of this router.
    pub indirect_probes: usize,
    /// Time between two rounds of gossip, while there are changes to pass on.
    pub gossip_period: Duration,
    /// Members that get each round of gossip.
    pub gossip_fanout: usize,
    /// Most records in one message.
    pub max_updates: usize,
    /// Records of further members in each ping and answer, in turn.
    pub refresh_updates: usize,
    /// Time between two attempts to reach seeds, hints or dead members.
    pub contact_period: Duration,
    /// Time from the start to the first further request for all members; each later one
    /// comes after three times as long.
    pub first_sync: Duration,
    /// Requests for all members after the start.
    pub syncs: u32,
    /// Age up to which the death of a member is believed without own evidence.
    pub fresh_death: Duration,
    /// Time for which dead members are remembered, and tried again.
    pub keep_dead: Duration,
    /// Delay of a wakeup from which on the process is taken to have been paused.
    pub pause_threshold: Duration,
}

impl Default for DetectorSettings {
    fn default() -> DetectorSettings {
        DetectorSettings {
            probe_period: Duration::from_millis(200),
            direct_timeout: Duration::from_millis(250),
            probe_timeout: Duration::from_millis(600),
            suspicion_timeout: Duration::from_millis(1_800),
            suspect_retry: Duration::from_millis(250),
            indirect_probes: 3,
            gossip_period: Duration::from_millis(200),
            gossip_fanout: 3,
            max_updates: 8,
            refresh_updates: 2,
            contact_period: Duration::from_secs(1),
            first_sync: Duration::from_secs(2),
            syncs: 4,
            fresh_death: Duration::from_secs(10),
            keep_dead: Duration::from_secs(3_600),
            pause_threshold: Duration::from_secs(1),
        }
    }
}
