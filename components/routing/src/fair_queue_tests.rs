//! Tests of `fair_queue`.

use super::*;

fn account(name: &str) -> AccountName {
    AccountName::new(name).unwrap()
}

fn grant_all(queue: &mut FairQueue, interval: Duration) -> Vec<u64> {
    let (mut order, mut now) = (Vec::new(), Timestamp::ZERO);
    while queue.len() > 0 {
        let priorities = queue.grant_order(now);
        let head = priorities.iter().find_map(|&it| queue.heads(it, 1).first().copied());
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
    let (large, small) = (account("brewery"), account("master"));
    for id in 0..6 {
        queue.push(WaiterId(id), &large, 2, Priority::Normal, 100, Timestamp::ZERO);
    }
    for id in 10..13 {
        queue.push(WaiterId(id), &small, 1, Priority::Normal, 100, Timestamp::ZERO);
    }
    assert_eq!(grant_all(&mut queue, Duration::ZERO), [0, 10, 1, 2, 11, 3, 4, 12, 5]);
}

#[test]
fn urgent_requests_go_first_without_starving_bulk() {
    let mut queue = FairQueue::default();
    let name = account("school");
    for id in 0..100 {
        queue.push(WaiterId(id), &name, 1, Priority::Urgent, 100, Timestamp::ZERO);
    }
    for id in 200..203 {
        queue.push(WaiterId(id), &name, 1, Priority::Bulk, 1_000, Timestamp::ZERO);
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
    let name = account("school");
    queue.push(WaiterId(1), &name, 1, Priority::Bulk, 10, Timestamp::ZERO);
    assert_eq!(queue.account_len(&name, Priority::Bulk), 1);
    queue.remove(WaiterId(1));
    assert_eq!((queue.len(), queue.account_len(&name, Priority::Bulk)), (0, 0));
    assert!(!queue.has_waiters(Priority::Bulk));
}
