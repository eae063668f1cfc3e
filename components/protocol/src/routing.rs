//! Messages about contents that crash endpoints.

use prost::Message;

/// Contents that crashed endpoints, as the sender knows them.
#[derive(Clone, PartialEq, Message)]
pub struct RoutingMessage {
    /// One record for each content.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<CrashRecordMessage>,
}

/// Endpoints that were lost while a content ran.
#[derive(Clone, PartialEq, Message)]
pub struct CrashRecordMessage {
    /// Digest of the content, 32 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Names of the endpoints lost.
    #[prost(string, repeated, tag = "2")]
    pub endpoints: Vec<String>,
    /// Whether the content ran alone at one of the losses.
    #[prost(bool, tag = "3")]
    pub was_alone: bool,
    /// Whether the content is to run alone.
    #[prost(bool, tag = "4")]
    pub needs_trial: bool,
}
