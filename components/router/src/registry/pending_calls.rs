//! Calls to other routers that wait for an answer.

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::Rng as _;
use tokio::sync::oneshot;
use utils::HashMap;

/// Calls to other routers that wait for an answer. Late and doubled answers find no call.
pub(super) struct PendingCalls<T> {
    /// Number of the next call. Starts at random, so that an answer to a call of an
    /// earlier process does not match.
    next: AtomicU64,
    /// Waiting calls by number.
    waiting: Mutex<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> PendingCalls<T> {
    /// Creates an empty set.
    pub(super) fn new() -> PendingCalls<T> {
        PendingCalls { next: AtomicU64::new(utils::new_rng().random()), waiting: Mutex::default() }
    }

    /// Makes a call with `send` and waits for its answer, at most `timeout`.
    pub(super) async fn call(&self, timeout: Duration, send: impl FnOnce(u64)) -> Option<T> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.lock().insert(number, tx);
        let _guard = CallGuard { calls: self, number };
        send(number);
        tokio::time::timeout(timeout, rx).await.ok()?.ok()
    }

    /// Passes an answer to the call that waits for it, if one does.
    pub(super) fn answer(&self, number: u64, answer: T) {
        if let Some(tx) = self.lock().remove(&number) {
            let _ = tx.send(answer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<T>>> {
        self.waiting.lock().expect("no holder of the lock panics")
    }
}

/// Removes a call when its caller stops waiting.
struct CallGuard<'a, T> {
    /// The waiting calls.
    calls: &'a PendingCalls<T>,
    /// Number of the call.
    number: u64,
}

impl<T> Drop for CallGuard<'_, T> {
    fn drop(&mut self) {
        self.calls.lock().remove(&self.number);
    }
}
