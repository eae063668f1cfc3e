//! Messages by which routers ask the owner of a brittle endpoint to admit requests.

use std::{sync::Arc, time::Duration};

use prost::Message;

use crate::endpoints::{Admission, AdmissionRequest};

/// The sender asks the receiver to admit a request to an endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct AdmissionRequestMessage {
    /// Random number of the request.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Id of the endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// Start time of the endpoint's process, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub started_at_ms: u64,
    /// Name of the sender.
    #[prost(string, tag = "4")]
    pub router: String,
    /// Share of the endpoint's capacity that requests of this priority may fill, from 0 to 1.
    #[prost(double, tag = "5")]
    pub fill_share: f64,
}

/// The answer to an [`AdmissionRequestMessage`].
#[derive(Clone, PartialEq, Message)]
pub struct AdmissionReplyMessage {
    /// Number of the request.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Id of the endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// Whether the request may be sent.
    #[prost(bool, tag = "3")]
    pub is_admitted: bool,
    /// Time for which nothing is admitted, in milliseconds; zero if there is no room just now.
    #[prost(uint32, tag = "4")]
    pub closed_ms: u32,
}

/// An admitted request has ended.
#[derive(Clone, PartialEq, Message)]
pub struct AdmissionEndMessage {
    /// Number of the request.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Id of the endpoint.
    #[prost(string, tag = "2")]
    pub endpoint: String,
    /// Whether the endpoint refused it.
    #[prost(bool, tag = "3")]
    pub is_refused: bool,
}

impl AdmissionRequestMessage {
    /// Creates a message about the process of an endpoint that started at `started_at_ms`.
    pub fn new(request: &AdmissionRequest, started_at_ms: u64) -> AdmissionRequestMessage {
        AdmissionRequestMessage {
            number: request.number,
            endpoint: request.endpoint.to_string(),
            started_at_ms,
            router: request.router.to_string(),
            fill_share: request.fill_share,
        }
    }

    /// Converts the message to a request; `None` if the share is not valid.
    pub fn to_request(&self) -> Option<AdmissionRequest> {
        (0.0..=1.0).contains(&self.fill_share).then(|| AdmissionRequest {
            number: self.number,
            endpoint: Arc::from(self.endpoint.as_str()),
            router: Arc::from(self.router.as_str()),
            fill_share: self.fill_share,
        })
    }
}

impl AdmissionReplyMessage {
    /// Creates the answer to a request.
    pub fn new(request: &AdmissionRequest, admission: Admission) -> AdmissionReplyMessage {
        let closed = match admission {
            Admission::Closed(time) => u32::try_from(time.as_millis()).unwrap_or(u32::MAX).max(1),
            Admission::Admitted | Admission::Full => 0,
        };
        AdmissionReplyMessage {
            number: request.number,
            endpoint: request.endpoint.to_string(),
            is_admitted: admission == Admission::Admitted,
            closed_ms: closed,
        }
    }

    /// Converts the message to the owner's decision.
    pub fn to_admission(&self) -> Admission {
        match (self.is_admitted, self.closed_ms) {
            (true, _) => Admission::Admitted,
            (false, 0) => Admission::Full,
            (false, ms) => Admission::Closed(Duration::from_millis(u64::from(ms))),
        }
    }
}
