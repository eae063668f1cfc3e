//! How the specification of the intent row is changed.

/// How the protocol is changed for a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Not at all.
    AsDesigned,
    /// A router sends after a commit of unknown outcome without reading the row back.
    NoReadBack,
    /// A router takes over another's intent; the endpoint checks nothing.
    TakeOverWithoutFencing,
    /// A router takes over another's intent; the endpoint checks fencing numbers.
    TakeOverWithFencing,
    /// The endpoint also refuses ids that it has run.
    TakeOverWithFencingAndIds,
    /// A refusal says "not run" without a withdrawn row.
    RefusalWithoutRow,
    /// A withdrawal deletes the row.
    WithdrawalDeletesRow,
    /// An operator says "did not run" while the holder may still send.
    ResolutionWhileHolderRuns,
}
