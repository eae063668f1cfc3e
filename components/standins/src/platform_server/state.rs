//! What the platform's services hold.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use platform::{HostEntry, Key, WeightId};
use utils::HashMap;

use crate::{CallLimits, MemoryTable};

/// What the platform's services hold. Clones share it.
#[derive(Debug, Clone)]
pub struct PlatformState {
    /// Table.
    table: MemoryTable,
    /// The other services.
    shared: Arc<Mutex<Shared>>,
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
}

impl PlatformState {
    /// Creates empty services; `seed` decides which of the table's answers are lost.
    pub fn new(limits: CallLimits, seed: u64) -> PlatformState {
        PlatformState { table: MemoryTable::new(limits, seed), shared: Arc::default() }
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

    /// Returns the time that a load of `weights` takes.
    pub fn load_time(&self, weights: &WeightId) -> Option<Duration> {
        self.lock().weights.get(weights).copied()
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
