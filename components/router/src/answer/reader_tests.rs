//! Tests of `reader`.

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
