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
mod tests {
    use types::{AccountName, RequestId};

    use super::*;

    #[test]
    fn loss_of_a_member_moves_only_its_own_ids() {
        let names: Vec<_> =
            (0..8).map(|n| RouterName::new(&format!("router-{n}")).unwrap()).collect();
        let account = AccountName::new("cooperative").unwrap();
        let mut moved = 0;
        for n in 0..800 {
            let id = RequestId::new(&format!("order-{n}")).unwrap();
            let key = RequestKey::new(account.clone(), id);
            let before = find_home(&key, names.iter()).unwrap();
            let after = find_home(&key, names.iter().skip(1)).unwrap();
            assert!(before == after || *before == names[0]);
            moved += usize::from(before != after);
        }
        assert!((50..200).contains(&moved), "{moved}");
    }
}
