//! Loan requests between this router and others that are not settled yet.

use std::{net::SocketAddr, time::Duration};

use rand::Rng as _;
use types::Timestamp;
use utils::{HashMap, Rng};

use super::LoanMessage;

/// Time for which the answer to a request is accepted and a duplicate message is recognized.
/// Later messages are so rare that losing their tokens is acceptable.
const REPLY_WINDOW: Duration = Duration::from_secs(10);

/// Time for which a loan request waits for a commit or a declaration. The caller's request that
/// needs the tokens does not wait longer.
const DEFERRAL_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of deferred requests; further ones are dropped.
const DEFERRED_MAX: usize = 256;

/// Loans between this router and others that are not settled. Each message is processed once, so
/// that a duplicate datagram does not move its tokens twice.
#[derive(Debug, Default)]
pub struct PendingLoans {
    /// When this router sent its unanswered requests, by request number.
    open: HashMap<u64, Timestamp>,
    /// When requests and returns of other routers arrived, by message number.
    seen: HashMap<u64, Timestamp>,
    /// Requests of other routers that wait for a commit or a declaration, with the borrower's
    /// address and the time of arrival.
    deferred: Vec<(LoanMessage, SocketAddr, Timestamp)>,
}

impl PendingLoans {
    /// Registers a request to one lender and returns its random number.
    pub fn begin(&mut self, now: Timestamp, rng: &mut Rng) -> u64 {
        let number = rng.random();
        self.open.insert(number, now);
        number
    }

    /// Returns whether a request has not been answered yet.
    pub fn is_open(&self, number: u64) -> bool {
        self.open.contains_key(&number)
    }

    /// Marks a request as answered. Returns false if it is not open: it was never made, was
    /// already answered, or has expired.
    pub fn close(&mut self, number: u64) -> bool {
        self.open.remove(&number).is_some()
    }

    /// Records the arrival of a request or a return of another router. Returns false if the same
    /// message has arrived before.
    pub fn record_arrival(&mut self, number: u64, now: Timestamp) -> bool {
        self.seen.insert(number, now).is_none()
    }

    /// Defers a request of another router until [`take_deferred`](Self::take_deferred). The
    /// request is dropped if too many wait.
    pub fn defer(&mut self, request: LoanMessage, borrower: SocketAddr, now: Timestamp) {
        if self.deferred.len() < DEFERRED_MAX {
            self.deferred.push((request, borrower, now));
        }
    }

    /// Removes all deferred requests and returns those whose borrowers still wait.
    pub fn take_deferred(&mut self, now: Timestamp) -> Vec<(LoanMessage, SocketAddr)> {
        let deferred = std::mem::take(&mut self.deferred);
        let waiting = deferred.into_iter().filter(|(_, _, at)| now.since(*at) < DEFERRAL_TIMEOUT);
        waiting.map(|(request, borrower, _)| (request, borrower)).collect()
    }

    /// Removes expired requests and records of arrivals.
    pub fn expire(&mut self, now: Timestamp) {
        self.open.retain(|_, at| now.since(*at) < REPLY_WINDOW);
        self.seen.retain(|_, at| now.since(*at) < REPLY_WINDOW);
    }
}
