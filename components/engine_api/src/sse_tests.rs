//! Tests of `sse`.

use super::*;

#[test]
fn events_split_at_any_byte_are_decoded() {
    let stream = b": comment\n\ndata: {\"a\":1}\n\ndata: [DONE]\n\n";
    for cut in 0..stream.len() {
        let mut decoder = SseDecoder::new();
        let mut events = Vec::new();
        for part in [&stream[..cut], &stream[cut..]] {
            assert!(decoder.push(part));
            events.extend(std::iter::from_fn(|| decoder.next_event()));
        }
        assert_eq!(events, ["{\"a\":1}", DONE_MARK]);
    }
}

#[test]
fn overlong_event_is_rejected() {
    let mut decoder = SseDecoder::new();
    assert!(!decoder.push(&vec![b'x'; EVENT_MAX_BYTES + 1]));
}
