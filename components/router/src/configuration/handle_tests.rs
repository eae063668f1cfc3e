//! Tests of `handle`.

use super::*;

#[test]
fn older_version_never_replaces_a_newer_one() {
    let handle = ConfigHandle::new();
    let version = |number| Config { version: ConfigVersion(number), ..Config::default() };
    assert!(handle.advance(version(2)));
    assert!(!handle.advance(version(1)));
    assert!(!handle.advance(version(2)));
    assert_eq!(handle.version(), ConfigVersion(2));
}
