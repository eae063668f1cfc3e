//! Tokens that this router has asked others for, or was asked for.

use std::{net::SocketAddr, time::Duration};

use rand::Rng as _;
use types::Timestamp;
use utils::{HashMap, Rng};

use super::LoanMessage;

/// Time for which an answer to a request is taken, and for which a message is recognized
/// that arrives twice. Later ones are so rare that their tokens may be lost.
const ANSWER_TIME: Duration = Duration::from_secs(10);

/// Time for which a request waits for a commit or a declaration: its borrower's request
/// waits no longer.
const KEPT_TIME: Duration = Duration::from_millis(150);

/// Requests that wait at most.
const KEPT_MAX: usize = 256;

/// Loans that are not settled between this router and others. Each message counts once, so
/// that a datagram that arrives twice moves its tokens once.
#[derive(Debug, Default)]
pub struct Loans {
    /// Times of this router's requests by their number, until they are answered.
    open: HashMap<u64, Timestamp>,
    /// Times at which requests and returns of other routers arrived, by number.
    seen: HashMap<u64, Timestamp>,
    /// Requests of other routers that wait for a commit or a declaration.
    kept: Vec<(LoanMessage, SocketAddr, Timestamp)>,
}

impl Loans {
    /// Draws the number of a request to one lender.
    pub fn begin(&mut self, now: Timestamp, rng: &mut Rng) -> u64 {
        let number = rng.random();
        self.open.insert(number, now);
        number
    }

    /// Tells whether a request is not answered yet.
    pub fn is_open(&self, number: u64) -> bool {
        self.open.contains_key(&number)
    }

    /// Takes the answer to a request; false where it was taken before or never asked for.
    pub fn take(&mut self, number: u64) -> bool {
        self.open.remove(&number).is_some()
    }

    /// Notes a request or a return of another router; false where it has arrived before.
    pub fn record_arrival(&mut self, number: u64, now: Timestamp) -> bool {
        self.seen.insert(number, now).is_none()
    }

    /// Keeps a request of another router until [`take_kept`](Self::take_kept).
    pub fn keep(&mut self, request: LoanMessage, borrower: SocketAddr, now: Timestamp) {
        if self.kept.len() < KEPT_MAX {
            self.kept.push((request, borrower, now));
        }
    }

    /// Returns the requests that were kept and have not been given up.
    pub fn take_kept(&mut self, now: Timestamp) -> Vec<(LoanMessage, SocketAddr)> {
        let kept = std::mem::take(&mut self.kept);
        let waiting = kept.into_iter().filter(|(_, _, at)| now.since(*at) < KEPT_TIME);
        waiting.map(|(request, borrower, _)| (request, borrower)).collect()
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Timestamp) {
        self.open.retain(|_, at| now.since(*at) < ANSWER_TIME);
        self.seen.retain(|_, at| now.since(*at) < ANSWER_TIME);
    }
}
