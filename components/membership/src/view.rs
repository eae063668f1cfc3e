//! Snapshots of the membership.

use types::RouterName;

use crate::{Member, MemberState};

/// Immutable snapshot of the membership, without dead members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipView {
    /// This router.
    pub local: Member,
    /// The other routers, sorted by name.
    pub others: Vec<Member>,
}

impl MembershipView {
    /// Creates the view of a router that knows no other members.
    pub fn from_local(local: Member) -> MembershipView {
        MembershipView { local, others: Vec::new() }
    }

    /// Returns all members, this router first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.local).chain(&self.others)
    }

    /// Finds a member by name.
    pub fn find(&self, name: &RouterName) -> Option<&Member> {
        if self.local.id.name == *name {
            return Some(&self.local);
        }
        let index = self.others.binary_search_by(|it| it.id.name.cmp(name)).ok()?;
        self.others.get(index)
    }

    /// Returns the members that accept new requests: those that are alive or suspect.
    pub fn serving(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|it| matches!(it.state, MemberState::Alive | MemberState::Suspect))
    }
}
