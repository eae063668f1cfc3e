//! Tests of `request_id`.

use super::*;

#[test]
fn request_ids_are_checked() {
    assert!(RequestId::new("order-17").is_ok());
    for bad in ["", "a/b", "a b", "\u{e9}", &"x".repeat(129)] {
        assert_eq!(RequestId::new(bad), Err(RequestIdError), "{bad:?}");
    }
}
