//! Picks one router for a task by rendezvous hashing, without messages.

use utils::stable_hash;

use crate::context::RelayContext;

/// Returns the key by which the routers are ranked for a task that concerns `name`.
pub(crate) fn own_rank_key(name: &str) -> u64 {
    stable_hash(&[b"task", name.as_bytes()])
}

/// Reports whether this router is the first in rank for `key` among the live ones.
pub(crate) fn is_first_in_rank(cx: &RelayContext, key: u64) -> bool {
    let rank = |router: &str| stable_hash(&[&key.to_le_bytes(), router.as_bytes()]);
    let own = rank(&cx.settings.name);
    cx.lock_roster().live_processes(cx.now()).iter().all(|it| rank(&it.router) < own)
}
