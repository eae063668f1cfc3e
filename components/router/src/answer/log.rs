//! The log of an answer: written by one run, read by any number of callers.

use std::{
    pin::pin,
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::{Bytes, BytesMut};
use errors::Error;
use tokio::sync::Notify;

use super::{AnswerEnd, AnswerHead, AnswerReader, KeptAnswer};

/// Most bytes of a UTF-8 character after its first.
const UTF8_MAX_CONTINUATION: usize = 3;

/// Part of an answer.
#[derive(Debug, Clone)]
pub struct AnswerSlice {
    /// Head, once known.
    pub head: Option<AnswerHead>,
    /// Bytes of the body.
    pub data: Bytes,
    /// How the answer ended, where `data` reaches its end.
    pub end: Option<Result<AnswerEnd, Error>>,
}

/// The log of an answer. Readers may join at any time and see it from its start.
#[derive(Debug)]
pub struct AnswerLog {
    /// What was written so far.
    state: Mutex<LogState>,
    /// Wakes readers after each write, in the order in which they began to wait.
    writes: Notify,
}

#[derive(Debug, Default)]
pub(super) struct LogState {
    /// Head, once known.
    pub(super) head: Option<AnswerHead>,
    /// Parts of the body. Empty for as long as there is no head.
    pub(super) parts: Vec<Bytes>,
    /// How the answer ended. Nothing is written after it.
    pub(super) end: Option<Result<AnswerEnd, Error>>,
}

impl AnswerLog {
    /// Creates an empty log.
    pub fn new() -> Arc<AnswerLog> {
        Arc::new(AnswerLog { state: Mutex::default(), writes: Notify::new() })
    }

    /// Creates the log of a kept answer.
    pub fn from_kept(answer: &KeptAnswer) -> Arc<AnswerLog> {
        let log = AnswerLog::new();
        log.start(answer.head.clone());
        log.push(answer.body.clone());
        log.finish(answer.end.clone());
        log
    }

    /// Writes the head; later heads are ignored.
    pub fn start(&self, head: AnswerHead) {
        self.write(|state| {
            state.head.get_or_insert(head);
        });
    }

    /// Writes a part of the body.
    pub fn push(&self, part: Bytes) {
        if !part.is_empty() {
            self.write(|state| state.parts.push(part));
        }
    }

    /// Ends the answer as whole.
    pub fn finish(&self, end: AnswerEnd) {
        self.write(|state| state.end = Some(Ok(end)));
    }

    /// Ends the answer as not whole.
    pub fn fail(&self, error: Error) {
        self.write(|state| state.end = Some(Err(error)));
    }

    /// Creates a reader that starts at the start of the answer.
    pub fn reader(self: &Arc<AnswerLog>) -> AnswerReader {
        AnswerReader::new(self.clone())
    }

    /// Returns the body as written so far.
    pub fn body(&self) -> Bytes {
        let state = self.lock();
        let mut body = BytesMut::with_capacity(state.parts.iter().map(Bytes::len).sum());
        for part in &state.parts {
            body.extend_from_slice(part);
        }
        body.freeze()
    }

    /// Returns at most `max` bytes of the body from `offset` on, cut between characters
    /// where it is text.
    pub fn slice(&self, offset: usize, max: usize) -> AnswerSlice {
        let body = self.body();
        let state = self.lock();
        let start = offset.min(body.len());
        let mut end = start.saturating_add(max).min(body.len());
        let is_within_char = |at: usize| body.get(at).is_some_and(|byte| byte & 0xc0 == 0x80);
        for _ in 0..UTF8_MAX_CONTINUATION {
            if end > start + 1 && is_within_char(end) {
                end -= 1;
            }
        }
        let total: usize = state.parts.iter().map(Bytes::len).sum();
        AnswerSlice {
            head: state.head.clone(),
            data: body.slice(start..end),
            end: state.end.clone().filter(|_| end == total),
        }
    }

    /// Waits until `find` finds something in the log.
    pub async fn wait_for<T>(&self, mut find: impl FnMut(&AnswerLog) -> Option<T>) -> T {
        loop {
            let mut written = pin!(self.writes.notified());
            // Writes between the look and the wait are not missed.
            written.as_mut().enable();
            if let Some(found) = find(self) {
                return found;
            }
            written.await;
        }
    }

    /// Returns the head, once known.
    pub fn head(&self) -> Option<AnswerHead> {
        self.lock().head.clone()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn write(&self, change: impl FnOnce(&mut LogState)) {
        let mut state = self.lock();
        if state.end.is_some() {
            return;
        }
        change(&mut state);
        drop(state);
        self.writes.notify_waiters();
    }
}
