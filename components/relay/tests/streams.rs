//! Tests that event streams are split into complete events in order.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test may panic, and its numbers are small"
)]

use relay::stream::{EventSplitter, StreamError};

fn event_texts(splitter: &mut EventSplitter) -> Vec<String> {
    let events = std::iter::from_fn(|| splitter.next_event().expect("events are in order"));
    events.map(|it| String::from_utf8(it.bytes.to_vec()).unwrap()).collect()
}

#[test]
fn events_are_complete_however_the_bytes_are_chunked() {
    let text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut found = Vec::new();
        for part in text.as_bytes().chunks(size) {
            splitter.push(part);
            found.extend(event_texts(&mut splitter));
        }
        assert_eq!(found.concat(), text, "chunks of {size} bytes");
        assert_eq!(found.len(), 3);
        assert_eq!(splitter.last_id(), Some(3));
        assert!(splitter.rest().is_empty());
    }
}

#[test]
fn incomplete_event_stays_in_the_remaining_bytes() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(event_texts(&mut splitter), ["id: 1\ndata: a\n\n"]);
    assert_eq!(splitter.rest(), b"id: 2\nda");
}

#[test]
fn repeated_event_after_a_resume_is_an_error() {
    let mut splitter = EventSplitter::after(Some(4));
    splitter.push(b"id: 5\n\nid: 5\n\n");
    assert_eq!(splitter.next_event().unwrap().unwrap().id, Some(5));
    assert_eq!(splitter.next_event(), Err(StreamError::OutOfOrder { last: 5, found: 5 }));
}

#[test]
fn endless_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 2 << 20]);
    assert_eq!(splitter.next_event(), Err(StreamError::EventTooLong));
}
