//! The hosts of a run, as its scenario has them.

/// Failure domain of each host.
pub(super) const DOMAINS: [&str; 8] =
    ["zlin", "kromeriz", "vsetin", "brod", "zlin", "kromeriz", "vsetin", "brod"];

/// A host with its router.
#[derive(Debug, Clone, Copy)]
pub(super) struct Host {
    /// Whether its router runs.
    pub(super) is_alive: bool,
    /// Side of the partition.
    pub(super) side: u8,
    /// Number of starts of its router.
    pub(super) start: u64,
}

/// The hosts of a run.
#[derive(Debug, Clone)]
pub(super) struct Hosts {
    /// Hosts.
    pub(super) hosts: Vec<Host>,
    /// Whether the table is down.
    pub(super) table_down: bool,
}

impl Hosts {
    /// Creates hosts that all run.
    pub(super) fn new() -> Hosts {
        let host = Host { is_alive: true, side: 0, start: 1 };
        Hosts { hosts: vec![host; DOMAINS.len()], table_down: false }
    }

    /// Returns the router that a caller finds which prefers `router`.
    pub(super) fn find_alive(&self, router: usize) -> usize {
        let order = (0..DOMAINS.len()).map(|step| (router + step) % DOMAINS.len());
        order.into_iter().find(|it| self.hosts[*it].is_alive).unwrap_or(router)
    }

    /// Tells whether a router reaches the table, which is on side 0.
    pub(super) fn reaches_table(&self, router: usize) -> bool {
        !self.table_down && self.hosts[router].side == 0
    }
}
