//! Records of members, as routers pass them on.

use std::{net::SocketAddr, time::Duration};

use types::{ConfigVersion, FailureDomain, RouterId};

use crate::{Member, MemberState};

/// Whether a member answers.
///
/// In the order of precedence: of two records with equal incarnation and refutation
/// number, the one with the higher status wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It did not answer a probe and may refute that it is dead.
    Suspect,
    /// It did not answer for the whole time of the suspicion.
    Dead,
}

/// Record of a member, as routers pass it on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Identity. Incarnations of one name grow with each start of the process.
    pub id: RouterId,
    /// Failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the other routers.
    pub peer_address: SocketAddr,
    /// Grows each time that the member refutes a suspicion or its death; only the
    /// member itself raises it.
    pub refutation: u64,
    /// Grows each time that the member publishes its load; only the member raises it.
    pub heartbeat: u64,
    /// Whether it answers.
    pub status: MemberStatus,
    /// Time since it was found dead; zero where it is not.
    pub dead_for: Duration,
    /// Whether it is leaving. Never reset within one incarnation.
    pub is_leaving: bool,
    /// Requests in progress.
    pub load: u32,
    /// Configuration in force on it.
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

    /// Returns the member as the other subsystems see it.
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

    /// Returns the state as the other subsystems see it.
    pub fn state(&self) -> MemberState {
        match self.status {
            MemberStatus::Dead => MemberState::Dead,
            _ if self.is_leaving => MemberState::Leaving,
            MemberStatus::Suspect => MemberState::Suspect,
            MemberStatus::Alive => MemberState::Alive,
        }
    }

    /// Returns what decides between two records of one incarnation.
    pub(super) fn precedence(&self) -> (u64, MemberStatus) {
        (self.refutation, self.status)
    }
}
