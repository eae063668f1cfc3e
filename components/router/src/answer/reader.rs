//! Readers of answers.

use std::sync::Arc;

use super::{AnswerEvent, AnswerLog};

/// Reads an answer from start to end.
#[derive(Debug)]
pub struct AnswerReader {
    /// Log of the answer.
    log: Arc<AnswerLog>,
    /// Whether the head has been read.
    has_head: bool,
    /// Number of parts that have been read.
    parts: usize,
    /// Whether the end has been read.
    has_ended: bool,
}

impl AnswerReader {
    pub(super) fn new(log: Arc<AnswerLog>) -> AnswerReader {
        AnswerReader { log, has_head: false, parts: 0, has_ended: false }
    }

    /// Waits for the next event; returns `None` after the end.
    pub async fn next(&mut self) -> Option<AnswerEvent> {
        if self.has_ended {
            return None;
        }
        let log = self.log.clone();
        Some(log.wait_for(|_| self.poll_log()).await)
    }

    fn poll_log(&mut self) -> Option<AnswerEvent> {
        let state = self.log.lock();
        if let Some(head) = state.head.as_ref().filter(|_| !self.has_head) {
            self.has_head = true;
            return Some(AnswerEvent::Head(head.clone()));
        }
        if let Some(part) = state.parts.get(self.parts) {
            self.parts += 1;
            return Some(AnswerEvent::Part(part.clone()));
        }
        let end = state.end.as_ref()?;
        self.has_ended = true;
        Some(match end {
            Ok(end) => AnswerEvent::End(end.clone()),
            Err(error) => AnswerEvent::Failed(error.clone()),
        })
    }
}

#[cfg(test)]
#[path = "reader_tests.rs"]
mod tests;
