//! Tests of `output`.

use super::*;

#[test]
fn columns_are_aligned() {
    let mut table = Table::new(&["NAME", "TOKENS"]);
    table.push(vec!["cooperative".to_owned(), "5".to_owned()]);
    insta::assert_snapshot!(table.render(), @"
    NAME         TOKENS
    cooperative  5
    ");
}
