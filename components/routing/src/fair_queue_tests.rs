//! Tests of `fair_queue`.

use super::*;

const URGENT: u32 = 0;
const NORMAL: u32 = 1;
const BULK: u32 = 2;

fn request(id: u64, account: &'static str, level: u32, cost: u64) -> QueuedRequest<&'static str> {
    QueuedRequest {
        id: WaiterId(id),
        account,
        weight: 1,
        level,
        cost,
        start_by: Timestamp(u64::MAX),
        deadline: Timestamp(u64::MAX),
        is_returned: false,
    }
}

fn at_ms(ms: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(ms)
}

fn grant_all(queue: &mut FairQueue<&'static str>, interval: Duration) -> Vec<u64> {
    let (mut order, mut now) = (Vec::new(), Timestamp::ZERO);
    while !queue.is_empty() {
        let levels = queue.grant_order(now);
        let head = levels.iter().find_map(|&it| queue.heads(it, 1).first().copied());
        let head = head.unwrap();
        queue.grant(head, now);
        now = now + interval;
        order.push(head.0);
    }
    order
}

#[test]
fn accounts_share_by_weight_whatever_they_queue() {
    let mut queue = FairQueue::default();
    for id in 0..6 {
        let large = QueuedRequest { weight: 2, ..request(id, "brewery", NORMAL, 100) };
        queue.push(&large, Timestamp::ZERO);
    }
    for id in 10..13 {
        queue.push(&request(id, "master", NORMAL, 100), Timestamp::ZERO);
    }
    assert_eq!(grant_all(&mut queue, Duration::ZERO), [0, 10, 1, 2, 11, 3, 4, 12, 5]);
}

#[test]
fn urgent_requests_go_first_without_starving_bulk() {
    let mut queue = FairQueue::default();
    for id in 0..100 {
        queue.push(&request(id, "school", URGENT, 100), Timestamp::ZERO);
    }
    for id in 200..203 {
        queue.push(&request(id, "school", BULK, 1_000), Timestamp::ZERO);
    }
    let order = grant_all(&mut queue, Duration::from_millis(100));
    let bulk = order.iter().enumerate().filter(|(_, id)| **id >= 200).map(|(at, _)| at);
    // The first bulk request goes after 500 ms without a bulk grant, each further one
    // once bulk requests have less than a tenth of the granted cost.
    assert_eq!(bulk.collect::<Vec<_>>(), [5, 56, 102]);
}

#[test]
fn removed_waiters_are_no_longer_counted() {
    let mut queue = FairQueue::default();
    queue.push(&request(1, "school", BULK, 10), Timestamp::ZERO);
    assert_eq!(queue.account_len(&"school", BULK), 1);
    queue.remove(WaiterId(1));
    assert_eq!((queue.len(), queue.account_len(&"school", BULK)), (0, 0));
    assert!(!queue.has_waiters(BULK));
}

#[test]
fn requests_that_can_no_longer_be_on_time_yield_to_those_that_can() {
    let mut queue = FairQueue::default();
    for (id, account, start_by_ms) in [(0, "brewery", 50), (1, "master", 400), (2, "master", 300)] {
        let start_by = at_ms(start_by_ms);
        let waiter = QueuedRequest { start_by, ..request(id, account, NORMAL, 100) };
        queue.push(&waiter, Timestamp::ZERO);
    }
    assert_eq!(queue.order(9, at_ms(40)), [WaiterId(0), WaiterId(2), WaiterId(1)]);
    queue.defer_late(at_ms(60));
    assert_eq!(queue.order(9, at_ms(60)), [WaiterId(2), WaiterId(1), WaiterId(0)]);
}

#[test]
fn callers_that_return_as_told_go_before_newcomers_of_their_account_and_level() {
    let mut queue = FairQueue::default();
    queue.push(&request(0, "brewery", URGENT, 100), Timestamp::ZERO);
    queue.push(&request(1, "school", BULK, 100), Timestamp::ZERO);
    queue.push(&request(2, "master", BULK, 100), Timestamp::ZERO);
    let returned = QueuedRequest { is_returned: true, ..request(3, "school", BULK, 100) };
    queue.push(&returned, Timestamp::ZERO);
    let order = queue.order(9, Timestamp::ZERO);
    assert_eq!(order, [WaiterId(0), WaiterId(2), WaiterId(3), WaiterId(1)]);
}
