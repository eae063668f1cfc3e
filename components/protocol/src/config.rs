//! Messages that spread accepted configurations.

use prost::{Message, Oneof};

/// Messages that spread accepted configurations.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigMessage {
    /// What the message is for.
    #[prost(oneof = "ConfigKind", tags = "1, 2, 3")]
    pub kind: Option<ConfigKind>,
}

/// What a message that spreads configurations is for.
#[derive(Clone, PartialEq, Oneof)]
pub enum ConfigKind {
    /// Version in force on the sender.
    #[prost(uint64, tag = "1")]
    Announce(u64),
    /// Request for the version in force on the receiver.
    #[prost(message, tag = "2")]
    Request(ConfigRequest),
    /// Answer to a request.
    #[prost(message, tag = "3")]
    Answer(ConfigAnswer),
}

/// Request for the version in force on the receiver.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ConfigRequest {
    /// Version that the sender has; changes after it suffice. Zero asks for the whole.
    #[prost(uint64, tag = "1")]
    pub base: u64,
}

/// A version of the configuration.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigAnswer {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Version that the changes start from; zero where `content` is the whole.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// SHA-256 digest of the whole configuration as JSON.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
    /// The changes, or the whole configuration, as JSON.
    #[prost(bytes = "vec", tag = "4")]
    pub content: Vec<u8>,
}
