//! The object store stand-in as an implementation of the trait, in memory.

use std::sync::{Arc, Mutex, MutexGuard};

use async_trait::async_trait;
use platform::{Key, ObjectStore, PlatformError};
use utils::HashMap;

/// The object store stand-in. Clones share their objects.
#[derive(Debug, Clone, Default)]
pub struct MemoryObjects {
    /// State shared by the clones.
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Objects by key.
    objects: HashMap<Key, Arc<[u8]>>,
    /// Whether every call is refused.
    is_down: bool,
}

impl MemoryObjects {
    /// Sets whether every call is refused from now on.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
    }

    /// Returns how many objects are stored.
    pub fn len(&self) -> usize {
        self.lock().objects.len()
    }

    /// Tells whether nothing is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no holder of the lock panics")
    }

    fn admit(&self) -> Result<MutexGuard<'_, Shared>, PlatformError> {
        let shared = self.lock();
        if shared.is_down { Err(PlatformError::Unavailable) } else { Ok(shared) }
    }
}

#[async_trait]
impl ObjectStore for MemoryObjects {
    async fn put(&self, key: &Key, content: Arc<[u8]>) -> Result<(), PlatformError> {
        self.admit()?.objects.insert(key.clone(), content);
        Ok(())
    }

    async fn get(&self, key: &Key) -> Result<Option<Arc<[u8]>>, PlatformError> {
        Ok(self.admit()?.objects.get(key).cloned())
    }

    async fn delete(&self, key: &Key) -> Result<(), PlatformError> {
        self.admit()?.objects.remove(key);
        Ok(())
    }
}
