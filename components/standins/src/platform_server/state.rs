//! What the platform's services hold.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use platform::{HostEntry, Key, PlatformError, WeightId};
use tokio::time::Instant;
use types::Timestamp;
use utils::HashMap;

use crate::{Bucket, CallLimits, MemoryTable};

/// What the platform's services hold. Clones share it.
#[derive(Debug, Clone)]
pub struct PlatformState {
    /// Table.
    table: MemoryTable,
    /// The other services.
    shared: Arc<Mutex<Shared>>,
    /// Start of the services' clock.
    start: Instant,
}

#[derive(Debug, Default)]
struct Shared {
    /// Objects.
    objects: HashMap<Key, bytes::Bytes>,
    /// Whether the object store refuses every call.
    objects_down: bool,
    /// Host list, which lags as the test wants.
    hosts: Vec<HostEntry>,
    /// Weights and the time of their load.
    weights: HashMap<WeightId, Duration>,
    /// Limit on loads; none where absent.
    load_limit: Option<Bucket>,
}

impl PlatformState {
    /// Creates empty services; `seed` decides which of the table's answers are lost.
    pub fn new(limits: CallLimits, seed: u64) -> PlatformState {
        PlatformState {
            table: MemoryTable::new(limits, seed),
            shared: Arc::default(),
            start: Instant::now(),
        }
    }

    /// Returns the table.
    pub fn table(&self) -> &MemoryTable {
        &self.table
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.lock().hosts = hosts;
    }

    /// Returns the host list.
    pub fn hosts(&self) -> Vec<HostEntry> {
        self.lock().hosts.clone()
    }

    /// Adds weights that take `load_time` to load.
    pub fn add_weights(&self, weights: WeightId, load_time: Duration) {
        self.lock().weights.insert(weights, load_time);
    }

    /// Limits the loads that may start to `rate` a second.
    pub fn limit_loads(&self, rate: u32) {
        self.lock().load_limit = Some(Bucket::new(rate));
    }

    /// Returns the time that a load of `weights` takes, or `None` where there are no such
    /// weights.
    ///
    /// # Errors
    /// [`PlatformError::RateLimited`] where no further load may start now.
    pub fn load_time(&self, weights: &WeightId) -> Result<Option<Duration>, PlatformError> {
        let now = Timestamp::ZERO + self.start.elapsed();
        let mut shared = self.lock();
        if shared.load_limit.as_mut().is_some_and(|limit| !limit.take(now)) {
            return Err(PlatformError::RateLimited);
        }
        Ok(shared.weights.get(weights).copied())
    }

    /// Sets whether the object store refuses every call.
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
        self.shared.lock().expect("no holder of the lock panics")
    }
}

#[cfg(test)]
mod tests {
    use types::{ModelName, ModelVersion};

    use super::*;

    #[tokio::test(start_paused = true)]
    async fn weight_store_limits_the_rate_of_loads() {
        let state = PlatformState::new(CallLimits::new(1, 1), 1);
        let weights = WeightId {
            model: ModelName::new("barrel-7b").unwrap(),
            version: ModelVersion::new("v1").unwrap(),
            adapter: None,
        };
        let load_time = Duration::from_secs(20);
        state.add_weights(weights.clone(), load_time);
        state.limit_loads(1);
        assert_eq!(state.load_time(&weights), Ok(Some(load_time)));
        assert_eq!(state.load_time(&weights), Err(PlatformError::RateLimited));
        tokio::time::advance(Duration::from_secs(1)).await;
        assert_eq!(state.load_time(&weights), Ok(Some(load_time)));
    }
}
