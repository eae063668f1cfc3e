//! Routers of the fleet.

use budget::{BudgetPeer, Event, Ledger};

/// State of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterState {
    /// It runs.
    Running,
    /// It is paused: what arrives waits.
    Paused,
    /// Its process has ended.
    Dead,
}

/// A router of the fleet.
pub(crate) struct FakeRouter {
    /// Identity of its present start.
    pub(crate) peer: BudgetPeer,
    /// Its decisions.
    pub(crate) ledger: Ledger,
    /// State.
    pub(crate) state: RouterState,
    /// Number of its present start; what is under way for an earlier one is dropped.
    pub(crate) start: u64,
    /// Side of the partition that it is on; routers on different sides do not meet.
    pub(crate) side: u8,
    /// Whether it reaches the table.
    pub(crate) reaches_table: bool,
    /// What has arrived during a pause.
    pub(crate) backlog: Vec<Event>,
    /// Whether everything is returned.
    pub(crate) is_drained: bool,
}
