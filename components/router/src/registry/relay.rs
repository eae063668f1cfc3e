//! Copies answers between routers in parts.

use std::{sync::Arc, time::Duration};

use errors::{Error, ErrorKind, Result};
use protocol::{FetchMessage, PartMessage, RequestsBody};
use requests::Attempt;
use tokio::runtime::Handle;
use types::{RequestKey, RouterId};
use utils::Digest;

use super::{entries::Entries, pending_calls::PendingCalls, wire};
use crate::{
    answer::{AnswerEnd, AnswerLog},
    peers::Peers,
};

/// Longest wait for the answer to one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Fetches sent to a live member before it counts as unreachable.
const FETCH_TRIES_MAX: usize = 10;

/// Longest time that a fetch waits at the other router for new data.
const FETCH_WAIT_MAX: Duration = Duration::from_millis(200);

/// Maximum number of body bytes in one part.
const PART_MAX_BYTES: usize = 256 * 1024;

/// Copies answers between routers. A part belongs to one attempt and one offset; late,
/// duplicate and mismatched parts are dropped.
pub(super) struct Relay {
    /// The other routers.
    peers: Arc<dyn Peers>,
    /// Runtime that handles the traffic.
    runtime: Handle,
    /// Fetches that wait for an answer.
    fetches: PendingCalls<PartMessage>,
}

/// Answer that is fetched from another router.
pub(super) struct Fetch {
    /// Key of the request.
    pub(super) key: RequestKey,
    /// Digest of the request's content.
    pub(super) fingerprint: Digest,
    /// Attempt that produces the answer.
    pub(super) attempt: Attempt,
}

impl Relay {
    /// Creates the relay. Must be called within the runtime that handles the traffic.
    pub(super) fn new(peers: Arc<dyn Peers>) -> Relay {
        Relay { peers, runtime: Handle::current(), fetches: PendingCalls::new() }
    }

    /// Fetches the part at `offset`; `None` if the other router is unreachable or does not know
    /// the attempt.
    pub(super) async fn fetch(
        &self,
        fetch: &Fetch,
        offset: u64,
        has_head: bool,
    ) -> Option<PartMessage> {
        for _ in 0..FETCH_TRIES_MAX {
            if !self.is_alive(&fetch.attempt.router) {
                return None;
            }
            let send = |call| {
                let message = FetchMessage {
                    call,
                    request: Some(wire::encode_request(&fetch.key, &fetch.fingerprint)),
                    attempt: Some(wire::encode_attempt(&fetch.attempt)),
                    offset,
                    has_head,
                };
                let to = &fetch.attempt.router.name;
                self.peers.send(to, wire::wrap(RequestsBody::Fetch(message)));
            };
            let Some(part) = self.fetches.call(FETCH_TIMEOUT, send).await else { continue };
            let is_same_attempt =
                wire::decode_attempt(part.attempt.as_ref()).as_ref() == Some(&fetch.attempt);
            return Some(part)
                .filter(|part| is_same_attempt && part.is_known && part.offset == offset);
        }
        None
    }

    fn is_alive(&self, router: &RouterId) -> bool {
        self.peers.view().find(&router.name).is_some_and(|member| member.id == *router)
    }

    /// Writes the `first` part and the rest of the answer to `log`. The end is returned, not
    /// written.
    ///
    /// # Errors
    /// The error that the answer ended with, or `AttemptsFailed` if the other router became
    /// unreachable before the end.
    pub(super) async fn copy(
        &self,
        fetch: &Fetch,
        first: PartMessage,
        log: &AnswerLog,
    ) -> Result<AnswerEnd> {
        let mut part = first;
        let mut offset = 0;
        loop {
            if let Some(head) = &part.head {
                log.start(wire::decode_head(head));
            }
            offset += part.data.len() as u64;
            log.push(part.data);
            if let Some(end) = &part.end {
                return wire::decode_end(end);
            }
            let has_head = log.head().is_some();
            part = self.fetch(fetch, offset, has_head).await.ok_or_else(|| {
                let message = "lost contact with the router that runs the request; send it again";
                Error::new(ErrorKind::AttemptsFailed, message)
            })?;
        }
    }

    /// Answers a fetch of another router.
    pub(super) fn on_fetch(&self, entries: &Entries, from: &RouterId, message: &FetchMessage) {
        let request = wire::decode_request(message.request.as_ref());
        let attempt = wire::decode_attempt(message.attempt.as_ref());
        let (Some((key, _)), Some(attempt)) = (request, attempt) else { return };
        let mut part = PartMessage {
            call: message.call,
            attempt: message.attempt.clone(),
            offset: message.offset,
            ..PartMessage::default()
        };
        let (peers, to) = (self.peers.clone(), from.name.clone());
        let Some(entry) = entries.find_attempt(&key, &attempt) else {
            peers.send(&to, wire::wrap(RequestsBody::Part(part)));
            return;
        };
        let has_head = message.has_head;
        self.runtime.spawn(async move {
            part.is_known = true;
            fill_part(&mut part, &entry.log, has_head).await;
            peers.send(&to, wire::wrap(RequestsBody::Part(part)));
        });
    }

    /// Passes a part to the fetch of this router that waits for it.
    pub(super) fn on_part(&self, message: &PartMessage) {
        self.fetches.answer(message.call, message.clone());
    }
}

/// Fills `part` with the answer from the part's offset on. Waits up to [`FETCH_WAIT_MAX`] for
/// new data.
async fn fill_part(part: &mut PartMessage, log: &Arc<AnswerLog>, has_head: bool) {
    let offset = usize::try_from(part.offset).unwrap_or(usize::MAX);
    let wait = log.wait_for(|log| {
        let slice = log.slice(offset, PART_MAX_BYTES);
        let has_new_head = slice.head.is_some() && !has_head;
        (has_new_head || !slice.data.is_empty() || slice.end.is_some()).then_some(())
    });
    let _ = tokio::time::timeout(FETCH_WAIT_MAX, wait).await;
    let slice = log.slice(offset, PART_MAX_BYTES);
    part.head = slice.head.as_ref().map(wire::encode_head);
    part.data = slice.data;
    part.end = slice.end.as_ref().map(wire::encode_end);
}
