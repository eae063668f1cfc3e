//! Queue of requests that wait for an endpoint: start-time fair queueing across client accounts
//! within each level of urgency. Whoever uses it bounds its length. A grant removes a request from
//! the queue to place it on an endpoint.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hash,
    time::Duration,
};

use types::Timestamp;
use utils::HashMap;

use crate::scheduler::WaiterId;

/// Virtual time units per token of cost at weight 1.
const TAG_UNITS: u64 = 1_024;

/// Share of the recently granted cost below which a less urgent level is starved and goes first.
const GRANTED_SHARE_MIN: f64 = 0.1;

/// Time without a grant after which a level can be starved.
const STARVATION_TIME_MIN: Duration = Duration::from_millis(500);

/// Factor by which earlier granted costs decay at each grant.
const COST_DECAY: f64 = 0.98;

/// Weight of a new interval between grants in the moving average.
const INTERVAL_WEIGHT: f64 = 0.05;

/// Mean interval between grants before the first grant, in seconds.
const INITIAL_INTERVAL_S: f64 = 0.01;

/// A request to be queued. `A` identifies client accounts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<A> {
    /// Identifier, unique within the queue.
    pub id: WaiterId,
    /// Client account.
    pub account: A,
    /// Weight of the account.
    pub weight: u32,
    /// Level of urgency; 0 is the most urgent.
    pub level: u32,
    /// Work that the request asks for, in tokens.
    pub cost: u64,
    /// Last moment at which a start still meets the latency target.
    pub start_by: Timestamp,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
    /// Whether the caller was refused before and returned when it was told to. It goes before other
    /// requests of its account, but takes nothing from other accounts.
    pub is_returned: bool,
}

/// Order of the entries of one account: those that can be on time first, then those that were
/// refused before, then by urgency and age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EntryKey {
    is_late: bool,
    is_new: bool,
    start_by: Timestamp,
    deadline: Timestamp,
    seq: u64,
}

/// Position of an account in its band, by its first entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    is_late: bool,
    start: u64,
    seq: u64,
}

/// A waiting request.
#[derive(Debug, Clone, Copy)]
struct Entry {
    id: WaiterId,
    /// Work in tokens.
    cost: u64,
    /// Length in virtual time.
    length: u64,
}

/// Waiting requests of one account and level.
#[derive(Debug, Default)]
struct Backlog {
    /// Start tag of the next request. While nothing waits, the finish tag of the last grant.
    start: u64,
    /// Requests in the order in which they are granted.
    waiting: BTreeMap<EntryKey, Entry>,
}

impl Backlog {
    fn position(&self) -> Option<Position> {
        let (key, _) = self.waiting.first_key_value()?;
        let EntryKey { is_late, seq, .. } = *key;
        Some(Position { is_late, start: self.start, seq })
    }
}

/// Waiters of one level.
#[derive(Debug)]
struct Band<A> {
    /// Accounts with waiting requests, by the position of the first one.
    order: BTreeMap<Position, A>,
    /// Accounts that wait or whose last finish tag lies ahead of `virtual_time`. Others are dropped
    /// when the band becomes empty.
    accounts: HashMap<A, Backlog>,
    /// Highest start tag granted so far.
    virtual_time: u64,
    /// Number of waiting requests.
    len: usize,
    /// Recently granted cost in tokens, decayed at each grant of the queue.
    granted_cost: f64,
    /// Mean interval between grants while requests waited, in seconds.
    interval_s: f64,
    /// When the last grant was made, or when the band last became non-empty.
    granted_at: Timestamp,
}

impl<A> Default for Band<A> {
    fn default() -> Band<A> {
        Band {
            order: BTreeMap::new(),
            accounts: HashMap::default(),
            virtual_time: 0,
            len: 0,
            granted_cost: 0.0,
            interval_s: INITIAL_INTERVAL_S,
            granted_at: Timestamp::ZERO,
        }
    }
}

impl<A: Clone + Eq + Hash> Band<A> {
    /// Changes the backlog of an account and updates the account's position.
    fn update<T>(&mut self, account: &A, change: impl FnOnce(&mut Backlog) -> T) -> T {
        let backlog = self.accounts.entry(account.clone()).or_default();
        if let Some(position) = backlog.position() {
            self.order.remove(&position);
        }
        let result = change(backlog);
        if let Some(position) = backlog.position() {
            self.order.insert(position, account.clone());
        }
        result
    }

    /// Returns up to `count` waiters in the order in which they are granted if no others arrive.
    fn heads(&self, count: usize) -> Vec<WaiterId> {
        let mut heads = Vec::new();
        let mut cursors = BTreeMap::new();
        for (position, account) in &self.order {
            cursors.insert(*position, self.accounts[account].waiting.iter().peekable());
        }
        while heads.len() < count {
            let Some((position, mut rest)) = cursors.pop_first() else { break };
            let Some((_, entry)) = rest.next() else { continue };
            heads.push(entry.id);
            if let Some((key, _)) = rest.peek() {
                let EntryKey { is_late, seq, .. } = **key;
                let start = position.start + entry.length;
                cursors.insert(Position { is_late, start, seq }, rest);
            }
        }
        heads
    }
}

/// Requests waiting for an endpoint of a pool.
#[derive(Debug)]
pub struct FairQueue<A> {
    /// Bands by level; 0 is the most urgent.
    bands: BTreeMap<u32, Band<A>>,
    /// Level, account and key of each waiter.
    keys: HashMap<WaiterId, (u32, A, EntryKey)>,
    /// Waiters that can still be on time, by the last moment at which they can start.
    start_bys: BTreeSet<(Timestamp, WaiterId)>,
    /// Sequence number of the next entry.
    next_seq: u64,
}

impl<A> Default for FairQueue<A> {
    fn default() -> FairQueue<A> {
        FairQueue {
            bands: BTreeMap::new(),
            keys: HashMap::default(),
            start_bys: BTreeSet::new(),
            next_seq: 0,
        }
    }
}

impl<A: Clone + Eq + Hash> FairQueue<A> {
    /// Queues a request.
    pub fn push(&mut self, request: &QueuedRequest<A>, now: Timestamp) {
        let &QueuedRequest { id, level, cost, start_by, deadline, .. } = request;
        let seq = self.next_seq;
        self.next_seq += 1;
        let is_late = start_by < now;
        let key = EntryKey { is_late, is_new: !request.is_returned, start_by, deadline, seq };
        let length = (cost.max(1) * TAG_UNITS / u64::from(request.weight.max(1))).max(1);
        let band = self.bands.entry(level).or_default();
        if band.len == 0 {
            band.granted_at = now;
        }
        band.len += 1;
        let virtual_time = band.virtual_time;
        band.update(&request.account, |backlog| {
            if backlog.waiting.is_empty() {
                backlog.start = backlog.start.max(virtual_time);
            }
            backlog.waiting.insert(key, Entry { id, cost, length });
        });
        if !is_late {
            self.start_bys.insert((start_by, id));
        }
        self.keys.insert(id, (level, request.account.clone(), key));
    }

    /// Removes a waiter without charging its account.
    pub fn remove(&mut self, id: WaiterId) {
        self.take(id);
    }

    fn take(&mut self, id: WaiterId) -> Option<(u32, A, Entry)> {
        let (level, account, key) = self.keys.remove(&id)?;
        self.start_bys.remove(&(key.start_by, id));
        let band = self.bands.get_mut(&level)?;
        let entry = band.update(&account, |backlog| backlog.waiting.remove(&key))?;
        band.len -= 1;
        Some((level, account, entry))
    }

    /// Removes a waiter that is placed on an endpoint, and updates the virtual time and the
    /// granted costs.
    pub fn grant(&mut self, id: WaiterId, now: Timestamp) {
        let Some((level, account, entry)) = self.take(id) else { return };
        self.bands.values_mut().for_each(|it| it.granted_cost *= COST_DECAY);
        let Some(band) = self.bands.get_mut(&level) else { return };
        band.granted_cost += entry.cost as f64;
        let start = band.update(&account, |backlog| {
            let start = backlog.start;
            backlog.start += entry.length;
            start
        });
        band.virtual_time = band.virtual_time.max(start);
        let interval_s = now.since(band.granted_at).as_secs_f64();
        band.interval_s += (interval_s - band.interval_s) * INTERVAL_WEIGHT;
        band.granted_at = now;
        if band.len == 0 {
            let virtual_time = band.virtual_time;
            band.accounts.retain(|_, it| it.start > virtual_time);
        }
    }

    /// Moves the waiters that can no longer be on time behind the others of their level.
    pub fn defer_late(&mut self, now: Timestamp) {
        while let Some(&(start_by, id)) = self.start_bys.first() {
            if start_by >= now {
                break;
            }
            self.start_bys.pop_first();
            let Some((level, account, key)) = self.keys.get_mut(&id) else { continue };
            let Some(band) = self.bands.get_mut(level) else { continue };
            band.update(account, |backlog| {
                if let Some(entry) = backlog.waiting.remove(key) {
                    key.is_late = true;
                    backlog.waiting.insert(*key, entry);
                }
            });
        }
    }

    /// Returns the levels in the order in which they are served next: a starved level first, then
    /// by urgency.
    pub fn grant_order(&self, now: Timestamp) -> Vec<u32> {
        let mut levels: Vec<u32> =
            self.bands.iter().filter(|(_, it)| it.len > 0).map(|(level, _)| *level).collect();
        let total: f64 = self.bands.values().map(|it| it.granted_cost).sum();
        let is_starved = |level: &u32| {
            let band = &self.bands[level];
            now.since(band.granted_at) >= STARVATION_TIME_MIN
                && band.granted_cost < total * GRANTED_SHARE_MIN
        };
        if let Some(index) = levels.iter().rposition(is_starved) {
            levels[..=index].rotate_right(1);
        }
        levels
    }

    /// Returns up to `count` waiters of a level that are next in its order.
    pub fn heads(&self, level: u32, count: usize) -> Vec<WaiterId> {
        self.bands.get(&level).map(|it| it.heads(count)).unwrap_or_default()
    }

    /// Returns up to `count` waiters in the order in which they are granted next.
    pub fn order(&self, count: usize, now: Timestamp) -> Vec<WaiterId> {
        let mut order = Vec::new();
        for level in self.grant_order(now) {
            order.extend(self.heads(level, count - order.len()));
        }
        order
    }

    /// Reports whether requests of `level` or of a more urgent one are waiting.
    pub fn has_waiters(&self, level: u32) -> bool {
        self.bands.range(..=level).any(|(_, it)| it.len > 0)
    }

    /// Reports whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns the number of waiting requests of `level`.
    pub fn level_len(&self, level: u32) -> usize {
        self.bands.get(&level).map_or(0, |it| it.len)
    }

    /// Returns the number of waiting requests of `account` and `level`.
    pub fn account_len(&self, account: &A, level: u32) -> usize {
        let band = self.bands.get(&level);
        band.and_then(|it| it.accounts.get(account)).map_or(0, |it| it.waiting.len())
    }

    /// Estimates how long a new request of `level` would wait, from the mean interval between
    /// grants.
    pub fn estimate_wait(&self, level: u32, now: Timestamp) -> Duration {
        let Some(band) = self.bands.get(&level).filter(|it| it.len > 0) else {
            return Duration::ZERO;
        };
        let since_grant_s = now.since(band.granted_at).as_secs_f64();
        let interval_s = band.interval_s.max(since_grant_s);
        Duration::from_secs_f64(interval_s * (band.len + 1) as f64)
    }
}

#[cfg(test)]
#[path = "fair_queue_tests.rs"]
mod tests;
