//! Queue of messages to one peer.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use protocol::{Envelope, PeerBody};
use tokio::sync::Notify;

use super::limits::QUEUE_MAX_MESSAGES;

/// Queue of messages to one peer, at most [`QUEUE_MAX_MESSAGES`].
#[derive(Debug, Default)]
pub(super) struct SendQueue {
    /// Messages, the oldest first.
    messages: Mutex<VecDeque<Envelope>>,
    /// Wakes the sending task.
    pushed: Notify,
}

impl SendQueue {
    /// Adds a message. A full queue drops its oldest heartbeat, which later heartbeats replace; if
    /// it holds no heartbeat, it drops the new message.
    pub(super) fn push(&self, envelope: Envelope) {
        let mut messages = self.messages.lock().unwrap_or_else(PoisonError::into_inner);
        if messages.len() >= QUEUE_MAX_MESSAGES {
            count_dropped("queue_full", 1);
            match messages.iter().position(is_heartbeat) {
                Some(oldest) => _ = messages.remove(oldest),
                None => return,
            }
        }
        messages.push_back(envelope);
        self.pushed.notify_one();
    }

    /// Waits until the queue has a message.
    pub(super) async fn wait(&self) {
        while self.is_empty() {
            self.pushed.notified().await;
        }
    }

    /// Waits for a message and removes the oldest one.
    pub(super) async fn pop(&self) -> Envelope {
        loop {
            if let Some(envelope) = self.try_pop() {
                return envelope;
            }
            self.pushed.notified().await;
        }
    }

    /// Drops the heartbeats, which are useless once they are late.
    pub(super) fn drop_heartbeats(&self) {
        let mut messages = self.messages.lock().unwrap_or_else(PoisonError::into_inner);
        let before = messages.len();
        messages.retain(|it| !is_heartbeat(it));
        count_dropped("unreachable", before - messages.len());
    }

    fn is_empty(&self) -> bool {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    fn try_pop(&self) -> Option<Envelope> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner).pop_front()
    }
}

/// Counts dropped messages to peers.
pub(super) fn count_dropped(reason: &'static str, count: usize) {
    let counter = metrics::counter!(telemetry::PEER_MESSAGES_DROPPED_TOTAL, "reason" => reason);
    counter.increment(count as u64);
}

fn is_heartbeat(envelope: &Envelope) -> bool {
    matches!(envelope.body, Some(PeerBody::Membership(_)))
}

#[cfg(test)]
#[path = "send_queue_tests.rs"]
mod tests;
