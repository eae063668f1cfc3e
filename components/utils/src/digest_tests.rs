//! Tests of `digest`.

use super::*;

#[test]
fn digest_survives_a_round_trip_through_text() {
    let digest = Digest::from_content(b"barrel");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!(Digest::from_hex("00").is_none());
}

#[test]
fn stable_hash_separates_its_parts() {
    assert_ne!(stable_hash(&[b"ab", b"c"]), stable_hash(&[b"a", b"bc"]));
}
