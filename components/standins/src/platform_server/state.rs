//! State of the platform's services.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use platform::{HostEntry, Key, PlatformError, WeightId};
use tokio::time::Instant;
use types::Timestamp;
use utils::HashMap;

use crate::{CallLimits, MemoryTable, RateLimiter};

/// State of the platform's services. Clones share it.
#[derive(Debug, Clone)]
pub struct PlatformState {
    table: MemoryTable,
    /// State of the services other than the table.
    shared: Arc<Mutex<Shared>>,
    /// Time at which the services' clock started.
    start: Instant,
}

#[derive(Debug, Default)]
struct Shared {
    /// Objects of the object store.
    objects: HashMap<Key, bytes::Bytes>,
    /// Whether the object store answers every call as unavailable.
    objects_down: bool,
    /// Host list as set by the test, which may be out of date.
    hosts: Vec<HostEntry>,
    /// Load time of each set of weights.
    weights: HashMap<WeightId, Duration>,
    /// Limit on the rate of loads; `None` without a limit.
    load_limit: Option<RateLimiter>,
}

impl PlatformState {
    /// Creates empty services. `limits` apply to the table, and `seed` determines which of the
    /// table's answers are lost.
    pub fn new(limits: CallLimits, seed: u64) -> PlatformState {
        PlatformState {
            table: MemoryTable::new(limits, seed),
            shared: Arc::default(),
            start: Instant::now(),
        }
    }

    /// Returns the table service.
    pub fn table(&self) -> &MemoryTable {
        &self.table
    }

    /// Replaces the host list that clients receive.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.lock().hosts = hosts;
    }

    /// Returns the host list that clients receive.
    pub fn hosts(&self) -> Vec<HostEntry> {
        self.lock().hosts.clone()
    }

    /// Adds weights that take `load_time` to load.
    pub fn add_weights(&self, weights: WeightId, load_time: Duration) {
        self.lock().weights.insert(weights, load_time);
    }

    /// Limits loads to `rate` starts per second.
    pub fn limit_loads(&self, rate: u32) {
        self.lock().load_limit = Some(RateLimiter::new(rate));
    }

    /// Returns the time that a load of `weights` takes, or `None` if there are no such weights.
    /// Counts as the start of a load.
    ///
    /// # Errors
    /// [`PlatformError::RateLimited`] if no further load may start now.
    pub fn load_time(&self, weights: &WeightId) -> Result<Option<Duration>, PlatformError> {
        let now = Timestamp::ZERO + self.start.elapsed();
        let mut shared = self.lock();
        if shared.load_limit.as_mut().is_some_and(|limit| !limit.try_acquire(now)) {
            return Err(PlatformError::RateLimited);
        }
        Ok(shared.weights.get(weights).copied())
    }

    /// Sets whether the object store answers every call as unavailable.
    pub fn set_objects_down(&self, down: bool) {
        self.lock().objects_down = down;
    }

    pub(super) fn objects_down(&self) -> bool {
        self.lock().objects_down
    }

    pub(super) fn put_object(&self, key: Key, content: bytes::Bytes) {
        self.lock().objects.insert(key, content);
    }

    pub(super) fn object(&self, key: &Key) -> Option<bytes::Bytes> {
        self.lock().objects.get(key).cloned()
    }

    pub(super) fn delete_object(&self, key: &Key) {
        self.lock().objects.remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("the lock is not poisoned")
    }
}

#[cfg(test)]
#[path = "state_tests.rs"]
mod tests;
