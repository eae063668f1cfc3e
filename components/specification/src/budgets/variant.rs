//! Variants and bounds of the budget specification.

/// Change to the protocol, made for a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// No change.
    AsDesigned,
    /// A witness closes the row without closing the epoch first, so that it still acknowledges
    /// ceilings after the tokens were returned.
    NoWitnessClose,
    /// A router assumes that a commit of unknown outcome did not take effect.
    NoReadBack,
    /// A loan is credited once for each message received, even for duplicates.
    LoanWithoutId,
    /// A loan is sent without having been debited.
    LoanBeforeDebit,
    /// A router spends more than the ceiling that its witness has acknowledged.
    SpendWithoutCeiling,
    /// A router accepts acknowledgements while the outcome of a witness change is unknown.
    CeilingRaisedDuringChange,
    /// A new witness ignores the ceiling in the row.
    NewWitnessWithoutCeiling,
}

/// Bounds of an exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Tokens deposited at the start.
    pub deposit: u8,
    /// Tokens of the single later deposit; zero for none.
    pub top_up: u8,
    /// Number of routers that serve requests; the others are only witnesses.
    pub serving_routers: usize,
    /// Maximum number of requests that each router admits.
    pub requests_per_router: u8,
}
