//! Requests and their results as callers observe them.

use std::{collections::BTreeSet, net::SocketAddr};

use tokio::time::Instant;

use crate::callers::{EVENTS_PER_STREAM, RequestKind};

/// One of this many callers of an engine leaves its stream to take it up at another router.
const LEAVING_CALLER_RATIO: u64 = 3;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// A complete answer: status, request id in the answer, and body.
    Answered(u16, String, String),
    /// After the request was sent, the connection ended or the answer timed out.
    Broken,
    /// The caller closed the connection before the end of the answer.
    Left,
    /// The connection failed, or ended before the request was sent.
    NotSent,
}

/// A request and its result as the caller observed it.
#[derive(Debug, Clone)]
pub(crate) struct RequestOutcome {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) router: SocketAddr,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) end: RequestEnd,
    /// Number of complete events received.
    pub(crate) events: u64,
    /// Id of the last event received, including those of earlier requests for the stream.
    pub(crate) last_event: u64,
    /// Data of the events received; that of engines is the version of their software.
    pub(crate) event_data: BTreeSet<String>,
    /// Id of the request that brought the first event, if this one takes up its stream.
    pub(crate) resumes: Option<String>,
    /// When the head of an answer arrived that states the endpoint's rate limit.
    pub(crate) limit_stated_at: Option<Instant>,
    /// When the head of an answer arrived that states that the endpoint is leaving.
    pub(crate) leaving_stated_at: Option<Instant>,
}

impl RequestOutcome {
    pub(crate) fn read_events(&mut self, text: &str) {
        let whole = text.rfind("\n\n").map_or("", |at| &text[..at + 2]);
        self.events = whole.matches("\n\n").count() as u64;
        let ids = whole.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok());
        self.last_event = ids.max().unwrap_or(self.last_event);
        let data = whole.lines().filter_map(|it| it.strip_prefix("data: "));
        self.event_data = data.map(str::to_owned).collect();
    }

    /// Returns the number of events after which the caller leaves, to take the stream up elsewhere.
    pub(crate) fn leaves_after(&self, number: u64) -> Option<u64> {
        let leaves = self.kind == RequestKind::Engine && self.resumes.is_none();
        (leaves && number.is_multiple_of(LEAVING_CALLER_RATIO)).then_some(1 + number % 5)
    }

    /// Returns whether the caller got a part of a stream and may take it up.
    pub(crate) fn is_broken_stream(&self) -> bool {
        self.last_event > 0 && self.last_event < EVENTS_PER_STREAM
    }
}
