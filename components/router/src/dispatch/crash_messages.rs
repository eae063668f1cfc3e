//! Encoding of crash records in messages between routers.

use protocol::{CrashRecordMessage, PeerBody, RoutingMessage};
use routing::CrashRecord;
use types::EndpointName;
use utils::Digest;

/// Encodes crash records as a message to another router.
pub(super) fn encode_crashes<'a>(records: impl IntoIterator<Item = &'a CrashRecord>) -> PeerBody {
    let encode = |record: &CrashRecord| CrashRecordMessage {
        fingerprint: record.fingerprint.as_bytes().to_vec(),
        endpoints: record.endpoints.iter().map(ToString::to_string).collect(),
        was_alone: record.was_alone,
        needs_trial: record.needs_trial,
    };
    let crashes = records.into_iter().map(encode).collect();
    PeerBody::Routing(RoutingMessage { crashes })
}

/// Decodes the crash records of a message; skips malformed ones.
pub(super) fn decode_crashes(message: &RoutingMessage) -> Vec<CrashRecord> {
    message.crashes.iter().filter_map(decode_crash).collect()
}

fn decode_crash(message: &CrashRecordMessage) -> Option<CrashRecord> {
    let names = message.endpoints.iter().map(|name| EndpointName::new(name).ok());
    Some(CrashRecord {
        fingerprint: Digest::from_bytes(&message.fingerprint)?,
        endpoints: names.collect::<Option<_>>()?,
        was_alone: message.was_alone,
        needs_trial: message.needs_trial,
    })
}

#[cfg(test)]
mod tests {
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
}
