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

/// Calls to other routers that wait for an answer. Late and duplicate answers are ignored.
pub(super) struct PendingCalls<T> {
    /// Number of the next call. The first number is random, so that an answer to a call of an
    /// earlier process does not match.
    next_call: AtomicU64,
    /// Senders that complete the waiting calls, by call number.
    waiting: Mutex<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> PendingCalls<T> {
    /// Creates a set without waiting calls.
    pub(super) fn new() -> PendingCalls<T> {
        PendingCalls {
            next_call: AtomicU64::new(utils::new_rng().random()),
            waiting: Mutex::default(),
        }
    }

    /// Sends a call with `send`, which gets the call number, and waits for the answer; `None`
    /// if none arrives within `timeout`.
    pub(super) async fn call(&self, timeout: Duration, send: impl FnOnce(u64)) -> Option<T> {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.lock().insert(number, tx);
        let _guard = CallGuard { calls: self, number };
        send(number);
        tokio::time::timeout(timeout, rx).await.ok()?.ok()
    }

    /// Completes the call `number` with `answer`, if it still waits.
    pub(super) fn answer(&self, number: u64, answer: T) {
        if let Some(tx) = self.lock().remove(&number) {
            let _ = tx.send(answer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<T>>> {
        self.waiting.lock().expect("the lock is not poisoned")
    }
}

/// Removes a call once its caller has stopped waiting.
struct CallGuard<'a, T> {
    /// Set that holds the call.
    calls: &'a PendingCalls<T>,
    /// Number of the call.
    number: u64,
}

impl<T> Drop for CallGuard<'_, T> {
    fn drop(&mut self) {
        self.calls.lock().remove(&self.number);
    }
}
