//! Routers that are cut off from all endpoints, and the check that they serve their callers all the
//! same.

use std::{collections::BTreeSet, time::Duration};

use rand::Rng as _;
use tokio::time::Instant;
use utils::Rng;

use crate::{
    callers::RequestKind,
    outcome::{RequestEnd, RequestOutcome},
    support::Cut,
    world::{CONTACT_TIME, SoakFleet},
};

/// First tries that may fail at cut-off routers in any case, besides one in
/// [`FAILED_TRIES_RATIO`] of all.
const FAILED_TRIES_MAX: usize = 10;
const FAILED_TRIES_RATIO: usize = 50;

/// Number of failure domains; the routers are dealt to them in turn.
pub(crate) const FAILURE_DOMAINS: [&str; 2] = ["zlin", "kromeriz"];

/// A period in which some routers are cut off from all endpoints.
#[derive(Debug)]
pub(crate) struct CutPeriod {
    pub(crate) routers: BTreeSet<usize>,
    pub(crate) cut: Cut,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// Plans a cut that lasts beyond [`CONTACT_TIME`], and another one. No router is in both, and one is
/// in neither.
pub(crate) fn plan(start: Instant, routers: usize, rng: &mut Rng) -> Vec<CutPeriod> {
    let survivor = rng.random_range(0..routers);
    let mut cut_off = BTreeSet::from([survivor]);
    let mut cuts = Vec::new();
    for (begin, length) in [(300..2_500, 4_000..6_500), (3_500..7_000, 500..5_000)] {
        let from = start + Duration::from_millis(rng.random_range(begin));
        let until = from + Duration::from_millis(rng.random_range(length));
        let cut = Cut::ALL[rng.random_range(0..Cut::ALL.len())];
        let (kind, one) = (rng.random_range(0..3), rng.random_range(0..routers));
        let share = rng.random_range(0.2..0.8);
        let mut chosen: BTreeSet<usize> = (0..routers).collect();
        chosen.retain(|it| match kind {
            0 => *it == one,
            1 => rng.random_bool(share),
            _ => (*it + survivor) % FAILURE_DOMAINS.len() == 1,
        });
        chosen.retain(|it| cut_off.insert(*it));
        if !chosen.is_empty() {
            cuts.push(CutPeriod { routers: chosen, cut, from, until });
        }
    }
    cuts
}

/// Checks that from [`CONTACT_TIME`] after a cut began, callers' first tries are served about as
/// often at the cut-off routers as at the others. Only routers in touch count, and only while another
/// router is in touch, through which endpoints can be reached. Returns the failures.
pub(crate) fn check(fleet: &SoakFleet, outcomes: &[RequestOutcome]) -> Vec<String> {
    let mut failures = Vec::new();
    for cut in &fleet.cuts {
        let counted = cut.from + CONTACT_TIME..cut.until;
        let tries = outcomes.iter().filter(|it| {
            let is_sound = !matches!(it.kind, RequestKind::Crashing | RequestKind::Brittle);
            let is_first = it.resumes.is_none() && is_sound;
            let is_counted = is_first && counted.contains(&it.sent_at) && fleet.is_in_touch(it);
            is_counted && has_path(fleet, cut, it)
        });
        let is_in_cut = |it: &&RequestOutcome| {
            cut.routers.iter().any(|router| fleet.routers[*router].caller_address == it.router)
        };
        let (there, others): (Vec<_>, Vec<_>) = tries.partition(is_in_cut);
        let others = others.into_iter().filter(|it| !fleet.was_cut_off(it));
        let (served, tried) = count(there.into_iter());
        let (others_served, others_tried) = count(others);
        let failed_max = FAILED_TRIES_MAX + (tried + others_tried) / FAILED_TRIES_RATIO;
        let text = format!(
            "routers {:?} cut off ({:?}) served {served} of {tried} first tries, the others {others_served} of {others_tried}",
            cut.routers, cut.cut
        );
        println!("{text}");
        let is_worse = 3 * served * others_tried < 2 * others_served * tried;
        if is_worse && tried - served > failed_max {
            failures.push(text);
        }
    }
    failures
}

/// Returns whether a router that was not cut off was in touch from [`CONTACT_TIME`] before a request to
/// its end.
fn has_path(fleet: &SoakFleet, cut: &CutPeriod, outcome: &RequestOutcome) -> bool {
    let (from, until) = (outcome.sent_at - CONTACT_TIME, outcome.ended_at);
    let mut others = (0..fleet.routers.len()).filter(|it| !cut.routers.contains(it));
    others.any(|it| {
        let router = fleet.routers[it].caller_address;
        !fleet.stopped.overlap(&router, from, until) && !fleet.was_cut(router, from, until)
    })
}

/// Returns how many requests were served, and their number.
fn count<'a>(tries: impl Iterator<Item = &'a RequestOutcome>) -> (usize, usize) {
    let tries: Vec<_> = tries.collect();
    let is_served = |it: &&&RequestOutcome| it.end == RequestEnd::Left || it.status() == Some(200);
    (tries.iter().filter(is_served).count(), tries.len())
}
