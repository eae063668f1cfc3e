//! Router addresses known to a caller.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::time::Instant;
use types::FailureDomain;

/// Answer to `GET /v1/addresses`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressList {
    /// Addresses of routers in order of preference.
    pub addresses: Vec<AddressEntry>,
    /// Time for which the caller may use the list before it must fetch a new one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "keep_ms")]
    pub keep: Duration,
}

/// Address of a router with its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressEntry {
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain of the router's host.
    pub failure_domain: FailureDomain,
}

/// Router addresses known to a caller.
#[derive(Debug)]
pub(super) struct AddressBook {
    /// Addresses from the settings, which never change. Not empty.
    seeds: Vec<SocketAddr>,
    /// Addresses of the last fetched list in order of preference.
    listed: Vec<SocketAddr>,
    /// Time until which the list may be used; `None` if a new one must be fetched.
    fresh_until: Option<Instant>,
    /// Number of failed attempts since the last list was fetched.
    failures: usize,
}

impl AddressBook {
    /// Creates an address book of the seeds, which must not be empty.
    pub(super) fn new(seeds: Vec<SocketAddr>) -> AddressBook {
        AddressBook { seeds, listed: Vec::new(), fresh_until: None, failures: 0 }
    }

    /// Returns whether a new list must be fetched.
    pub(super) fn is_stale(&self, now: Instant) -> bool {
        self.fresh_until.is_none_or(|until| now >= until)
    }

    /// Returns the addresses of the last list followed by the other seeds, in the order in
    /// which they are tried.
    pub(super) fn candidates(&self) -> Vec<SocketAddr> {
        let mut candidates = self.listed.clone();
        candidates.extend(self.seeds.iter().filter(|seed| !self.listed.contains(seed)));
        candidates
    }

    /// Replaces the list with a fetched one and resets the failures.
    pub(super) fn update(&mut self, list: &AddressList, now: Instant) {
        self.listed = list.addresses.iter().map(|entry| entry.address).collect();
        self.fresh_until = Some(now + list.keep);
        self.failures = 0;
    }

    /// Returns the address for the next attempt; `None` if there is no address at all.
    pub(super) fn current(&self) -> Option<SocketAddr> {
        let candidates = self.candidates();
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.failures % candidates.len()])
    }

    /// Records that the current address failed, so that the next attempt uses the following
    /// one. Once every listed address has failed, a new list must be fetched.
    pub(super) fn record_failure(&mut self) {
        self.failures += 1;
        if self.failures >= self.listed.len() {
            self.fresh_until = None;
        }
    }
}

#[cfg(test)]
#[path = "address_book_tests.rs"]
mod tests;
