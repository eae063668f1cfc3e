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

/// Whether the process that an endpoint was chosen for is still the listed one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProcessCheck {
    /// The list of endpoints has not been read since.
    Pending,
    /// The same process is listed, or the endpoint is no longer listed.
    Same,
    /// Another process, with this version, is listed now.
    Replaced(Arc<str>),
}

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

    /// Records that the list of endpoints, or all of its changes, have been read. `began_at` is the time
    /// at which the read began, by a clock that counts suspension.
    pub fn record_list_read(&mut self, began_at: Timestamp) {
        self.version_reads.record_list(began_at);
    }

    /// Records that the versions that the store names have been read. `began_at` is the time at which the
    /// read began, by a clock that counts suspension.
    pub fn record_names_read(&mut self, began_at: Timestamp) {
        self.version_reads.record_names(began_at);
    }

    /// Reports whether the versions that the store names have to be read, since the list of endpoints may
    /// not have shown all of them.
    pub fn needs_names(&self) -> bool {
        !self.version_reads.has_names()
    }

    /// Reports whether the list of endpoints was read, and the versions that the store names if needed,
    /// by a read that began at `since` or later, by a clock that counts suspension.
    pub fn has_versions_since(&self, since: Timestamp) -> bool {
        !self.needs_names() && self.version_reads.has_list_since(since)
    }

    /// Finds out whether the process of an endpoint that started at `started_at_ms` is still listed by a read
    /// that began at `since` or later, by a clock that counts suspension.
    pub fn check_process(&self, id: &str, started_at_ms: u64, since: Timestamp) -> ProcessCheck {
        if !self.version_reads.has_list_since(since) {
            return ProcessCheck::Pending;
        }
        let entry = self.endpoints.get(id).map(|it| &it.entry);
        match entry.filter(|it| it.started_at_ms != started_at_ms) {
            Some(successor) => ProcessCheck::Replaced(successor.version.clone()),
            None => ProcessCheck::Same,
        }
    }

    /// Returns what this router knows about the versions of a service. `has_history` tells whether
    /// it has read the history that earlier routers stored, `boot_now` is the time by a clock that counts
    /// suspension.
    pub fn version_view(
        &self,
        service: &str,
        has_history: bool,
        now: Timestamp,
        boot_now: Timestamp,
    ) -> VersionView {
        let reads = &self.version_reads;
        let is_complete = has_history
            && reads.has_names()
            && reads.has_recent_list(boot_now)
            && !self.may_read_old(now);
        VersionView { versions: self.versions(service, now), is_complete }
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

    /// Sets the versions that the store names for a service, each with the time from which streams may
    /// begin there.
    pub fn set_named_versions(
        &mut self,
        service: &Arc<str>,
        versions: impl Iterator<Item = (Arc<str>, Timestamp)>,
    ) {
        let known = self.named_versions.remove(service).unwrap_or_default();
        let earliest = |(version, at): (Arc<str>, Timestamp)| {
            let at = known.get(&version).map_or(at, |known| at.min(*known));
            (version, at)
        };
        self.named_versions.insert(service.clone(), versions.map(earliest).collect());
    }

    /// Returns whether the store has named a version of a service for long enough that streams which
    /// callers may take up may begin there.
    pub fn may_begin_streams(&self, service: &str, version: &str, now: Timestamp) -> bool {
        let named = self.named_versions.get(service).and_then(|it| it.get(version));
        named.is_some_and(|at| *at <= now)
    }

    /// Returns those of `endpoints` where streams that callers may take up may begin. The version of a process
    /// that has started since the entry was written is not known. A version that was named a moment ago is used
    /// only if there is no other one.
    pub(super) fn where_streams_may_begin<'a>(
        &self,
        service: &str,
        mut endpoints: Vec<&'a Endpoint>,
        now: Timestamp,
    ) -> Vec<&'a Endpoint> {
        endpoints.retain(|it| it.ended == 0 && self.is_named(service, &it.entry.version));
        let may_begin = |it: &&Endpoint| self.may_begin_streams(service, &it.entry.version, now);
        if endpoints.iter().any(may_begin) {
            endpoints.retain(may_begin);
        }
        endpoints
    }

    /// Returns whether the store names a version of a service.
    fn is_named(&self, service: &str, version: &str) -> bool {
        self.named_versions.get(service).is_some_and(|it| it.contains_key(version))
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
