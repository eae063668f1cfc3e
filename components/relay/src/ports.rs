//! What the relay needs of the world around it.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use errors::Error;
use http::{HeaderMap, Response, request, response};
use platform::PlatformError;

use crate::{
    endpoints::EndpointChange,
    model::{DesiredState, EndpointEntry, RequestHead},
};

/// What is set on a request when it is sent to an endpoint.
#[derive(Debug, Clone)]
pub struct Forwarding<'a> {
    /// Id of the endpoint that is to run it.
    pub endpoint: &'a str,
    /// Name of the client account, where there is one.
    pub account: Option<&'a str>,
    /// Time that is left.
    pub time_left: Duration,
    /// Id of the last event that the caller has, where a stream is resumed.
    pub last_event: Option<u64>,
    /// Rank of the request; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether the endpoint says that it did not run the request.
    pub is_not_executed: bool,
    /// Whether another endpoint has the address.
    pub is_misdirected: bool,
    /// Whether the answer bears the endpoint's signature.
    pub is_signed: bool,
    /// Id of the request that it answers, where it names one.
    pub request_id: Option<Arc<str>>,
}

/// How callers' requests, endpoints' answers and refusals are written.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// Where a field is missing or malformed.
    fn read_request(&self, head: &request::Parts) -> Result<RequestHead, Error>;

    /// Returns the headers with which a request goes to an endpoint.
    fn forward_headers(&self, headers: &HeaderMap, forwarding: &Forwarding<'_>) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Writes the answer to a request that this router refuses or fails.
    fn write_error(&self, error: &Error, request_id: Option<&str>) -> Response<Bytes>;

    /// Serves a call for addresses: returns the failure domain of the caller; `None` where
    /// the call is another one.
    fn read_address_call(&self, head: &request::Parts) -> Option<Option<Arc<str>>>;

    /// Writes the answer to a call for addresses.
    fn write_addresses(&self, addresses: &[std::net::SocketAddr], max_age: Duration) -> Bytes;

    /// Tells whether a call asks for readiness.
    fn is_readiness_call(&self, head: &request::Parts) -> bool;
}

/// Position in a feed of changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cursor(pub u64);

/// A page of a feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Feed<T> {
    /// Changes in their order, and the position after them.
    Changes(Vec<T>, Cursor),
    /// The changes after the position are not kept any more; all is to be read anew.
    HistoryLost,
}

/// Where the desired state and the list of endpoints come from.
#[async_trait]
pub trait ControlSource: Send + Sync {
    /// Reads the desired state; `None` where there is none yet.
    ///
    /// # Errors
    /// Where the source was not reached or refused the call.
    async fn desired_state(&self) -> Result<(Option<DesiredState>, Cursor), PlatformError>;

    /// Waits up to `wait` for newer desired states.
    ///
    /// # Errors
    /// Where the source was not reached or refused the call.
    async fn desired_state_after(
        &self,
        cursor: Cursor,
        wait: Duration,
    ) -> Result<Feed<DesiredState>, PlatformError>;

    /// Reads the whole list of endpoints.
    ///
    /// # Errors
    /// Where the source was not reached or refused the call.
    async fn endpoints(&self) -> Result<(Vec<EndpointEntry>, Cursor), PlatformError>;

    /// Reads the changes of the list of endpoints.
    ///
    /// # Errors
    /// Where the source was not reached or refused the call.
    async fn endpoints_after(&self, cursor: Cursor) -> Result<Feed<EndpointChange>, PlatformError>;
}
