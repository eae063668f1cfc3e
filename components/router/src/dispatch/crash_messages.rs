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
#[path = "crash_messages_tests.rs"]
mod tests;
