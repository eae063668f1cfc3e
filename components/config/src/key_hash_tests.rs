//! Tests of `key_hash`.

use crate::ApiKey;

#[test]
fn hash_matches_only_its_own_key() {
    let hash = ApiKey::new("correct horse battery staple").hash();
    assert!(hash.matches(&ApiKey::new("correct horse battery staple").hash()));
    assert!(!hash.matches(&ApiKey::new("correct horse battery stapl").hash()));
}
