//! Interfaces that the relay depends on and that are implemented outside this crate.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use errors::Error;
use http::{HeaderMap, Response, request, response};
use platform::{Era, PlatformError};

use crate::{
    domains::EmptiedDomain,
    endpoints::{EndpointChange, Statements},
    model::{DesiredState, EndpointEntry, RequestHead},
    transfer::TransferProgress,
};

/// Values that are set in the headers of a request to an endpoint.
#[derive(Debug, Clone)]
pub struct Forwarding<'a> {
    /// Id of the endpoint that is to run the request.
    pub endpoint: &'a str,
    /// Name of the client account, if the request has one.
    pub account: Option<&'a str>,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Id of the last event that the caller has received; set if a stream is resumed.
    pub last_event: Option<u64>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// Fields of the head of an endpoint's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerHead {
    /// Whether the endpoint reports that it did not run the request.
    pub is_not_executed: bool,
    /// Whether the address now belongs to another endpoint.
    pub is_misdirected: bool,
    /// Whether the answer carries the endpoint's signature.
    pub is_signed: bool,
    /// Id of the request that it answers, if present.
    pub request_id: Option<Arc<str>>,
    /// What the endpoint says about itself.
    pub statements: Statements,
}

/// Wire format of callers' requests, endpoints' answers, and the router's own answers.
pub trait Dialect: Send + Sync {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    /// Returns an error if a field is missing or malformed.
    fn read_request(&self, head: &request::Parts) -> Result<RequestHead, Error>;

    /// Returns the headers with which a request is forwarded to an endpoint.
    fn forward_headers(&self, headers: &HeaderMap, forwarding: &Forwarding<'_>) -> HeaderMap;

    /// Parses the head of an endpoint's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Creates the answer to a request that this router refuses or cannot complete.
    fn write_error(&self, error: &Error, request_id: Option<&str>) -> Response<Bytes>;

    /// Parses a request for router addresses. The outer option is `None` if the request is for
    /// something else; the inner one is the failure domain of the caller, if given.
    fn read_address_call(&self, head: &request::Parts) -> Option<Option<Arc<str>>>;

    /// Encodes the body of the answer to a request for router addresses.
    fn write_addresses(&self, addresses: &[std::net::SocketAddr], max_age: Duration) -> Bytes;

    /// Returns whether a request is a readiness check.
    fn is_readiness_call(&self, head: &request::Parts) -> bool;
}

/// Position in a feed of changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Revision up to which changes have been read.
    pub revision: u64,
    /// Era of the source to which the revision belongs; `None` if the source states none.
    pub era: Option<Era>,
}

/// Result of reading a feed after a cursor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Feed<T> {
    /// Changes in order, and the cursor after them.
    Changes(Vec<T>, Cursor),
    /// The changes after the cursor are no longer available; everything must be read again.
    HistoryLost,
}

/// What operators have written.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OperatorState {
    /// The desired state; `None` if there is none yet.
    pub desired_state: Option<DesiredState>,
    /// Failure domains that are emptied.
    pub emptied_domains: Vec<EmptiedDomain>,
}

/// A change of what operators have written.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorChange {
    /// There is a new desired state.
    DesiredState(DesiredState),
    /// A failure domain is emptied.
    Emptied(EmptiedDomain),
    /// An emptying is taken back; the revision is that of the change.
    TakenBack(EmptiedDomain),
}

/// Source of what operators have written and of the list of endpoints.
#[async_trait]
pub trait ControlSource: Send + Sync {
    /// Reads all that operators have written. The bytes that arrive are counted in `progress`.
    ///
    /// # Errors
    /// Returns an error if the source cannot be reached or refuses the call.
    async fn operator_state(
        &self,
        progress: &TransferProgress,
    ) -> Result<(OperatorState, Cursor), PlatformError>;

    /// Waits up to `wait` for changes after `cursor`. The bytes that arrive are counted in `progress`.
    ///
    /// # Errors
    /// Returns an error if the source cannot be reached or refuses the call.
    async fn operator_changes_after(
        &self,
        cursor: Cursor,
        wait: Duration,
        progress: &TransferProgress,
    ) -> Result<Feed<OperatorChange>, PlatformError>;

    /// Reads the whole list of endpoints.
    ///
    /// # Errors
    /// Returns an error if the source cannot be reached or refuses the call.
    async fn endpoints(&self) -> Result<(Vec<EndpointEntry>, Cursor), PlatformError>;

    /// Reads the changes to the list of endpoints after `cursor`.
    ///
    /// # Errors
    /// Returns an error if the source cannot be reached or refuses the call.
    async fn endpoints_after(&self, cursor: Cursor) -> Result<Feed<EndpointChange>, PlatformError>;
}
