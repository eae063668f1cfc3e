//! Generator of the requests of a run.

use std::time::Duration;

use rand::Rng as _;
use types::{Timestamp, Tokens};
use utils::seeded_rng;

/// Time in which the requests of a run arrive.
pub(super) const RUN_TIME: Duration = Duration::from_secs(1_800);

/// Requests per second of each account: a few large accounts and several small ones.
const RATES_PER_S: [f64; 10] = [6.0, 4.0, 3.0, 1.0, 0.5, 0.5, 0.3, 0.2, 0.1, 0.1];

/// Number of accounts.
pub(super) const ACCOUNTS: usize = RATES_PER_S.len();

/// A request of a run.
#[derive(Debug, Clone)]
pub(super) struct Request {
    /// Arrival time.
    pub(super) at: Timestamp,
    /// Index of the account that pays for it.
    pub(super) account: usize,
    /// Index of the router that its caller prefers.
    pub(super) router: usize,
    /// Largest number of tokens that it can use, which is the number to reserve.
    pub(super) max_tokens: Tokens,
    /// Tokens that it uses.
    pub(super) used: Tokens,
    /// Time for which it runs.
    pub(super) run_time: Duration,
}

/// Draws the requests of a run at random, in the order of their arrival.
pub(super) fn draw_requests(seed: u64, routers: usize) -> Vec<Request> {
    let mut rng = seeded_rng(seed);
    let mut requests = Vec::new();
    for (account, rate) in RATES_PER_S.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at -= rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
            if at >= RUN_TIME.as_secs_f64() {
                break;
            }
            let prompt = rng.random_range(100..600);
            let max_output = rng.random_range(300..2_000);
            let output = max_output * rng.random_range(10..90) / 100;
            requests.push(Request {
                at: Timestamp::ZERO + Duration::from_secs_f64(at),
                account,
                router: rng.random_range(0..routers),
                max_tokens: Tokens(prompt + max_output),
                used: Tokens(prompt + output),
                run_time: Duration::from_millis(500 + output * 26),
            });
        }
    }
    requests.sort_by_key(|req| req.at);
    requests
}

/// Returns the tokens that the requests use, by account.
pub(super) fn used_by_account(requests: &[Request]) -> [u64; ACCOUNTS] {
    let mut used_by_account = [0; ACCOUNTS];
    for req in requests {
        used_by_account[req.account] += req.used.0;
    }
    used_by_account
}
