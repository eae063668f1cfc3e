//! The desired state: the model versions that the configuration requires to be loaded.

use std::collections::{BTreeMap, BTreeSet};

use config::{Config, Model};
use types::{AdapterName, EndpointName, FailureDomain, ModelName, ModelVersion};

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelTarget {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: ModelVersion,
}

/// Returns the versions to load, which are the first choices of the accounts, each with the
/// adapters that those accounts use.
pub(crate) fn desired_targets(cfg: &Config) -> BTreeMap<ModelTarget, BTreeSet<AdapterName>> {
    let mut desired: BTreeMap<ModelTarget, BTreeSet<AdapterName>> = BTreeMap::new();
    let accesses = cfg.accounts.values().flat_map(|account| account.models.values());
    for access in accesses {
        let Some(version) = access.versions.first() else { continue };
        let target = ModelTarget { model: access.model.clone(), version: version.clone() };
        desired.entry(target).or_default().extend(access.adapter.clone());
    }
    desired
}

/// Returns the endpoints in service that may load `model`, by failure domain.
pub(crate) fn endpoints_by_domain<'a>(
    cfg: &'a Config,
    model: &'a Model,
) -> BTreeMap<&'a FailureDomain, Vec<&'a EndpointName>> {
    let mut domains: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for name in &model.endpoints {
        if let Some(endpoint) = cfg.endpoints.get(name).filter(|endpoint| !endpoint.leaving) {
            domains.entry(&endpoint.failure_domain).or_default().push(name);
        }
    }
    domains
}

/// Returns whether the configuration allows `endpoint` to load `target`.
pub(crate) fn is_permitted(cfg: &Config, endpoint: &EndpointName, target: &ModelTarget) -> bool {
    cfg.models.get(&target.model).is_some_and(|model| {
        model.endpoints.contains(endpoint) && model.versions.contains(&target.version)
    })
}
