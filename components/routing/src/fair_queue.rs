//! Bounded queue of a pool: start-time fair queueing across client accounts inside of
//! each priority.

use std::{collections::BTreeMap, time::Duration};

use types::{AccountName, Priority, Timestamp};
use utils::HashMap;

use crate::scheduler::WaiterId;

/// Tag units that one token of cost takes at weight 1.
const TAG_UNITS: u64 = 1_024;

/// Every how many grants a less urgent priority comes first, so that none starves.
const TURN: u64 = 4;

/// Weight of a new interval between grants in the mean.
const INTERVAL_WEIGHT: f64 = 0.05;

/// Mean interval between grants before any was seen, in seconds.
const INITIAL_INTERVAL_S: f64 = 0.01;

/// Place of an entry in the order of its band.
type Place = (u64, u64);

/// Requests that wait for an endpoint of a pool.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// One band for each priority.
    bands: [Band; 3],
    /// Where each waiter is.
    places: HashMap<WaiterId, (Priority, Place)>,
    /// Waiters of each account and priority; no entry is zero.
    by_account: HashMap<(AccountName, Priority), usize>,
    /// Number of the next entry.
    next_seq: u64,
    /// Grants so far.
    grants: u64,
}

/// Waiters of one priority.
#[derive(Debug)]
struct Band {
    /// Waiters by start tag, then age.
    order: BTreeMap<Place, (WaiterId, AccountName)>,
    /// Start tag of the last grant.
    virtual_time: u64,
    /// Finish tag of the last entry of each account. Only tags after `virtual_time`.
    finish_tags: HashMap<AccountName, u64>,
    /// Mean interval between grants while requests waited, in seconds.
    interval_s: f64,
    /// When the last grant was made, or when the band last became non-empty.
    granted_at: Timestamp,
}

impl Default for Band {
    fn default() -> Band {
        Band {
            order: BTreeMap::new(),
            virtual_time: 0,
            finish_tags: HashMap::default(),
            interval_s: INITIAL_INTERVAL_S,
            granted_at: Timestamp::ZERO,
        }
    }
}

impl FairQueue {
    /// Adds a waiter whose request costs `cost` tokens.
    pub(crate) fn push(
        &mut self,
        id: WaiterId,
        account: &AccountName,
        weight: u32,
        priority: Priority,
        cost: u64,
        now: Timestamp,
    ) {
        let seq = self.next_seq;
        self.next_seq += 1;
        let band = &mut self.bands[priority as usize];
        if band.order.is_empty() {
            band.granted_at = now;
        }
        let start = band.finish_tags.get(account).copied().unwrap_or(0).max(band.virtual_time);
        let length = (cost.max(1) * TAG_UNITS / u64::from(weight.max(1))).max(1);
        band.finish_tags.insert(account.clone(), start + length);
        band.order.insert((start, seq), (id, account.clone()));
        self.places.insert(id, (priority, (start, seq)));
        *self.by_account.entry((account.clone(), priority)).or_default() += 1;
    }

    /// Removes a waiter without a grant.
    pub(crate) fn remove(&mut self, id: WaiterId) {
        let Some((priority, place)) = self.places.remove(&id) else { return };
        let Some((_, account)) = self.bands[priority as usize].order.remove(&place) else { return };
        let key = (account, priority);
        if let Some(count) = self.by_account.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.by_account.remove(&key);
            }
        }
    }

    /// Removes a waiter that was granted a place.
    pub(crate) fn grant(&mut self, id: WaiterId, now: Timestamp) {
        let Some(&(priority, (start, _))) = self.places.get(&id) else { return };
        self.remove(id);
        self.grants += 1;
        let band = &mut self.bands[priority as usize];
        band.virtual_time = band.virtual_time.max(start);
        let virtual_time = band.virtual_time;
        let interval_s = now.since(band.granted_at).as_secs_f64();
        band.interval_s += (interval_s - band.interval_s) * INTERVAL_WEIGHT;
        band.granted_at = now;
        if band.order.is_empty() {
            band.finish_tags.retain(|_, tag| *tag > virtual_time);
        }
    }

    /// Returns the priorities in the order in which they are to be granted next.
    pub(crate) fn turns(&self) -> [Priority; 3] {
        use Priority::{Bulk, Normal, Urgent};
        match self.grants % (2 * TURN) {
            turn if turn == TURN - 1 => [Normal, Urgent, Bulk],
            turn if turn == 2 * TURN - 1 => [Bulk, Urgent, Normal],
            _ => [Urgent, Normal, Bulk],
        }
    }

    /// Returns the first `count` waiters of a priority.
    pub(crate) fn heads(&self, priority: Priority, count: usize) -> Vec<WaiterId> {
        let order = self.bands[priority as usize].order.values();
        order.take(count).map(|(id, _)| *id).collect()
    }

    /// Tells whether a request of `priority` would wait behind another.
    pub(crate) fn has_waiters(&self, priority: Priority) -> bool {
        self.bands[priority as usize..].iter().any(|band| !band.order.is_empty())
    }

    /// Returns how many requests wait.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns how many requests of `priority` wait.
    pub(crate) fn band_len(&self, priority: Priority) -> usize {
        self.bands[priority as usize].order.len()
    }

    /// Returns how many requests of `account` and `priority` wait.
    pub(crate) fn account_len(&self, account: &AccountName, priority: Priority) -> usize {
        self.by_account.get(&(account.clone(), priority)).copied().unwrap_or(0)
    }

    /// Estimates how long a new request of `priority` waits.
    pub(crate) fn estimate_wait(&self, priority: Priority, now: Timestamp) -> Duration {
        let band = &self.bands[priority as usize];
        if band.order.is_empty() {
            return Duration::ZERO;
        }
        let silent_s = now.since(band.granted_at).as_secs_f64();
        let interval_s = band.interval_s.max(silent_s);
        Duration::from_secs_f64(interval_s * (band.order.len() + 1) as f64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn account(name: &str) -> AccountName {
        AccountName::new(name).unwrap()
    }

    fn grant_all(queue: &mut FairQueue) -> Vec<u64> {
        let mut order = Vec::new();
        while queue.len() > 0 {
            let turns = queue.turns();
            let head = turns.iter().find_map(|&it| queue.heads(it, 1).first().copied());
            let head = head.unwrap();
            queue.grant(head, Timestamp::ZERO);
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
        assert_eq!(grant_all(&mut queue), [0, 10, 1, 2, 11, 3, 4, 12, 5]);
    }

    #[test]
    fn urgent_requests_go_first_and_starve_nobody() {
        let mut queue = FairQueue::default();
        let name = account("school");
        for id in 0..12 {
            queue.push(WaiterId(id), &name, 1, Priority::Urgent, 10, Timestamp::ZERO);
        }
        queue.push(WaiterId(20), &name, 1, Priority::Bulk, 1_000, Timestamp::ZERO);
        let order = grant_all(&mut queue);
        assert_eq!(order.iter().position(|&id| id == 20), Some(7));
    }

    #[test]
    fn removed_waiters_leave_no_trace() {
        let mut queue = FairQueue::default();
        let name = account("school");
        queue.push(WaiterId(1), &name, 1, Priority::Bulk, 10, Timestamp::ZERO);
        assert_eq!(queue.account_len(&name, Priority::Bulk), 1);
        queue.remove(WaiterId(1));
        assert_eq!((queue.len(), queue.account_len(&name, Priority::Bulk)), (0, 0));
        assert!(!queue.has_waiters(Priority::Bulk));
    }
}
