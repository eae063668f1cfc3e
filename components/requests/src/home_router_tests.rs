//! Tests of `home_router`.

use types::{AccountName, RequestId};

use super::*;

#[test]
fn loss_of_a_member_moves_only_its_own_ids() {
    let names: Vec<_> = (0..8).map(|n| RouterName::new(&format!("router-{n}")).unwrap()).collect();
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
