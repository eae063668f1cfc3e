//! Cache of prompt prefixes, in blocks, with a limited size.

use std::collections::{BTreeMap, VecDeque};

use engine_api::CacheEvent;
use utils::HashMap;

/// Maximum number of events kept for readers. Older events are dropped.
const EVENTS_MAX: usize = 4_096;

/// Cache of prompt blocks that evicts the least recently used block first.
#[derive(Debug)]
pub struct PrefixCache {
    /// Maximum number of blocks.
    capacity: usize,
    /// Value of `clock` at the last use of each block.
    used: HashMap<u64, u64>,
    /// Blocks by value of `clock` at their last use. Holds exactly the blocks of `used`.
    order: BTreeMap<u64, u64>,
    /// Number of block uses so far, which serves as a logical clock.
    clock: u64,
    /// Most recent events, oldest first.
    events: VecDeque<CacheEvent>,
    /// Number of the first event in `events`.
    first_event: u64,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> PrefixCache {
        PrefixCache {
            capacity,
            used: HashMap::default(),
            order: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            first_event: 0,
        }
    }

    /// Returns how many blocks at the start of `blocks` are cached, then caches all of `blocks`.
    pub fn use_blocks(&mut self, blocks: &[u64]) -> usize {
        let hits = blocks.iter().take_while(|block| self.used.contains_key(block)).count();
        for &block in blocks {
            self.touch(block);
        }
        while self.used.len() > self.capacity {
            self.evict_oldest();
        }
        hits
    }

    /// Returns the number of the first event returned and the kept events from number `from` on.
    pub fn events_from(&self, from: u64) -> (u64, Vec<CacheEvent>) {
        let first = from.max(self.first_event);
        let skipped = usize::try_from(first - self.first_event).unwrap_or(usize::MAX);
        (first, self.events.iter().skip(skipped).copied().collect())
    }

    /// Returns the number that the next event will have.
    pub fn events_end(&self) -> u64 {
        self.first_event + self.events.len() as u64
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        match self.used.insert(block, self.clock) {
            Some(previous) => {
                self.order.remove(&previous);
            }
            None => self.record(CacheEvent::Stored(block)),
        }
        self.order.insert(self.clock, block);
    }

    fn evict_oldest(&mut self) {
        if let Some((_, block)) = self.order.pop_first() {
            self.used.remove(&block);
            self.record(CacheEvent::Evicted(block));
        }
    }

    fn record(&mut self, event: CacheEvent) {
        self.events.push_back(event);
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
            self.first_event += 1;
        }
    }
}

#[cfg(test)]
#[path = "prefix_cache_tests.rs"]
mod tests;
