//! State of the hosts during a run.

/// Failure domain of each host; its length is the number of hosts.
pub(super) const DOMAINS: [&str; 8] =
    ["zlin", "kromeriz", "vsetin", "brod", "zlin", "kromeriz", "vsetin", "brod"];

/// A host and its router.
#[derive(Debug, Clone, Copy)]
pub(super) struct Host {
    /// Whether the router is running.
    pub(super) is_alive: bool,
    /// Side of the network partition that the host is on; 0 is the side of the table.
    pub(super) side: u8,
    /// Incarnation of the router, incremented at each start.
    pub(super) incarnation: u64,
}

/// State of the hosts and of the table during a run.
#[derive(Debug, Clone)]
pub(super) struct Hosts {
    /// The hosts, by index.
    pub(super) hosts: Vec<Host>,
    /// Whether the table is down.
    pub(super) table_down: bool,
}

impl Hosts {
    /// Creates one host for each entry of [`DOMAINS`], all with running routers.
    pub(super) fn new() -> Hosts {
        let host = Host { is_alive: true, side: 0, incarnation: 1 };
        Hosts { hosts: vec![host; DOMAINS.len()], table_down: false }
    }

    /// Returns the router that a caller uses: `router`, or the next live one if it is dead.
    pub(super) fn find_live_router(&self, router: usize) -> usize {
        let order = (0..DOMAINS.len()).map(|step| (router + step) % DOMAINS.len());
        order.into_iter().find(|it| self.hosts[*it].is_alive).unwrap_or(router)
    }

    /// Reports whether a router reaches the table, which is on side 0.
    pub(super) fn reaches_table(&self, router: usize) -> bool {
        !self.table_down && self.hosts[router].side == 0
    }
}
