//! Tests the detection of crowded routers, and how far a caller that sends much of the traffic on
//! few connections spreads over the routers.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use rand::Rng as _;
use relay::peers::RouterLoad;
use utils::seeded_rng;

fn load(arrivals_per_s: f64, processor_millis: u32) -> RouterLoad {
    RouterLoad { arrivals_per_s, processor_millis }
}

fn is_crowded(fleet: &[RouterLoad], index: usize) -> bool {
    fleet[index].is_crowded(RouterLoad::mean(fleet))
}

#[test]
fn equal_shares_crowd_no_router() {
    let fleet = vec![load(40.0, 250); 8];
    assert!((0..8).all(|index| !is_crowded(&fleet, index)));
    assert!(!is_crowded(&fleet[..1], 0), "a single router is never crowded");
}

#[test]
fn small_host_with_an_equal_share_is_not_crowded() {
    let mut fleet = vec![load(12.0, 120); 67];
    fleet.extend(vec![load(12.0, 500); 8]);
    assert!((0..75).all(|index| !is_crowded(&fleet, index)));
}

#[test]
fn few_requests_crowd_no_router() {
    let mut fleet = vec![load(0.0, 250); 7];
    fleet.push(load(10.0, 250));
    assert!(!is_crowded(&fleet, 7));
}

/// Returns the largest share of the requests that one router receives in the last of 60 simulated
/// seconds. With `closes`, crowded routers close the connections of the hot caller.
fn largest_share(closes: bool) -> f64 {
    const ROUTERS: usize = 75;
    let mut rng = seeded_rng(4);
    // The hot caller sends a fifth of all requests on ten connections. The other callers send the
    // rest on connections that are spread evenly.
    let mut hot: Vec<usize> = vec![7; 10];
    let mut arrivals = vec![0.0; ROUTERS];
    for _ in 0..60 {
        arrivals = vec![0.0; ROUTERS];
        for request in 0..440 {
            let is_hot = request % 5 == 0;
            let connection = rng.random_range(0..hot.len());
            let router = if is_hot { hot[connection] } else { rng.random_range(0..ROUTERS) };
            arrivals[router] += 1.0;
        }
        let fleet: Vec<RouterLoad> = arrivals.iter().map(|it| load(*it, 120)).collect();
        let mean = RouterLoad::mean(&fleet);
        for connection in &mut hot {
            if closes && fleet[*connection].is_crowded(mean) {
                *connection = rng.random_range(0..ROUTERS);
            }
        }
    }
    arrivals.iter().copied().fold(0.0, f64::max) / 440.0
}

#[test]
fn hot_caller_is_spread_where_crowded_routers_close_its_connections() {
    assert!(largest_share(false) > 0.18);
    assert!(largest_share(true) < 0.08, "{}", largest_share(true));
}
