//! Kept answers in the platform's object store, many in one object.

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

/// Objects of one router name; the oldest is overwritten, so that a router that starts
/// again under its name needs no more room.
const RING_OBJECTS: u64 = 900;

/// Most answers in one object.
const BATCH_MAX: usize = 500;

/// Most answers that wait to be stored; further ones are kept in memory only.
const WAITING_MAX: usize = 5_000;

/// One answer in an object.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct KeptItem {
    /// Key of the request.
    pub(super) key: RequestKey,
    /// Digest of its content.
    #[serde_as(as = "DisplayFromStr")]
    pub(super) fingerprint: Digest,
    /// Attempt that the answer belongs to.
    pub(super) attempt: Attempt,
    /// Answer.
    pub(super) answer: StoredAnswer,
}

/// Kept answers in the object store.
pub(super) struct KeptStore {
    /// The platform's object store.
    store: Arc<dyn ObjectStore>,
    /// Name of this router.
    router: RouterName,
    /// Number of the next object.
    next: AtomicU64,
    /// Answers that wait to be stored.
    waiting: Mutex<Vec<KeptItem>>,
}

impl KeptStore {
    /// Creates the kept answers of `router`.
    pub(super) fn new(store: Arc<dyn ObjectStore>, router: &RouterId) -> KeptStore {
        KeptStore {
            store,
            router: router.name.clone(),
            next: AtomicU64::new(router.incarnation.0 % RING_OBJECTS),
            waiting: Mutex::default(),
        }
    }

    /// Adds an answer to the next object.
    pub(super) fn push(&self, item: KeptItem) {
        let mut waiting = self.lock();
        if waiting.len() < WAITING_MAX {
            waiting.push(item);
        }
    }

    /// Stores the waiting answers; returns the key of the object and what it holds. After
    /// an error the answers wait for the next call.
    pub(super) async fn flush(&self) -> Option<(String, Vec<KeptItem>)> {
        let mut items = std::mem::take(&mut *self.lock());
        let rest = items.split_off(items.len().min(BATCH_MAX));
        self.lock().extend(rest);
        if items.is_empty() {
            return None;
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed) % RING_OBJECTS;
        let key = Key::from_parts(&["kept", self.router.as_str(), &number.to_string()]);
        let content = serde_json::to_vec(&items).expect("kept answers have a JSON form");
        if let Err(error) = self.store.put(&key, content.into()).await {
            log::warn!("kept answers were not stored: {error}");
            items.into_iter().for_each(|item| self.push(item));
            return None;
        }
        Some((key.to_string(), items))
    }

    /// Reads the answer of `attempt` from `object`; `None` where it is not to be had or
    /// the object was overwritten meanwhile.
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
        self.waiting.lock().expect("no holder of the lock panics")
    }
}
