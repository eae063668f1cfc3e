//! The addresses that a caller knows.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::time::Instant;
use types::FailureDomain;

/// Answer to `GET /v1/addresses`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressList {
    /// Addresses, the preferred one first.
    pub addresses: Vec<AddressEntry>,
    /// Time for which the list may be kept.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "keep_ms")]
    pub keep: Duration,
}

/// One address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressEntry {
    /// Address of a router.
    pub address: SocketAddr,
    /// Failure domain of its host.
    pub failure_domain: FailureDomain,
}

/// The addresses that a caller knows.
#[derive(Debug)]
pub(super) struct AddressBook {
    /// Addresses from the settings, which never change. Not empty.
    seeds: Vec<SocketAddr>,
    /// Addresses of the last list, the preferred one first.
    known: Vec<SocketAddr>,
    /// Until when `known` may be kept.
    fresh_until: Option<Instant>,
    /// Number of addresses that failed since the last list.
    failures: usize,
}

impl AddressBook {
    /// Creates a book of the addresses in the settings.
    pub(super) fn new(seeds: Vec<SocketAddr>) -> AddressBook {
        AddressBook { seeds, known: Vec::new(), fresh_until: None, failures: 0 }
    }

    /// Tells whether the list is to be asked for.
    pub(super) fn is_stale(&self, now: Instant) -> bool {
        self.fresh_until.is_none_or(|until| now >= until)
    }

    /// Returns the addresses to ask for the list, the most promising one first.
    pub(super) fn sources(&self) -> Vec<SocketAddr> {
        let mut sources = self.known.clone();
        sources.extend(self.seeds.iter().filter(|seed| !self.known.contains(seed)));
        sources
    }

    /// Takes a new list.
    pub(super) fn update(&mut self, list: &AddressList, now: Instant) {
        self.known = list.addresses.iter().map(|entry| entry.address).collect();
        self.fresh_until = Some(now + list.keep);
        self.failures = 0;
    }

    /// Returns the address for the next try.
    pub(super) fn current(&self) -> Option<SocketAddr> {
        let sources = self.sources();
        if sources.is_empty() {
            return None;
        }
        Some(sources[self.failures % sources.len()])
    }

    /// Notes that the present address failed; the next try uses another.
    pub(super) fn skip(&mut self) {
        self.failures += 1;
        if self.failures >= self.known.len() {
            self.fresh_until = None;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn address(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    #[test]
    fn failed_address_is_skipped_and_the_list_asked_for_again_after_the_last() {
        let mut book = AddressBook::new(vec![address(9)]);
        let now = Instant::now();
        assert!(book.is_stale(now));
        assert_eq!(book.current(), Some(address(9)));
        let entry = |port| AddressEntry {
            address: address(port),
            failure_domain: FailureDomain::new("zlin").unwrap(),
        };
        let list =
            AddressList { addresses: vec![entry(1), entry(2)], keep: Duration::from_secs(10) };
        book.update(&list, now);
        assert_eq!(book.current(), Some(address(1)));
        book.skip();
        assert!(!book.is_stale(now));
        assert_eq!(book.current(), Some(address(2)));
        book.skip();
        assert!(book.is_stale(now));
        assert_eq!(book.sources(), [address(1), address(2), address(9)]);
    }
}
