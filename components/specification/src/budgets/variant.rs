//! How the specification of budgets is changed, and its sizes.

/// How the protocol is changed for a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Not at all.
    AsDesigned,
    /// A witness goes on to acknowledge ceilings after it has given tokens back.
    NoWitnessClose,
    /// A router takes a commit of unknown outcome for one that did not take effect.
    NoReadBack,
    /// A loan is credited once for each message that arrives.
    LoanWithoutId,
    /// A loan is sent before it is debited.
    LoanBeforeDebit,
    /// A router spends above the ceiling that its witness has acknowledged.
    SpendWithoutCeiling,
    /// A router takes acknowledgements while a change of its witness is in doubt.
    CeilingRaisedDuringChange,
    /// A new witness does not start from the ceiling in the row.
    NewWitnessWithoutCeiling,
}

/// Sizes of an exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Tokens deposited at the start.
    pub deposit: u8,
    /// Tokens of the one later deposit.
    pub top_up: u8,
    /// Routers that serve requests; the others are witnesses.
    pub serving: usize,
    /// Most requests that each router admits.
    pub requests: u8,
}
