//! Which routers contend for a lease.

use membership::MembershipView;
use utils::stable_hash;

/// Routers that contend for one lease, so that the reads of its row stay few in a fleet
/// of any size.
const CANDIDATES: usize = 8;

/// Tells whether this router contends for the lease of `job`: it is among the serving
/// routers with the lowest hashes. The choice needs no agreement; the lease's row alone
/// decides who holds it.
pub(super) fn is_candidate(job: &str, view: &MembershipView) -> bool {
    let rank_of = |name: &str| stable_hash(&[job.as_bytes(), name.as_bytes()]);
    let own = rank_of(view.local.id.name.as_str());
    let better = view.serving().filter(|member| rank_of(member.id.name.as_str()) < own);
    better.count() < CANDIDATES
}
