//! Request queue of a pool: start-time fair queueing across client accounts within each
//! priority. The scheduler bounds its length. A grant removes a request from the queue to
//! place it on an endpoint.

use std::{collections::BTreeMap, time::Duration};

use types::{AccountName, Priority, Timestamp};
use utils::HashMap;

use crate::scheduler::WaiterId;

/// Virtual time units per token of cost at weight 1.
const TAG_UNITS: u64 = 1_024;

/// Share of the recently granted cost below which a less urgent priority is starved and
/// goes first.
const GRANTED_SHARE_MIN: f64 = 0.1;

/// Time without a grant after which a priority can be starved.
const STARVATION_TIME_MIN: Duration = Duration::from_millis(500);

/// Factor by which earlier granted costs decay at each grant.
const COST_DECAY: f64 = 0.98;

/// Weight of a new interval between grants in the moving average.
const INTERVAL_WEIGHT: f64 = 0.05;

/// Mean interval between grants before the first grant, in seconds.
const INITIAL_INTERVAL_S: f64 = 0.01;

/// Position of an entry in its band: start tag and sequence number.
type QueuePosition = (u64, u64);

/// Requests waiting for an endpoint of a pool.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// One band for each priority.
    bands: [Band; 3],
    /// Priority and position of each waiter.
    positions: HashMap<WaiterId, (Priority, QueuePosition)>,
    /// Number of waiters of each account and priority. Entries are never zero.
    by_account: HashMap<(AccountName, Priority), usize>,
    /// Sequence number of the next entry.
    next_seq: u64,
    /// Recently granted cost in tokens, decayed at each grant, by priority.
    granted_cost: [f64; 3],
}

/// Waiters of one priority.
#[derive(Debug)]
struct Band {
    /// Waiters with their accounts and costs in tokens, by start tag, then by age.
    order: BTreeMap<QueuePosition, (WaiterId, AccountName, u64)>,
    /// Highest start tag granted so far.
    virtual_time: u64,
    /// Finish tag of the last entry of each account. Tags up to `virtual_time` are dropped
    /// when the band becomes empty.
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
    /// Queues a request that costs `cost` tokens, for an account of the given weight.
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
        band.order.insert((start, seq), (id, account.clone(), cost));
        self.positions.insert(id, (priority, (start, seq)));
        *self.by_account.entry((account.clone(), priority)).or_default() += 1;
    }

    /// Removes a waiter. The finish tag of its account stays as it is.
    pub(crate) fn remove(&mut self, id: WaiterId) {
        let Some((priority, position)) = self.positions.remove(&id) else { return };
        let Some((_, account, _)) = self.bands[priority as usize].order.remove(&position) else {
            return;
        };
        let key = (account, priority);
        if let Some(count) = self.by_account.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.by_account.remove(&key);
            }
        }
    }

    /// Removes a waiter that is placed on an endpoint, and updates the virtual time and the
    /// granted costs.
    pub(crate) fn grant(&mut self, id: WaiterId, now: Timestamp) {
        let Some(&(priority, position)) = self.positions.get(&id) else { return };
        let start = position.0;
        let cost = self.bands[priority as usize].order[&position].2;
        self.remove(id);
        self.granted_cost.iter_mut().for_each(|it| *it *= COST_DECAY);
        self.granted_cost[priority as usize] += cost as f64;
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

    /// Returns the priorities in the order in which they are served next: a starved
    /// priority first, then by urgency.
    pub(crate) fn grant_order(&self, now: Timestamp) -> [Priority; 3] {
        use Priority::{Bulk, Normal, Urgent};
        if self.is_starved(Bulk, now) {
            [Bulk, Urgent, Normal]
        } else if self.is_starved(Normal, now) {
            [Normal, Urgent, Bulk]
        } else {
            [Urgent, Normal, Bulk]
        }
    }

    /// Reports whether a priority has waiters, got no grant for [`STARVATION_TIME_MIN`] and
    /// has received less than [`GRANTED_SHARE_MIN`] of the granted cost.
    fn is_starved(&self, priority: Priority, now: Timestamp) -> bool {
        let band = &self.bands[priority as usize];
        let total: f64 = self.granted_cost.iter().sum();
        !band.order.is_empty()
            && now.since(band.granted_at) >= STARVATION_TIME_MIN
            && self.granted_cost[priority as usize] < total * GRANTED_SHARE_MIN
    }

    /// Returns up to `count` waiters of a priority that are next in its order.
    pub(crate) fn heads(&self, priority: Priority, count: usize) -> Vec<WaiterId> {
        let order = self.bands[priority as usize].order.values();
        order.take(count).map(|(id, ..)| *id).collect()
    }

    /// Reports whether requests of `priority` or of a more urgent one are waiting.
    pub(crate) fn has_waiters(&self, priority: Priority) -> bool {
        self.bands[priority as usize..].iter().any(|band| !band.order.is_empty())
    }

    /// Returns the number of waiting requests.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns the number of waiting requests of `priority`.
    pub(crate) fn band_len(&self, priority: Priority) -> usize {
        self.bands[priority as usize].order.len()
    }

    /// Returns the number of waiting requests of `account` and `priority`.
    pub(crate) fn account_len(&self, account: &AccountName, priority: Priority) -> usize {
        self.by_account.get(&(account.clone(), priority)).copied().unwrap_or(0)
    }

    /// Estimates how long a new request of `priority` would wait, from the mean interval
    /// between grants.
    pub(crate) fn estimate_wait(&self, priority: Priority, now: Timestamp) -> Duration {
        let band = &self.bands[priority as usize];
        if band.order.is_empty() {
            return Duration::ZERO;
        }
        let since_grant_s = now.since(band.granted_at).as_secs_f64();
        let interval_s = band.interval_s.max(since_grant_s);
        Duration::from_secs_f64(interval_s * (band.order.len() + 1) as f64)
    }
}

#[cfg(test)]
#[path = "fair_queue_tests.rs"]
mod tests;
