//! Records of members, as exchanged between routers.

use std::{net::SocketAddr, time::Duration};

use types::{ConfigVersion, FailureDomain, RouterId};

use crate::{Member, MemberState};

/// Liveness of a member according to the failure detector.
///
/// The variants are in order of precedence: of two records with the same incarnation and
/// refutation number, the one with the higher status wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// It answers probes.
    Alive,
    /// It did not answer a probe and is declared dead unless it refutes the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
}

/// Record of a member, as exchanged between routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name and incarnation. The incarnation grows with each start of the process.
    pub id: RouterId,
    /// Failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Address at which it serves callers.
    pub caller_address: SocketAddr,
    /// Address at which it receives messages from other routers.
    pub peer_address: SocketAddr,
    /// Refutation number. Only the member itself raises it, each time it refutes that it is
    /// suspect or dead.
    pub refutation: u64,
    /// Heartbeat counter. Only the member itself raises it; of two records, the higher one
    /// has the newer load and configuration version.
    pub heartbeat: u64,
    /// Liveness of the member.
    pub status: MemberStatus,
    /// Time since it was declared dead; zero if it is not dead.
    pub dead_for: Duration,
    /// Whether it is leaving. Never reset within one incarnation.
    pub is_leaving: bool,
    /// Number of requests in progress.
    pub load: u32,
    /// Version of the configuration that it uses.
    pub config_version: ConfigVersion,
}

impl MemberRecord {
    /// Creates the record of a router that starts as `member`.
    pub fn from_member(member: &Member) -> MemberRecord {
        MemberRecord {
            id: member.id.clone(),
            failure_domain: member.failure_domain.clone(),
            caller_address: member.caller_address,
            peer_address: member.peer_address,
            refutation: 0,
            heartbeat: 0,
            status: MemberStatus::Alive,
            dead_for: Duration::ZERO,
            is_leaving: member.state == MemberState::Leaving,
            load: member.load,
            config_version: member.config_version,
        }
    }

    /// Converts the record into the form that other subsystems use.
    pub fn to_member(&self) -> Member {
        Member {
            id: self.id.clone(),
            failure_domain: self.failure_domain.clone(),
            caller_address: self.caller_address,
            peer_address: self.peer_address,
            state: self.state(),
            load: self.load,
            config_version: self.config_version,
        }
    }

    /// Returns the state that other subsystems use, which combines liveness and leaving.
    pub fn state(&self) -> MemberState {
        match self.status {
            MemberStatus::Dead => MemberState::Dead,
            _ if self.is_leaving => MemberState::Leaving,
            MemberStatus::Suspect => MemberState::Suspect,
            MemberStatus::Alive => MemberState::Alive,
        }
    }

    /// Returns the precedence of the record among records of the same incarnation; the
    /// highest one wins.
    pub(super) fn precedence(&self) -> (u64, MemberStatus) {
        (self.refutation, self.status)
    }
}
