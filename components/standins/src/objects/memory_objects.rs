//! In-memory implementation of the object store.

use std::sync::{Arc, Mutex, MutexGuard};

use async_trait::async_trait;
use platform::{Key, ObjectStore, PlatformError};
use utils::HashMap;

/// An in-memory object store. Clones share the same objects.
#[derive(Debug, Clone, Default)]
pub struct MemoryObjects {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    objects: HashMap<Key, Arc<[u8]>>,
    /// Whether every call fails with [`PlatformError::Unavailable`].
    is_down: bool,
}

impl MemoryObjects {
    /// Sets whether every call fails with [`PlatformError::Unavailable`] from now on.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
    }

    /// Returns the number of stored objects.
    pub fn len(&self) -> usize {
        self.lock().objects.len()
    }

    /// Reports whether no objects are stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("the lock is not poisoned")
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
