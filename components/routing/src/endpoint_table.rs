//! Table of all endpoints and pools, built from the configuration.

use std::collections::BTreeSet;

use config::Config;
use types::{EndpointName, RouterName};
use utils::{HashMap, stable_hash};

use crate::{
    endpoint::Endpoint,
    endpoint_id::EndpointId,
    pool::{Pool, PoolId, PoolName},
};

/// All endpoints and pools. Identifiers are never reused for another endpoint or pool.
#[derive(Debug)]
pub(crate) struct EndpointTable {
    /// Name of this router, which determines the endpoints it uses of a large pool.
    router: RouterName,
    /// Endpoints, indexed by [`EndpointId`].
    pub(crate) endpoints: Vec<Endpoint>,
    /// Identifiers by name, including endpoints that are no longer configured.
    ids: HashMap<EndpointName, EndpointId>,
    /// Pools, indexed by [`PoolId`].
    pub(crate) pools: Vec<Pool>,
    /// Identifiers of pools by name.
    pool_ids: HashMap<PoolName, PoolId>,
}

impl EndpointTable {
    /// Creates an empty table.
    pub(crate) fn new(router: RouterName) -> EndpointTable {
        EndpointTable {
            router,
            endpoints: Vec::new(),
            ids: HashMap::default(),
            pools: Vec::new(),
            pool_ids: HashMap::default(),
        }
    }

    /// Applies a configuration. The observed state of endpoints that remain is kept.
    pub(crate) fn apply(&mut self, cfg: &Config, pool_endpoints_max: usize) {
        self.endpoints.iter_mut().for_each(|it| it.is_configured = false);
        for (name, entry) in &cfg.endpoints {
            self.upsert(name, entry);
        }
        for pool in &mut self.pools {
            pool.members.clear();
            pool.member_set.clear();
        }
        for (name, model) in &cfg.models {
            self.set_members(PoolName::Model(name.clone()), &model.endpoints, pool_endpoints_max);
        }
        for (name, service) in &cfg.services {
            let name = PoolName::Service(name.clone());
            self.set_members(name, &service.endpoints, pool_endpoints_max);
        }
    }

    /// Returns the identifier of an endpoint.
    pub(crate) fn id(&self, name: &EndpointName) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// Returns the identifier of a pool.
    pub(crate) fn pool_id(&self, name: &PoolName) -> Option<PoolId> {
        self.pool_ids.get(name).copied()
    }

    /// Returns the names and identifiers of all pools, in no particular order.
    pub(crate) fn pool_names(&self) -> impl Iterator<Item = (&PoolName, PoolId)> {
        self.pool_ids.iter().map(|(name, id)| (name, *id))
    }

    /// Returns the pools of models that the endpoint belongs to.
    pub(crate) fn model_pools_of(&self, id: EndpointId) -> impl Iterator<Item = PoolId> {
        let models = self.pool_names().filter(|(name, _)| matches!(name, PoolName::Model(_)));
        models.map(|(_, pool)| pool).filter(move |&pool| self.pool(pool).member_set.contains(&id))
    }

    pub(crate) fn get(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[id.index()]
    }

    pub(crate) fn get_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        &mut self.endpoints[id.index()]
    }

    pub(crate) fn pool(&self, id: PoolId) -> &Pool {
        &self.pools[id.0 as usize]
    }

    pub(crate) fn pool_mut(&mut self, id: PoolId) -> &mut Pool {
        &mut self.pools[id.0 as usize]
    }

    fn upsert(&mut self, name: &EndpointName, entry: &config::Endpoint) {
        let known = self.ids.get(name).map(|id| &mut self.endpoints[id.index()]);
        match known {
            Some(endpoint) if endpoint.address == entry.address => {
                endpoint.is_configured = true;
                endpoint.failure_domain = entry.failure_domain.clone();
                endpoint.leaving_by_config = entry.leaving;
            }
            // A new address means another process under the same name: it starts without
            // observed state, and leases on the old process keep the old identifier.
            _ => {
                let id = EndpointId(
                    u32::try_from(self.endpoints.len())
                        .expect("the number of endpoints fits in u32"),
                );
                self.endpoints.push(Endpoint::new(name.clone(), entry));
                self.ids.insert(name.clone(), id);
            }
        }
    }

    fn set_members(&mut self, name: PoolName, names: &BTreeSet<EndpointName>, max: usize) {
        let mut members: Vec<EndpointId> = names.iter().filter_map(|it| self.id(it)).collect();
        members.sort_by_cached_key(|&id| stable_hash(&[self.get(id).name.as_str().as_bytes()]));
        if members.len() > max {
            members.sort_by_cached_key(|&id| self.rendezvous_hash(id));
            members.truncate(max);
            members.sort_by_cached_key(|&id| stable_hash(&[self.get(id).name.as_str().as_bytes()]));
        }
        let pools = &mut self.pools;
        let id = *self.pool_ids.entry(name).or_insert_with(|| {
            pools.push(Pool::default());
            PoolId(u32::try_from(pools.len() - 1).expect("the number of pools fits in u32"))
        });
        let pool = &mut self.pools[id.0 as usize];
        pool.member_set = members.iter().copied().collect();
        pool.ranks = members.iter().enumerate().map(|(rank, id)| (*id, rank)).collect();
        pool.members = members;
    }

    /// Returns the sort key by which this router selects endpoints of a large pool. Each
    /// router selects different ones, so that all endpoints are used.
    fn rendezvous_hash(&self, id: EndpointId) -> u64 {
        let name = &self.get(id).name;
        stable_hash(&[self.router.as_str().as_bytes(), name.as_str().as_bytes()])
    }
}
