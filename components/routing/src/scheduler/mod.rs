//! The scheduler of one router: joins the endpoint table, the queues and the quarantine.
//!
//! Events go in with the present time; leases, refusals and resolved waiters come out.

mod admission;
mod outcomes;
mod placing;
mod reports;
mod trials;

use std::{collections::BTreeMap, net::IpAddr, net::SocketAddr};

use config::Config;
use errors::{Error, Result};
use types::{EndpointName, FailureDomain, ModelName, Priority, RouterName, Timestamp};
use utils::{Digest, HashMap, HashSet};

use crate::{
    EndpointLease, EndpointNeed, EndpointState, Quarantine, SchedulerSettings,
    endpoint_id::EndpointId,
    endpoint_table::EndpointTable,
    pool::{PoolId, PoolName},
    prefix_index::PrefixIndex,
};

/// Number of a request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// Answer to a request for an endpoint.
#[derive(Debug)]
#[must_use = "a lease is to be given back"]
pub enum Decision {
    /// The request may be sent now.
    Place(EndpointLease),
    /// The request waits; [`Scheduler::poll`] resolves it.
    Wait(WaiterId),
    /// The request is refused; it was not sent.
    Refuse(Error),
}

/// A request that waits no longer.
#[derive(Debug)]
#[must_use = "a lease is to be given back"]
pub struct ResolvedWaiter {
    /// The request.
    pub waiter: WaiterId,
    /// Its endpoint, or why it gets none.
    pub result: Result<EndpointLease>,
}

/// An endpoint, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// Name.
    pub name: EndpointName,
    /// Address.
    pub address: SocketAddr,
    /// State.
    pub state: EndpointState,
    /// Own requests in progress.
    pub own_requests: u32,
    /// Estimated requests in progress, of all routers.
    pub requests: u32,
    /// Limit on requests in progress.
    pub limit: u32,
    /// Whether it is an engine, which reports its load.
    pub is_engine: bool,
}

/// The scheduler of one router.
#[derive(Debug)]
pub struct Scheduler {
    /// Settings.
    settings: SchedulerSettings,
    /// Failure domain of this router.
    failure_domain: FailureDomain,
    /// Endpoints and pools.
    table: EndpointTable,
    /// Where prompt blocks are cached.
    prefixes: PrefixIndex,
    /// Contents that crash endpoints.
    quarantine: Quarantine,
    /// Leases in force.
    leases: HashMap<u64, Lease>,
    /// Requests that wait. Each stands in the queue or the trials of its pool.
    waiters: BTreeMap<WaiterId, Waiter>,
    /// Mean duration of loads by model, in seconds.
    load_times: HashMap<ModelName, f64>,
    /// Number of the next lease or waiter.
    next_id: u64,
}

/// A lease in force.
#[derive(Debug)]
struct Lease {
    /// Endpoint.
    endpoint: EndpointId,
    /// Pool.
    pool: PoolId,
    /// Priority of the request.
    priority: Priority,
    /// Prompt tokens that were estimated to be processed.
    prompt_tokens: u64,
    /// Estimated time to the first token, without the endpoint's slowness, in seconds.
    expected_s: f64,
    /// When it was given out.
    placed_at: Timestamp,
    /// Whether the first token has arrived.
    has_first_token: bool,
    /// Content.
    fingerprint: Digest,
    /// Whether the endpoint is kept for this request alone.
    is_trial: bool,
    /// Whether other work was on the endpoint at the start or since.
    was_accompanied: bool,
}

/// A request that waits.
#[derive(Debug)]
struct Waiter {
    /// What it needs.
    need: EndpointNeed,
    /// Its pool.
    pool: PoolId,
    /// Endpoint that is kept for it, where it is to run alone.
    reserved: Option<(EndpointId, Timestamp)>,
}

impl Scheduler {
    /// Creates the scheduler of `router` in `failure_domain`, without endpoints.
    pub fn new(
        router: RouterName,
        failure_domain: FailureDomain,
        settings: SchedulerSettings,
    ) -> Scheduler {
        Scheduler {
            prefixes: PrefixIndex::new(settings.prefix_blocks),
            settings,
            failure_domain,
            table: EndpointTable::new(router),
            quarantine: Quarantine::default(),
            leases: HashMap::default(),
            waiters: BTreeMap::new(),
            load_times: HashMap::default(),
            next_id: 0,
        }
    }

    /// Takes over a configuration.
    pub fn apply_config(&mut self, cfg: &Config) {
        self.table.apply(cfg, self.settings.pool_endpoints_max);
        let parse = |texts: &std::collections::BTreeSet<String>| -> HashSet<Digest> {
            texts.iter().filter_map(|text| Digest::from_hex(text)).collect()
        };
        self.quarantine.set_lists(parse(&cfg.quarantine), parse(&cfg.quarantine_released));
    }

    /// Takes over the host list: the addresses of hosts that are leaving.
    pub fn apply_leaving_hosts(&mut self, leaving: &HashSet<IpAddr>) {
        for endpoint in &mut self.table.endpoints {
            endpoint.leaves_by_host = leaving.contains(&endpoint.address.ip());
        }
    }

    /// Returns the quarantine.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the quarantine, to merge records of other routers.
    pub fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the endpoints that this router uses, for operators and polls.
    pub fn status(&self, now: Timestamp) -> Vec<EndpointStatus> {
        let mut engines = HashSet::default();
        let mut used = HashSet::default();
        for (name, id) in self.table.pool_names() {
            let members = &self.table.pool(id).members;
            used.extend(members.iter().copied());
            if matches!(name, PoolName::Model(_)) {
                engines.extend(members.iter().copied());
            }
        }
        let mut used: Vec<EndpointId> = used.into_iter().collect();
        used.sort_unstable();
        used.into_iter().map(|id| self.endpoint_status(id, engines.contains(&id), now)).collect()
    }

    fn endpoint_status(&self, id: EndpointId, is_engine: bool, now: Timestamp) -> EndpointStatus {
        let endpoint = self.table.get(id);
        EndpointStatus {
            name: endpoint.name.clone(),
            address: endpoint.address,
            state: endpoint.state(now),
            own_requests: endpoint.load.own_requests(),
            requests: endpoint.load.requests(),
            limit: endpoint.limit.get(self.settings.slow_start, now),
            is_engine,
        }
    }

    fn take_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}
