//! Simulated routers of the fleet.

use budget::{BudgetPeer, Event, Ledger};

/// Run state of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterState {
    /// The router handles events.
    Running,
    /// The router handles nothing; its events are kept until it resumes.
    Paused,
    /// The router's process has ended; its events are dropped.
    Dead,
}

/// A simulated router.
pub(crate) struct FakeRouter {
    /// Identity of the current incarnation, as its peers see it.
    pub(crate) peer: BudgetPeer,
    pub(crate) ledger: Ledger,
    pub(crate) state: RouterState,
    /// Current incarnation. Scheduled events for an earlier one are dropped.
    pub(crate) incarnation: u64,
    /// Side of the network partition. Routers on different sides can't reach each other.
    pub(crate) side: u8,
    /// Whether the router can reach the table.
    pub(crate) reaches_table: bool,
    /// Events that arrived during a pause.
    pub(crate) backlog: Vec<Event>,
    /// Whether the ledger has returned all of its tokens to the budgets.
    pub(crate) is_drained: bool,
}
