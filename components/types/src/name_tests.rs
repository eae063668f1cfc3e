//! Tests of `name`.

use super::*;
use crate::AccountName;

#[test]
fn names_are_checked() {
    assert_eq!(check_name(""), Err(NameError::Empty));
    assert_eq!(check_name(&"x".repeat(65)), Err(NameError::TooLong));
    assert_eq!(check_name("a/b"), Err(NameError::BadCharacter('/')));
    assert_eq!(check_name("school-12.Tallinn_a"), Ok(()));
}

#[test]
fn names_are_checked_when_read_from_json() {
    assert!(serde_json::from_str::<AccountName>("\"a b\"").is_err());
    let name: AccountName = serde_json::from_str("\"school\"").unwrap();
    assert_eq!(name.as_str(), "school");
}
