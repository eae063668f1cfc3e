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
mod tests {
    use super::*;
    use crate::answer::{AnswerEnd, AnswerHead};

    #[tokio::test]
    async fn late_reader_sees_the_complete_answer() {
        let log = AnswerLog::new();
        log.start(AnswerHead { status: 200, content_type: "text/plain".into() });
        log.push("ab".into());
        let mut reader = log.reader();
        log.push("c".into());
        log.finish(AnswerEnd::default());
        log.push("never".into());
        let mut body = Vec::new();
        while let Some(event) = reader.next().await {
            if let AnswerEvent::Part(part) = event {
                body.extend_from_slice(&part);
            }
        }
        assert_eq!(body, b"abc");
    }
}
