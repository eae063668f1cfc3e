//! States of members.

/// State of a router, as known to the other members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It failed to answer a probe and is declared dead unless it refutes the suspicion.
    Suspect,
    /// It is shutting down: it finishes its requests and accepts no new ones.
    Leaving,
    /// It was declared dead, or has stopped after leaving.
    Dead,
}
