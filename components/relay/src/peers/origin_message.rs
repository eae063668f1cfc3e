//! Messages between routers on where streams began.

use std::sync::Arc;

use prost::Message;

use crate::origins::{Origin, OriginAnswer, OriginRecord, StreamKey, VersionView};

/// Record of where a stream began, for a router that keeps it.
#[derive(Clone, PartialEq, Message)]
pub struct OriginMessage {
    /// Key of the stream.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Number of the attempt within the request.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Name of the service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Version of the endpoint's software.
    #[prost(string, tag = "4")]
    pub version: String,
}

/// Query for where a stream began.
#[derive(Clone, PartialEq, Message)]
pub struct OriginQueryMessage {
    /// Random number of the query.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Key of the stream; zero if only the versions are asked for.
    #[prost(fixed64, tag = "2")]
    pub key: u64,
    /// Name of the service that the stream is to go on at.
    #[prost(string, tag = "3")]
    pub service: String,
}

/// Answer to a query for where a stream began.
#[derive(Clone, PartialEq, Message)]
pub struct OriginReplyMessage {
    /// Number of the query.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// The record; missing if the router has none.
    #[prost(message, optional, tag = "2")]
    pub origin: Option<OriginMessage>,
    /// Versions of the service that the router has seen recently.
    #[prost(string, repeated, tag = "3")]
    pub versions: Vec<String>,
    /// Whether the router knows all versions of the service.
    #[prost(bool, tag = "4")]
    pub is_complete: bool,
}

impl OriginMessage {
    /// Creates a message from a record.
    pub fn from_record(record: &OriginRecord) -> OriginMessage {
        OriginMessage {
            key: record.key.0,
            attempt: record.attempt,
            service: record.origin.service.to_string(),
            version: record.origin.version.to_string(),
        }
    }

    /// Converts the message to a record.
    pub fn to_record(&self) -> OriginRecord {
        OriginRecord {
            key: StreamKey(self.key),
            attempt: self.attempt,
            origin: Origin {
                service: self.service.as_str().into(),
                version: self.version.as_str().into(),
            },
        }
    }
}

impl OriginReplyMessage {
    /// Creates the answer to a query.
    pub fn new(query: &OriginQueryMessage, answer: &OriginAnswer) -> OriginReplyMessage {
        let origin = answer.origin.as_ref().map(|it| OriginMessage {
            key: query.key,
            attempt: 0,
            service: it.service.to_string(),
            version: it.version.to_string(),
        });
        OriginReplyMessage {
            number: query.number,
            origin,
            versions: answer.view.versions.iter().map(ToString::to_string).collect(),
            is_complete: answer.view.is_complete,
        }
    }

    /// Converts the message to an answer.
    pub fn to_answer(&self) -> OriginAnswer {
        OriginAnswer {
            origin: self.origin.as_ref().map(|it| it.to_record().origin),
            view: VersionView {
                versions: self.versions.iter().map(|it| Arc::from(it.as_str())).collect(),
                is_complete: self.is_complete,
            },
        }
    }
}
