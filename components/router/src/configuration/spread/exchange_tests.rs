//! Tests of `exchange`.

use std::sync::Arc;

use super::*;

fn version(number: u64) -> Config {
    let fingerprint = Digest::from_content(&number.to_le_bytes()).to_string();
    let quarantine = [fingerprint].into();
    Config { version: ConfigVersion(number), quarantine, ..Config::default() }
}

#[test]
fn router_gets_changes_if_its_version_is_known_and_the_full_configuration_otherwise() {
    let mut history = ConfigHistory::default();
    [2, 3, 4].into_iter().for_each(|it| history.push(Arc::new(version(it))));
    for (base, expected_base) in [(3, 3), (2, 2), (1, 0), (0, 0)] {
        let answer = create_answer(&version(4), ConfigVersion(base), &history).unwrap();
        assert_eq!(answer.base, expected_base);
        assert_eq!(read_answer(&answer, &version(base)).unwrap(), version(4));
    }
}

#[test]
fn answer_with_another_base_or_digest_is_refused() {
    let mut history = ConfigHistory::default();
    [2, 3].into_iter().for_each(|it| history.push(Arc::new(version(it))));
    let answer = create_answer(&version(3), ConfigVersion(2), &history).unwrap();
    let base_mismatch = read_answer(&answer, &version(1));
    assert!(matches!(base_mismatch, Err(SpreadError::BaseMismatch(_))));
    // A configuration with the version of the base but different content.
    let forked = Config { version: ConfigVersion(2), ..version(7) };
    assert!(matches!(read_answer(&answer, &forked), Err(SpreadError::DigestMismatch(_))));
    let corrupt = ConfigAnswer { content: b"{".to_vec(), ..answer };
    assert!(matches!(read_answer(&corrupt, &version(2)), Err(SpreadError::Malformed(_))));
}
