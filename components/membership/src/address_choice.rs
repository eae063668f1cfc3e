//! Choice of the router addresses that a caller is given.

use std::time::Duration;

use rand::Rng as _;
use types::FailureDomain;
use utils::Rng;

use crate::{Member, MemberState, MembershipView};

/// Maximum number of addresses in one answer.
pub const ADDRESSES_PER_ANSWER: usize = 4;

/// Requests added to every router's load, so that a difference of a few requests has
/// little effect.
const LOAD_OFFSET: f64 = 4.0;

/// Ratio of the load of the caller's failure domain to the mean load above which some of
/// its callers are sent to other failure domains.
const SPILL_START_RATIO: f64 = 1.0;

/// Ratio of the load of the caller's failure domain to the mean load from which all of its
/// callers are sent to other failure domains.
const SPILL_FULL_RATIO: f64 = 1.1;

/// Decrease of a router's weight per increase of its load by the mean load. The weight at the
/// mean load is 1.
const WEIGHT_SLOPE: f64 = 1.0;

/// Lowest weight of a router, so that an outdated load report does not exclude it.
const WEIGHT_MIN: f64 = 0.1;

/// Highest weight of a router, so that a returning router is not given to more callers than
/// it can serve: callers cache their answers for longer than load reports lag behind.
const WEIGHT_MAX: f64 = 1.25;

/// Returns a random time for which a caller may cache its answer, between half of `longest`
/// and `longest`.
///
/// With a fixed time, callers that asked together would keep asking at the same time.
pub fn random_answer_ttl(longest: Duration, rng: &mut Rng) -> Duration {
    longest.mul_f64(rng.random_range(0.5..=1.0))
}

/// Chooses the routers for a caller in `domain`, in order of preference.
///
/// Only routers that accept new requests are chosen, suspect ones last. The first router
/// is in the caller's failure domain unless that domain is loaded above the mean; the
/// second is in a different failure domain from the first. Less loaded routers are chosen
/// more often.
pub fn choose_addresses<'a>(
    view: &'a MembershipView,
    domain: Option<&FailureDomain>,
    rng: &mut Rng,
) -> Vec<&'a Member> {
    let (mut alive, mut suspect): (Vec<_>, Vec<_>) =
        view.serving().partition(|it| it.state == MemberState::Alive);
    let mut chosen: Vec<&Member> = Vec::new();
    if let Some(first) = draw_first(&mut alive, domain, rng) {
        let is_elsewhere = |it: &Member| it.failure_domain != first.failure_domain;
        chosen.push(first);
        chosen.extend(draw_weighted(&mut alive, is_elsewhere, rng));
    }
    for candidates in [&mut alive, &mut suspect] {
        while chosen.len() < ADDRESSES_PER_ANSWER {
            let Some(next) = draw_weighted(candidates, |_| true, rng) else { break };
            chosen.push(next);
        }
    }
    chosen
}

fn draw_first<'a>(
    candidates: &mut Vec<&'a Member>,
    domain: Option<&FailureDomain>,
    rng: &mut Rng,
) -> Option<&'a Member> {
    let Some(domain) = domain else { return draw_weighted(candidates, |_| true, rng) };
    let is_near = |it: &Member| it.failure_domain == *domain;
    let near: Vec<_> = candidates.iter().copied().filter(|it| is_near(it)).collect();
    let ratio = mean_load(&near) / mean_load(candidates);
    let near_share =
        ((SPILL_FULL_RATIO - ratio) / (SPILL_FULL_RATIO - SPILL_START_RATIO)).clamp(0.0, 1.0);
    let wants_near = !near.is_empty() && rng.random_bool(near_share);
    let is_wanted = |it: &Member| is_near(it) == wants_near;
    draw_weighted(candidates, is_wanted, rng).or_else(|| draw_weighted(candidates, |_| true, rng))
}

/// Removes and returns one of the wanted candidates, chosen at random by weight.
fn draw_weighted<'a>(
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
