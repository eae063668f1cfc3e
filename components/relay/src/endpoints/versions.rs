//! Versions of the software that a service's endpoints have, or have had recently.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use types::Timestamp;
use utils::HashMap;

use super::{book::EndpointRegistry, endpoint::Endpoint};
use crate::origins::VersionView;

/// Time for which a version is remembered after its last endpoint: a caller may come back with a
/// stream that it began.
const VERSION_MEMORY: Duration = Duration::from_secs(60);

/// Age of the last complete read of the list above which changes may be missing.
const LIST_MAX_AGE: Duration = Duration::from_secs(2);

/// Versions that no endpoint of their service has any more.
#[derive(Debug, Default)]
pub(super) struct GoneVersions {
    /// When the last endpoint was known, by service and version.
    last_seen: HashMap<(Arc<str>, Arc<str>), Timestamp>,
}

impl GoneVersions {
    /// Records that an endpoint of the version was known until now.
    pub(super) fn record(&mut self, service: &Arc<str>, version: &Arc<str>, now: Timestamp) {
        self.last_seen.insert((service.clone(), version.clone()), now);
    }

    /// Forgets versions that no stream can go on at.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.last_seen.retain(|_, at| now.since(*at) < VERSION_MEMORY);
    }

    fn of_service(&self, service: &str, now: Timestamp) -> impl Iterator<Item = &Arc<str>> {
        let recent = self.last_seen.iter().filter(move |it| now.since(*it.1) < VERSION_MEMORY);
        recent.filter(move |((name, _), _)| **name == *service).map(|((_, version), _)| version)
    }
}

impl EndpointRegistry {
    /// Returns the versions of a service that endpoints have or have had recently, sorted.
    pub fn versions(&self, service: &str, now: Timestamp) -> Vec<Arc<str>> {
        let of_service = |it: &&Endpoint| *it.entry.service == *service;
        let known = self.endpoints.values().filter(of_service).map(|it| &it.entry.version);
        let mut versions: Vec<Arc<str>> =
            known.chain(self.gone_versions.of_service(service, now)).cloned().collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns what this router knows about the versions of a service. `has_history` tells whether
    /// it has read the history that earlier routers stored.
    pub fn version_view(&self, service: &str, has_history: bool, now: Timestamp) -> VersionView {
        let is_recent = self.list_read_at.is_some_and(|at| now.since(at) <= LIST_MAX_AGE);
        VersionView { versions: self.versions(service, now), is_complete: has_history && is_recent }
    }

    /// Returns the services that have or have had several versions, with these.
    pub fn mixed_services(&self, now: Timestamp) -> Vec<(Arc<str>, Vec<Arc<str>>)> {
        let mut services: Vec<&Arc<str>> =
            self.endpoints.values().map(|it| &it.entry.service).collect();
        services.sort_unstable();
        services.dedup();
        let versions = services.into_iter().map(|it| (it.clone(), self.versions(it, now)));
        versions.filter(|it| it.1.len() > 1).collect()
    }

    /// Returns the versions that endpoints have now, by service.
    pub fn present_versions(&self) -> Vec<(Arc<str>, Vec<Arc<str>>)> {
        let mut present: BTreeMap<&Arc<str>, BTreeSet<&Arc<str>>> = BTreeMap::new();
        for it in self.endpoints.values() {
            present.entry(&it.entry.service).or_default().insert(&it.entry.version);
        }
        let cloned = |it: BTreeSet<&Arc<str>>| it.into_iter().cloned().collect();
        present.into_iter().map(|(name, it)| (name.clone(), cloned(it))).collect()
    }

    /// Sets the versions that the store names for a service.
    pub fn set_named_versions<'a>(
        &mut self,
        service: &Arc<str>,
        versions: impl Iterator<Item = &'a Arc<str>>,
    ) {
        self.named_versions.insert(service.clone(), versions.cloned().collect());
    }

    /// Returns whether the store names a version of a service.
    pub fn is_named(&self, service: &str, version: &str) -> bool {
        self.named_versions.get(service).is_some_and(|it| it.contains(version))
    }

    /// Returns whether an endpoint has a version that the store does not name.
    pub fn has_unnamed_versions(&self) -> bool {
        self.endpoints.values().any(|it| !self.is_named(&it.entry.service, &it.entry.version))
    }

    /// Adds versions that a service had `age` ago, from the history that another router stored.
    pub fn add_stored_versions(
        &mut self,
        service: &Arc<str>,
        versions: &[Arc<str>],
        age: Duration,
        now: Timestamp,
    ) {
        if age >= VERSION_MEMORY {
            return;
        }
        // The age is dropped: remembering a version for longer is safe.
        for version in versions {
            self.gone_versions.record(service, version, now);
        }
    }
}
