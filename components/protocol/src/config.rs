//! Messages that distribute accepted configurations among the routers.

use prost::{Message, Oneof};

/// Message of the configuration exchange.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigMessage {
    /// The message; `None` if a newer version sent a kind unknown to this version.
    #[prost(oneof = "ConfigKind", tags = "1, 2, 3")]
    pub kind: Option<ConfigKind>,
}

/// Kinds of messages of the configuration exchange.
#[derive(Clone, PartialEq, Oneof)]
pub enum ConfigKind {
    /// Announces the version in force on the sender.
    #[prost(uint64, tag = "1")]
    Announce(u64),
    /// Asks for the version in force on the receiver.
    #[prost(message, tag = "2")]
    Request(ConfigRequest),
    /// Answers a request.
    #[prost(message, tag = "3")]
    Answer(ConfigAnswer),
}

/// Request for the version in force on the receiver.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ConfigRequest {
    /// Version in force on the sender; only the changes since it are needed. 0 asks for the
    /// whole configuration.
    #[prost(uint64, tag = "1")]
    pub base: u64,
}

/// A version of the configuration, as the changes to an earlier one or as a whole.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigAnswer {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Version that the changes apply to; 0 if `content` is the whole configuration.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// SHA-256 digest of the whole configuration in JSON.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
    /// The changes or the whole configuration, in JSON.
    #[prost(bytes = "vec", tag = "4")]
    pub content: Vec<u8>,
}
