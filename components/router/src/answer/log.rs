//! The log of an answer, written by one run and read by any number of callers.

use std::{
    pin::pin,
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::{Bytes, BytesMut};
use errors::Error;
use tokio::sync::Notify;

use super::{AnswerEnd, AnswerHead, AnswerReader, KeptAnswer};

/// Maximum number of continuation bytes in a UTF-8 character.
const UTF8_MAX_CONTINUATION_BYTES: usize = 3;

/// Slice of an answer's body, with its head and end.
#[derive(Debug, Clone)]
pub struct AnswerSlice {
    /// Head, once written.
    pub head: Option<AnswerHead>,
    /// Bytes of the body.
    pub data: Bytes,
    /// How the answer ended; only set if `data` extends to the end of the body.
    pub end: Option<Result<AnswerEnd, Error>>,
}

/// Log of an answer. Readers may join at any time and read it from the start.
#[derive(Debug)]
pub struct AnswerLog {
    /// Content written so far.
    state: Mutex<LogState>,
    /// Wakes the readers after each write, in the order in which they started to wait.
    writes: Notify,
}

#[derive(Debug, Default)]
pub(super) struct LogState {
    /// Head, once written.
    pub(super) head: Option<AnswerHead>,
    /// Parts of the body. Empty until the head is written.
    pub(super) parts: Vec<Bytes>,
    /// How the answer ended. Later writes are ignored.
    pub(super) end: Option<Result<AnswerEnd, Error>>,
}

impl AnswerLog {
    /// Creates an empty log.
    pub fn new() -> Arc<AnswerLog> {
        Arc::new(AnswerLog { state: Mutex::default(), writes: Notify::new() })
    }

    /// Creates the complete log of a kept answer.
    pub fn from_kept(answer: &KeptAnswer) -> Arc<AnswerLog> {
        let log = AnswerLog::new();
        log.start(answer.head.clone());
        log.push(answer.body.clone());
        log.finish(answer.end.clone());
        log
    }

    /// Writes the head; ignored if there is one already.
    pub fn start(&self, head: AnswerHead) {
        self.write(|state| {
            state.head.get_or_insert(head);
        });
    }

    /// Appends a part to the body.
    pub fn push(&self, part: Bytes) {
        if !part.is_empty() {
            self.write(|state| state.parts.push(part));
        }
    }

    /// Ends the answer as complete.
    pub fn finish(&self, end: AnswerEnd) {
        self.write(|state| state.end = Some(Ok(end)));
    }

    /// Ends the answer as failed.
    pub fn fail(&self, error: Error) {
        self.write(|state| state.end = Some(Err(error)));
    }

    /// Creates a reader that begins at the start of the answer.
    pub fn reader(self: &Arc<AnswerLog>) -> AnswerReader {
        AnswerReader::new(self.clone())
    }

    /// Returns the part of the body that has been written so far.
    pub fn body(&self) -> Bytes {
        let state = self.lock();
        let mut body = BytesMut::with_capacity(state.parts.iter().map(Bytes::len).sum());
        for part in &state.parts {
            body.extend_from_slice(part);
        }
        body.freeze()
    }

    /// Returns at most `max` bytes of the body from `offset` on. Text is split at character
    /// boundaries.
    pub fn slice(&self, offset: usize, max: usize) -> AnswerSlice {
        let body = self.body();
        let state = self.lock();
        let start = offset.min(body.len());
        let mut end = start.saturating_add(max).min(body.len());
        let is_within_char = |at: usize| body.get(at).is_some_and(|byte| byte & 0xc0 == 0x80);
        for _ in 0..UTF8_MAX_CONTINUATION_BYTES {
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

    /// Waits until `find` returns a value; calls it again after each write.
    pub async fn wait_for<T>(&self, mut find: impl FnMut(&AnswerLog) -> Option<T>) -> T {
        loop {
            let mut written = pin!(self.writes.notified());
            // Registers before the check, so that a write between the check and the wait is not
            // missed.
            written.as_mut().enable();
            if let Some(found) = find(self) {
                return found;
            }
            written.await;
        }
    }

    /// Returns the head, once written.
    pub fn head(&self) -> Option<AnswerHead> {
        self.lock().head.clone()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().expect("the lock is not poisoned")
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
