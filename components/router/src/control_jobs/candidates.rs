//! Selects the routers that contend for a lease.

use membership::MembershipView;
use utils::stable_hash;

/// Number of routers that contend for one lease, which bounds the reads of its row in a fleet
/// of any size.
const CANDIDATES_PER_LEASE: usize = 8;

/// Reports whether this router contends for the lease of `job`, that is, whether it is among
/// the serving routers with the lowest hashes. Routers need not agree on the candidates,
/// because only the lease's row decides which router holds it.
pub(super) fn is_candidate(job: &str, view: &MembershipView) -> bool {
    let rank_of = |name: &str| stable_hash(&[job.as_bytes(), name.as_bytes()]);
    let own = rank_of(view.local.id.name.as_str());
    let lower_ranked = view.serving().filter(|member| rank_of(member.id.name.as_str()) < own);
    lower_ranked.count() < CANDIDATES_PER_LEASE
}
