//! Messages about request contents that crash endpoints.

use prost::Message;

/// Request contents that crashed endpoints, as known to the sender.
#[derive(Clone, PartialEq, Message)]
pub struct RoutingMessage {
    /// Records, one for each content.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<CrashRecordMessage>,
}

/// Record of the endpoints that were lost while they ran requests with the same content.
#[derive(Clone, PartialEq, Message)]
pub struct CrashRecordMessage {
    /// SHA-256 digest of the content, 32 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Names of the lost endpoints.
    #[prost(string, repeated, tag = "2")]
    pub endpoints: Vec<String>,
    /// Whether one of the endpoints was lost while it ran only this content.
    #[prost(bool, tag = "3")]
    pub was_alone: bool,
    /// Whether the content must run alone on an endpoint next time.
    #[prost(bool, tag = "4")]
    pub needs_trial: bool,
}
