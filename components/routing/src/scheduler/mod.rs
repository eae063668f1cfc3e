//! The scheduler of one router: combines the endpoint table, the queues and the
//! quarantine.
//!
//! Callers pass in events with the current time and receive leases, refusals and resolved
//! waiters.

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

/// Identifier of a waiting request, unique within one scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// Result of [`Scheduler::submit`].
#[derive(Debug)]
#[must_use = "a lease must be released"]
pub enum Decision {
    /// The request may be sent now.
    Place(EndpointLease),
    /// The request is queued. [`Scheduler::poll`] or [`Scheduler::sweep`] resolves it.
    Wait(WaiterId),
    /// The request is refused and was not sent to any endpoint.
    Refuse(Error),
}

/// A queued request that was placed or refused.
#[derive(Debug)]
#[must_use = "a lease must be released"]
pub struct ResolvedWaiter {
    /// Identifier that [`Decision::Wait`] returned.
    pub waiter: WaiterId,
    /// Lease on its endpoint, or the reason for the refusal.
    pub result: Result<EndpointLease>,
}

/// Status of an endpoint as shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// Name in the configuration.
    pub name: EndpointName,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// State as this router sees it.
    pub state: EndpointState,
    /// Requests of this router in progress.
    pub own_requests: u32,
    /// Estimated requests in progress, summed over all routers.
    pub requests: u32,
    /// Current limit on requests in progress.
    pub limit: u32,
    /// Whether it is an engine, which serves models and reports its load.
    pub is_engine: bool,
}

/// The scheduler of one router.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    /// Failure domain of this router.
    failure_domain: FailureDomain,
    /// Endpoints and pools.
    table: EndpointTable,
    /// Endpoints that cache each prompt block.
    prefixes: PrefixIndex,
    /// Content that is suspected or known to crash endpoints.
    quarantine: Quarantine,
    /// Leases not yet released, by identifier.
    leases: HashMap<u64, Lease>,
    /// Waiting requests. Each is also in either the queue or the trials of its pool.
    waiters: BTreeMap<WaiterId, Waiter>,
    /// Mean time to load each model, in seconds.
    load_times: HashMap<ModelName, f64>,
    /// Identifier that was last given to a lease or waiter.
    last_id: u64,
}

/// A lease that has not been released yet.
#[derive(Debug)]
struct Lease {
    endpoint: EndpointId,
    pool: PoolId,
    /// Priority of the request.
    priority: Priority,
    /// Estimated prompt tokens that the endpoint has to process.
    prompt_tokens: u64,
    /// Estimated time to the first token, without the endpoint's slowness, in seconds.
    expected_s: f64,
    /// When the lease was granted.
    placed_at: Timestamp,
    /// Whether the first token has arrived.
    has_first_token: bool,
    /// Digest of the request's content.
    fingerprint: Digest,
    /// Whether the endpoint is reserved for this request, which has suspected content.
    is_trial: bool,
    /// Whether other requests were in progress on the endpoint when the lease was granted.
    started_with_others: bool,
}

/// A waiting request.
#[derive(Debug)]
struct Waiter {
    need: EndpointNeed,
    pool: PoolId,
    /// Endpoint reserved for a request that has to run alone, and when it was reserved.
    reserved: Option<(EndpointId, Timestamp)>,
}

impl Scheduler {
    /// Creates the scheduler of `router` in `failure_domain`. It has no endpoints until a
    /// configuration is applied.
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
            last_id: 0,
        }
    }

    /// Applies a configuration: endpoints, pools and the operators' quarantine lists.
    pub fn apply_config(&mut self, cfg: &Config) {
        self.table.apply(cfg, self.settings.pool_endpoints_max);
        let parse = |texts: &std::collections::BTreeSet<String>| -> HashSet<Digest> {
            texts.iter().filter_map(|text| Digest::from_hex(text)).collect()
        };
        self.quarantine.set_operator_lists(parse(&cfg.quarantine), parse(&cfg.quarantine_released));
    }

    /// Marks the endpoints on the hosts in `leaving` as leaving, and no others.
    pub fn apply_leaving_hosts(&mut self, leaving: &HashSet<IpAddr>) {
        for endpoint in &mut self.table.endpoints {
            endpoint.leaving_by_host = leaving.contains(&endpoint.address.ip());
        }
    }

    /// Returns the quarantine, to read verdicts and records.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the quarantine, to merge crash records of other routers.
    pub fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the status of the endpoints that this router uses, for operators and for
    /// load polling.
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

    fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
