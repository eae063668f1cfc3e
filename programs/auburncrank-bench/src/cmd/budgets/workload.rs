//! The requests of a run.

use std::time::Duration;

use rand::Rng as _;
use types::{Timestamp, Tokens};
use utils::seeded_rng;

/// Length of a run.
pub(super) const SPAN: Duration = Duration::from_secs(1_800);

/// Requests a second of each account: a few large ones and small ones.
const RATES: [f64; 10] = [6.0, 4.0, 3.0, 1.0, 0.5, 0.5, 0.3, 0.2, 0.1, 0.1];

/// Number of accounts.
pub(super) const ACCOUNTS: usize = RATES.len();

/// A request of a run.
#[derive(Debug, Clone)]
pub(super) struct Request {
    /// When it arrives.
    pub(super) at: Timestamp,
    /// Account that pays.
    pub(super) account: usize,
    /// Router that its caller prefers.
    pub(super) router: usize,
    /// Most tokens that it can use.
    pub(super) worst: Tokens,
    /// Tokens that it uses.
    pub(super) used: Tokens,
    /// Time that it runs.
    pub(super) runs_for: Duration,
}

/// Draws the requests of a run, in the order of their arrival.
pub(super) fn draw_requests(seed: u64, routers: usize) -> Vec<Request> {
    let mut rng = seeded_rng(seed);
    let mut requests = Vec::new();
    for (account, rate) in RATES.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at -= rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
            if at >= SPAN.as_secs_f64() {
                break;
            }
            let prompt = rng.random_range(100..600);
            let most = rng.random_range(300..2_000);
            let answer = most * rng.random_range(10..90) / 100;
            requests.push(Request {
                at: Timestamp::ZERO + Duration::from_secs_f64(at),
                account,
                router: rng.random_range(0..routers),
                worst: Tokens(prompt + most),
                used: Tokens(prompt + answer),
                runs_for: Duration::from_millis(500 + answer * 26),
            });
        }
    }
    requests.sort_by_key(|req| req.at);
    requests
}

/// Returns the tokens that the requests of each account use.
pub(super) fn demand(requests: &[Request]) -> [u64; ACCOUNTS] {
    let mut demand = [0; ACCOUNTS];
    for req in requests {
        demand[req.account] += req.used.0;
    }
    demand
}
