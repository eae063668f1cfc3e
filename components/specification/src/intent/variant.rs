//! Variants of the intent row specification.

/// Change to the protocol, made for a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// No change.
    AsDesigned,
    /// A router sends its call after a commit of unknown outcome without reading the row back.
    NoReadBack,
    /// A router takes over another router's intent; the endpoint checks nothing.
    TakeOverWithoutFencing,
    /// A router takes over another router's intent; the endpoint checks fencing numbers.
    TakeOverWithFencing,
    /// Like `TakeOverWithFencing`, but the endpoint also rejects request ids that it has run.
    TakeOverWithFencingAndIds,
    /// A refusal reports "not run" without a withdrawn row.
    RefusalWithoutRow,
    /// A withdrawal deletes the row.
    WithdrawalDeletesRow,
    /// An operator resolves the row while its holder, the router that wrote it, may still send
    /// the call.
    ResolutionWhileHolderRuns,
}
