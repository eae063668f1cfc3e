//! Tests of `gossip`.

use super::*;

#[test]
fn change_is_sent_a_limited_number_of_times() {
    let mut queue = GossipQueue::default();
    let name = RouterName::new("zlin-1").unwrap();
    queue.push(&name);
    queue.push(&name);
    let sent = (0..100).map(|_| queue.next_batch(8, 8).len()).sum::<usize>();
    assert_eq!(sent, 8);
    assert!(queue.is_empty());
}
