//! Outcome of settling a bill.

/// Result of settling a bill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettleOutcome {
    /// The request is billed with this bill, which is durable.
    Billed,
    /// The request was already billed, so this run is not billed.
    AlreadyBilled,
}
