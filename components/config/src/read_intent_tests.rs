//! Tests of `read_intent`.

use super::*;

#[test]
fn first_parse_error_of_each_entry_is_reported() {
    let text = br#"{ "sett": {}, "set": {
        "accounts": { "a": { "wieght": 1 }, "b": { "weight": "heavy" }, "c": {} },
        "endpoints": { "e": { "address": "nowhere", "failure_domain": "zlin" },
            "f": { "address": "10.0.0.1:80" }, "g h": {} } },
        "deposits": [ { "id": "i", "account": "c", "tokens": 1.5 },
            { "id": "j", "account": "c", "tokens": 1 }, { "id": "k", "account": "c" } ],
        "add_keys": { "c": ["beef"] } }"#;
    let faults = Intent::from_json(text).unwrap_err();
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn text_after_the_intent_is_a_fault() {
    let faults = Intent::from_json(b"{} {}").unwrap_err();
    insta::assert_snapshot!(faults[0], @"intent: trailing characters at line 1 column 4");
}
