//! Choice of the routers that draw accounts' tokens from the store.
//!
//! A commit on an account's row fails where another router changed the row meanwhile. In a
//! large fleet a few routers therefore draw the tokens, and the others borrow from them what
//! a request needs.

use std::sync::Arc;

use utils::{HashMap, stable_hash};

/// Routers that draw tokens at most. With more, commits on the same row conflict; with
/// fewer, more tokens are lost with each router that never comes back.
pub const HOLDERS_MAX: usize = 8;

/// Returns the holder that keeps the last tokens of an account together: the same on every
/// router that knows the same holders.
pub fn last_holder<'a>(account: &str, holders: &'a [Arc<str>]) -> Option<&'a Arc<str>> {
    holders.iter().max_by_key(|it| (stable_hash(&[account.as_bytes(), it.as_bytes()]), *it))
}

/// What a router does about tokens that it lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Role {
    /// It draws them from the store and lends them.
    #[default]
    Holder,
    /// It borrows them from holders.
    Borrower,
    /// It does not know the other routers yet, and draws only what requests wait for.
    Undecided,
}

/// A router that may become a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderCandidate {
    /// Name.
    pub name: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Processor that it has, in thousandths of a core.
    pub processor_millis: u32,
}

/// Returns the names of the holders among the routers, this one included: those with the
/// most processor, spread over the failure domains. All routers with the same view of the
/// fleet find the same ones.
pub fn choose_holders(candidates: &[HolderCandidate]) -> Vec<Arc<str>> {
    let mut ranked: Vec<(&HolderCandidate, u64)> =
        candidates.iter().map(|it| (it, stable_hash(&[it.name.as_bytes()]))).collect();
    ranked.sort_unstable_by(|(a, a_hash), (b, b_hash)| {
        (b.processor_millis, a_hash, &a.name).cmp(&(a.processor_millis, b_hash, &b.name))
    });
    let mut seen: HashMap<(u32, &str), usize> = HashMap::default();
    let mut spread: Vec<(usize, &HolderCandidate)> = Vec::with_capacity(ranked.len());
    for (candidate, _) in ranked {
        let place = seen
            .entry((candidate.processor_millis, &candidate.failure_domain))
            .and_modify(|it| *it += 1)
            .or_default();
        spread.push((*place, candidate));
    }
    // The sort is stable: equal ones keep the order of their hashes.
    spread.sort_by(|(a_place, a), (b_place, b)| {
        (b.processor_millis, a_place).cmp(&(a.processor_millis, b_place))
    });
    spread.into_iter().take(HOLDERS_MAX).map(|(_, it)| it.name.clone()).collect()
}
