//! Choice of the routers that draw accounts' tokens from the store.
//!
//! A commit on an account's row fails if another router has changed the row in the meantime. In a
//! large fleet only a few routers therefore draw tokens, and the others borrow from them what their
//! requests need.

use std::sync::Arc;

use utils::{HashMap, stable_hash};

/// Maximum number of routers that draw tokens. With more, commits on the same row conflict; with
/// fewer, more tokens are lost with each router that never restarts.
pub const HOLDERS_MAX: usize = 8;

/// Returns the only holder that draws an account's tokens when few are left. All routers that know
/// the same holders choose the same one.
pub fn sole_holder<'a>(account: &str, holders: &'a [Arc<str>]) -> Option<&'a Arc<str>> {
    holders.iter().max_by_key(|it| (stable_hash(&[account.as_bytes(), it.as_bytes()]), *it))
}

/// How a router obtains the tokens that it lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Role {
    /// It draws tokens from the store and lends them.
    #[default]
    Holder,
    /// It borrows tokens from holders.
    Borrower,
    /// It does not know the other routers yet and draws only the tokens that requests wait for.
    Undecided,
}

/// A router that may become a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderCandidate {
    /// Name of the router.
    pub name: Arc<str>,
    /// Failure domain of the router.
    pub failure_domain: Arc<str>,
    /// Processor capacity of the router, in thousandths of a core.
    pub processor_millis: u32,
}

/// Returns the names of the holders among the candidates, which include this router: those with the
/// most processor capacity, spread over the failure domains. All routers with the same view of the
/// fleet choose the same ones.
pub fn choose_holders(candidates: &[HolderCandidate]) -> Vec<Arc<str>> {
    let mut ranked: Vec<(&HolderCandidate, u64)> =
        candidates.iter().map(|it| (it, stable_hash(&[it.name.as_bytes()]))).collect();
    ranked.sort_unstable_by(|(a, a_hash), (b, b_hash)| {
        (b.processor_millis, a_hash, &a.name).cmp(&(a.processor_millis, b_hash, &b.name))
    });
    let mut seen: HashMap<(u32, &str), usize> = HashMap::default();
    let mut spread: Vec<(usize, &HolderCandidate)> = Vec::with_capacity(ranked.len());
    for (candidate, _) in ranked {
        let rank = seen
            .entry((candidate.processor_millis, &candidate.failure_domain))
            .and_modify(|it| *it += 1)
            .or_default();
        spread.push((*rank, candidate));
    }
    // The sort is stable: candidates that compare equal stay in the order of their hashes.
    spread.sort_by(|(a_rank, a), (b_rank, b)| {
        (b.processor_millis, a_rank).cmp(&(a.processor_millis, b_rank))
    });
    spread.into_iter().take(HOLDERS_MAX).map(|(_, it)| it.name.clone()).collect()
}
