//! Outcome of settling a bill.

/// Outcome of settling a bill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettleOutcome {
    /// The bill is durable.
    Billed,
    /// The request was billed before; this run is unbilled work.
    AlreadyBilled,
}
