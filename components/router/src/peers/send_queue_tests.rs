//! Tests of `send_queue`.

use protocol::{BudgetMessage, MembershipMessage};
use types::{Incarnation, RouterId, RouterName};

use super::*;

#[test]
fn full_queue_drops_heartbeats_first() {
    let from = RouterId::new(RouterName::new("zlin-1").unwrap(), Incarnation(7));
    let heartbeat = || PeerBody::Membership(MembershipMessage::default());
    let other = || PeerBody::Budget(BudgetMessage::default());
    let queue = SendQueue::default();
    queue.push(Envelope::new(&from, heartbeat()));
    for _ in 0..QUEUE_MAX_MESSAGES {
        queue.push(Envelope::new(&from, other()));
    }
    let mut bodies = std::iter::from_fn(|| queue.try_pop()).map(|it| it.body);
    assert!(bodies.all(|body| body == Some(other())));
}
