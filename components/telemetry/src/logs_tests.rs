//! Tests of `logs`.

use log::Level;

use super::*;

#[test]
fn both_formats_include_the_fields() {
    let fields: &[(&str, &str)] = &[("request_id", "order-7")];
    let record = Record::builder()
        .args(format_args!("request refused"))
        .level(Level::Info)
        .target("router")
        .key_values(&fields)
        .build();
    let epoch = SystemTime::UNIX_EPOCH;
    insta::assert_snapshot!(
        format_text(epoch, &record),
        @"1970-01-01T00:00:00.000Z INFO  request refused request_id=order-7"
    );
    insta::assert_snapshot!(
        format_json(epoch, &record),
        @r#"{"level":"INFO","message":"request refused","request_id":"order-7","target":"router","time":"1970-01-01T00:00:00.000Z"}"#
    );
}
