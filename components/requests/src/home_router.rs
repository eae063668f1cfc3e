//! Assignment of request ids to home routers.

use types::{RequestKey, RouterName};
use utils::stable_hash;

/// Number of slots that request ids are hashed to.
const SLOTS: u64 = 16_384;

/// Returns the home router of `key` among `members`, or `None` if there are no members. Uses
/// rendezvous hashing, so that a change of members moves only the slots of the members that joined
/// or left.
pub fn find_home<'a>(
    key: &RequestKey,
    members: impl Iterator<Item = &'a RouterName>,
) -> Option<&'a RouterName> {
    let slot = stable_hash(&[key.account.as_str().as_bytes(), key.id.as_str().as_bytes()]) % SLOTS;
    let slot = slot.to_le_bytes();
    members.max_by_key(|name| (stable_hash(&[name.as_str().as_bytes(), &slot]), name.as_str()))
}

#[cfg(test)]
#[path = "home_router_tests.rs"]
mod tests;
