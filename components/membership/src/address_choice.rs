//! Choice of the addresses that a caller is given.

use std::time::Duration;

use rand::Rng as _;
use types::FailureDomain;
use utils::Rng;

use crate::{Member, MemberState, MembershipView};

/// Addresses in one answer.
pub const ADDRESSES_PER_ANSWER: usize = 4;

/// Load that is added to all loads, so that a few requests more or less do not count.
const LOAD_OFFSET: f64 = 4.0;

/// Load of the caller's failure domain, as a multiple of the mean, from which on some of
/// its callers are sent elsewhere.
const SPILL_FROM: f64 = 1.0;

/// Load of the caller's failure domain, as a multiple of the mean, from which on all of
/// its callers are sent elsewhere.
const SPILL_ALL: f64 = 1.1;

/// Increase of a router's weight for each multiple of the mean by which its load is lower.
const WEIGHT_SLOPE: f64 = 1.0;

/// Least weight of a router, so that it is not left out for an old report of its load.
const WEIGHT_MIN: f64 = 0.1;

/// Greatest weight of a router, so that one that comes back is not given to more callers
/// than it can keep: their answers are kept for longer than reports of load lag.
const WEIGHT_MAX: f64 = 1.25;

/// Draws the time for which a caller may keep its answer, from half of `longest` on.
///
/// Callers that asked together would otherwise ask together again and again.
pub fn random_answer_ttl(longest: Duration, rng: &mut Rng) -> Duration {
    longest.mul_f64(rng.random_range(0.5..=1.0))
}

/// Chooses the routers for a caller in `domain`, the preferred one first.
///
/// Only routers that take new requests are chosen; suspected ones last. The first is in
/// the caller's failure domain, unless that carries more than its share of the load; the
/// second is in another one. Less loaded routers are drawn more often.
pub fn choose_addresses<'a>(
    view: &'a MembershipView,
    domain: Option<&FailureDomain>,
    rng: &mut Rng,
) -> Vec<&'a Member> {
    let (mut alive, mut suspect): (Vec<_>, Vec<_>) =
        view.serving().partition(|it| it.state == MemberState::Alive);
    let mut chosen: Vec<&Member> = Vec::new();
    if let Some(first) = take_first(&mut alive, domain, rng) {
        let is_elsewhere = |it: &Member| it.failure_domain != first.failure_domain;
        chosen.push(first);
        chosen.extend(take_weighted(&mut alive, is_elsewhere, rng));
    }
    for candidates in [&mut alive, &mut suspect] {
        while chosen.len() < ADDRESSES_PER_ANSWER {
            let Some(next) = take_weighted(candidates, |_| true, rng) else { break };
            chosen.push(next);
        }
    }
    chosen
}

fn take_first<'a>(
    candidates: &mut Vec<&'a Member>,
    domain: Option<&FailureDomain>,
    rng: &mut Rng,
) -> Option<&'a Member> {
    let Some(domain) = domain else { return take_weighted(candidates, |_| true, rng) };
    let is_near = |it: &Member| it.failure_domain == *domain;
    let near: Vec<_> = candidates.iter().copied().filter(|it| is_near(it)).collect();
    let ratio = mean_load(&near) / mean_load(candidates);
    let near_share = ((SPILL_ALL - ratio) / (SPILL_ALL - SPILL_FROM)).clamp(0.0, 1.0);
    let wants_near = !near.is_empty() && rng.random_bool(near_share);
    let is_wanted = |it: &Member| is_near(it) == wants_near;
    take_weighted(candidates, is_wanted, rng).or_else(|| take_weighted(candidates, |_| true, rng))
}

/// Draws one of the candidates that are wanted and removes it.
fn take_weighted<'a>(
    candidates: &mut Vec<&'a Member>,
    is_wanted: impl Fn(&Member) -> bool,
    rng: &mut Rng,
) -> Option<&'a Member> {
    let wanted: Vec<_> = (0..candidates.len()).filter(|&it| is_wanted(candidates[it])).collect();
    let members: Vec<_> = wanted.iter().map(|&it| candidates[it]).collect();
    let mean = mean_load(&members);
    let weight = |it: &Member| {
        let excess = load(it) / mean - 1.0;
        (1.0 - WEIGHT_SLOPE * excess).clamp(WEIGHT_MIN, WEIGHT_MAX)
    };
    let total: f64 = members.iter().map(|it| weight(it)).sum();
    let mut left = rng.random::<f64>() * total;
    let last = wanted.len().checked_sub(1)?;
    let drawn = members.iter().position(|it| {
        left -= weight(it);
        left < 0.0
    });
    Some(candidates.swap_remove(wanted[drawn.unwrap_or(last)]))
}

fn load(member: &Member) -> f64 {
    f64::from(member.load) + LOAD_OFFSET
}

fn mean_load(members: &[&Member]) -> f64 {
    let sum: f64 = members.iter().map(|it| load(it)).sum();
    sum / members.len().max(1) as f64
}
