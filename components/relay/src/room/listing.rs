//! Draws the routers for a list of addresses: a weighted sample in which a router's chance follows the
//! square of its room.
//!
//! Callers keep a list for seconds and pick one of its addresses for each connection, each with the same
//! probability. With lists of all routers, a host with a twentieth of the bandwidth gets as many
//! connections as any other, and one busy caller fills its link. Short lists, drawn anew for each answer,
//! give each router the share of the connections that its room allows, and the next list moves callers
//! away from a router that has filled up. The square, because all connections of a busy caller may lead to one
//! router: a small one is both filled by fewer callers and worth less to them. Lists must not be longer than
//! the number of large routers by much, or small ones fill them.

use std::sync::Arc;

use rand::Rng as _;
use utils::{HashMap, Rng};

use super::RouterRoom;

/// Number of routers in a list. A caller goes on with the others if some of them fail within the time
/// for which it keeps the list.
const LISTED: usize = 4;

/// Weight of routers in other failure domains than the caller's, to which each request takes longer.
const FAR_WEIGHT_MIN: f64 = 0.25;

/// Share of a failure domain's capacity in use from which the weight of other domains' routers rises.
const HELP_FROM_SHARE: f64 = 0.35;

/// Share in use from which routers of other domains are listed as readily as its own.
const HELP_FULLY_SHARE: f64 = 0.7;

/// Share in use below which no router is crowded.
const CROWDED_SHARE_MIN: f64 = 0.6;

/// Multiple of the fleet's mean share in use above which a router is crowded.
const CROWDED_FACTOR: f64 = 1.5;

/// A router that may be listed.
#[derive(Debug, Clone)]
pub struct ListedRouter {
    /// Failure domain of its host.
    pub failure_domain: Arc<str>,
    /// Limits of its host, and what it uses of them.
    pub room: RouterRoom,
}

/// Returns what a router's host carries, for the comparison of routers.
type Capacity = fn(&RouterRoom) -> f64;

/// Returns the capacity that all routers state: the bandwidth of their links, otherwise that of their
/// processors.
fn capacity_of(rooms: impl Iterator<Item = RouterRoom>) -> Capacity {
    let mut rooms = rooms;
    if rooms.all(|it| it.link_bytes_per_s.is_some()) {
        |it| it.link_bytes_per_s.unwrap_or_default()
    } else {
        |it| it.processor_millis
    }
}

/// Returns whether room counts: the hosts differ in their links, or in their processors if not all of
/// them state a link.
pub fn is_drawn_by_room(rooms: &[RouterRoom]) -> bool {
    let capacity = capacity_of(rooms.iter().copied());
    let Some(first) = rooms.first() else { return false };
    rooms.iter().any(|it| (capacity(it) - capacity(first)).abs() > f64::EPSILON)
}

/// Returns whether a router uses so much more of its host than the others that its callers should
/// reconnect.
pub fn is_crowded(own: &RouterRoom, fleet: &[RouterRoom]) -> bool {
    let capacity = capacity_of(fleet.iter().copied());
    let all: f64 = fleet.iter().map(capacity).sum();
    let used: f64 = fleet.iter().map(|it| capacity(it) * it.used_share().0.min(1.0)).sum();
    let own = own.used_share().0;
    own >= CROWDED_SHARE_MIN && own > used / all.max(f64::MIN_POSITIVE) * CROWDED_FACTOR
}

/// Returns the indices of the routers to list for a caller in `failure_domain`, in the order in which
/// they were drawn. Routers of the caller's domain are preferred as long as its room suffices.
pub fn draw_list(
    routers: &[ListedRouter],
    failure_domain: Option<&str>,
    rng: &mut Rng,
) -> Vec<usize> {
    let capacity = capacity_of(routers.iter().map(|it| it.room));
    let help = failure_domain.map_or(1.0, |it| help_share(routers, capacity, it));
    let is_near = |it: &ListedRouter| failure_domain.is_none_or(|own| *it.failure_domain == *own);
    let mut drawn: Vec<(f64, usize)> = routers
        .iter()
        .enumerate()
        .map(|(index, it)| {
            let room = capacity(&it.room) * it.room.free_share();
            let weight = room * room * if is_near(it) { 1.0 } else { help.max(FAR_WEIGHT_MIN) };
            // The smallest of exponentially distributed numbers with rates as the weights.
            let key = -(1.0 - rng.random::<f64>()).ln() / weight.max(f64::MIN_POSITIVE);
            (key, index)
        })
        .collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
    drawn.into_iter().take(LISTED).map(|it| it.1).collect()
}

/// Returns how readily routers of other failure domains are listed for callers in `failure_domain`, from
/// 0 to 1.
fn help_share(routers: &[ListedRouter], capacity: Capacity, failure_domain: &str) -> f64 {
    let mut domains: HashMap<&str, (f64, f64)> = HashMap::default();
    for it in routers {
        let (total, used) = domains.entry(&it.failure_domain).or_default();
        *total += capacity(&it.room);
        *used += capacity(&it.room) * it.room.used_share().0.min(1.0);
    }
    let Some((own_capacity, own_used)) = domains.get(failure_domain).copied() else { return 1.0 };
    let mean_capacity = domains.values().map(|it| it.0).sum::<f64>() / domains.len().max(1) as f64;
    // A domain that has lost most of its routers cannot carry its usual load, which is not seen yet.
    let lost = 1.0 - own_capacity / mean_capacity.max(f64::MIN_POSITIVE);
    let used = (own_used / own_capacity.max(f64::MIN_POSITIVE)).max(lost);
    ((used - HELP_FROM_SHARE) / (HELP_FULLY_SHARE - HELP_FROM_SHARE)).clamp(0.0, 1.0)
}
