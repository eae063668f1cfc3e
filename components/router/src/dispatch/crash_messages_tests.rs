//! Tests of `crash_messages`.

use super::*;

#[test]
fn records_are_decoded_as_encoded_and_malformed_ones_are_skipped() {
    let record = CrashRecord {
        fingerprint: Digest::from_content(b"poison"),
        endpoints: [EndpointName::new("engine-1").unwrap()].into(),
        was_alone: true,
        needs_trial: false,
    };
    let PeerBody::Routing(mut message) = encode_crashes([&record]) else { panic!() };
    message.crashes.push(CrashRecordMessage::default());
    assert_eq!(decode_crashes(&message), [record]);
}
