//! States of members.

/// State of a router as the others know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It has not answered lately and may yet refute that it is dead.
    Suspect,
    /// It serves the requests it has and wants no new ones.
    Leaving,
    /// It is dead or has left.
    Dead,
}
