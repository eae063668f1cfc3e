//! Kept answers in the platform's object store, batched into objects.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering},
};

use platform::{Key, ObjectStore};
use requests::{Attempt, StoredAnswer};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use types::{RequestKey, RouterId, RouterName};
use utils::Digest;

/// Maximum number of objects per router name. The oldest is overwritten, so that a router that
/// restarts under the same name uses no additional space.
const OBJECTS_PER_ROUTER_MAX: u64 = 900;

/// Maximum number of answers in one object.
const ANSWERS_PER_OBJECT_MAX: usize = 500;

/// Maximum number of answers that wait to be stored; further ones are not stored and stay in memory
/// only.
const WAITING_ANSWERS_MAX: usize = 5_000;

/// Answer as stored in an object.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct KeptItem {
    /// Key of the request.
    pub(super) key: RequestKey,
    /// Digest of the request's content.
    #[serde_as(as = "DisplayFromStr")]
    pub(super) fingerprint: Digest,
    /// Attempt that produced the answer.
    pub(super) attempt: Attempt,
    /// Stored form of the answer.
    pub(super) answer: StoredAnswer,
}

/// Writes kept answers to the object store in batches and reads them back.
pub(super) struct KeptStore {
    /// The platform's object store.
    store: Arc<dyn ObjectStore>,
    /// Name of this router, part of the object keys.
    router: RouterName,
    /// Number of the next object, before it is taken modulo [`OBJECTS_PER_ROUTER_MAX`].
    next_object: AtomicU64,
    /// Answers that wait to be stored.
    waiting: Mutex<Vec<KeptItem>>,
}

impl KeptStore {
    /// Creates the store of the answers of `router`.
    pub(super) fn new(store: Arc<dyn ObjectStore>, router: &RouterId) -> KeptStore {
        KeptStore {
            store,
            router: router.name.clone(),
            next_object: AtomicU64::new(router.incarnation.0 % OBJECTS_PER_ROUTER_MAX),
            waiting: Mutex::default(),
        }
    }

    /// Queues an answer for the next object; drops it if too many answers wait.
    pub(super) fn push(&self, item: KeptItem) {
        let mut waiting = self.lock();
        if waiting.len() < WAITING_ANSWERS_MAX {
            waiting.push(item);
        }
    }

    /// Stores up to [`ANSWERS_PER_OBJECT_MAX`] waiting answers in one object; returns the key
    /// of the object and the stored answers. After an error they wait for the next call.
    pub(super) async fn flush(&self) -> Option<(String, Vec<KeptItem>)> {
        let mut items = std::mem::take(&mut *self.lock());
        let rest = items.split_off(items.len().min(ANSWERS_PER_OBJECT_MAX));
        self.lock().extend(rest);
        if items.is_empty() {
            return None;
        }
        let number = self.next_object.fetch_add(1, Ordering::Relaxed) % OBJECTS_PER_ROUTER_MAX;
        let key = Key::from_parts(&["kept", self.router.as_str(), &number.to_string()]);
        let content = serde_json::to_vec(&items).expect("kept answers serialize to JSON");
        if let Err(error) = self.store.put(&key, content.into()).await {
            log::warn!("failed to store kept answers; trying again at the next flush: {error}");
            items.into_iter().for_each(|item| self.push(item));
            return None;
        }
        Some((key.to_string(), items))
    }

    /// Reads the answer of `attempt` from `object`; `None` if the object cannot be read or
    /// was overwritten.
    pub(super) async fn load(
        &self,
        object: &str,
        key: &RequestKey,
        attempt: &Attempt,
    ) -> Option<KeptItem> {
        let object = Key::new(object).ok()?;
        let content = self.store.get(&object).await.ok()??;
        let items: Vec<KeptItem> = serde_json::from_slice(&content).ok()?;
        items.into_iter().find(|item| item.key == *key && item.attempt == *attempt)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<KeptItem>> {
        self.waiting.lock().expect("the lock is not poisoned")
    }
}
