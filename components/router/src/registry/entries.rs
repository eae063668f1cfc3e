//! The requests that run on this router or whose answers it keeps.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use errors::{Error, ErrorKind, Result};
use requests::{Attempt, HandoverEntry, IntentBase, IntentRow};
use types::{RequestKey, RouterId};
use utils::{Digest, HashMap};

use crate::answer::AnswerLog;

/// Most answers that one router keeps; the oldest is dropped first.
const KEPT_MAX: usize = 10_000;

/// Most bytes of answers that one router keeps.
const KEPT_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A request that runs on this router, whose answer comes in from another, or whose
/// answer is kept here.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// Digest of the content.
    pub(super) fingerprint: Digest,
    /// Attempt of this router.
    pub(super) attempt: Attempt,
    /// Whether it may run more than once.
    pub(super) is_idempotent: bool,
    /// Answer.
    pub(super) log: Arc<AnswerLog>,
    /// Whether the answer comes from an attempt of another router.
    pub(super) is_foreign: bool,
    /// Whether no earlier attempt of the id can have been sent.
    pub(super) is_first: bool,
    /// Row that the attempt was admitted with; `None` where the table was away.
    pub(super) base: Option<IntentBase>,
    /// Row with which the call was recorded, as long as the permit is not void.
    pub(super) recorded: Option<IntentRow>,
    /// Whether this attempt voided its permit.
    pub(super) is_withdrawn: bool,
}

/// The requests that run on this router or whose answers it keeps.
pub(super) struct Entries {
    /// Identity of this router.
    router: RouterId,
    /// Number of the next attempt.
    next: AtomicU64,
    /// Entries.
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Entries by key.
    entries: HashMap<RequestKey, Entry>,
    /// Kept answers and their bytes, oldest first.
    kept: VecDeque<(RequestKey, u64, usize)>,
    /// Bytes of the kept answers.
    kept_bytes: usize,
}

/// What was found for a request that begins.
pub(super) enum Opened {
    /// It is known here.
    Known(Arc<AnswerLog>),
    /// It is new here.
    New(Box<Entry>),
}

impl Entries {
    /// Creates the entries of `router`.
    pub(super) fn new(router: RouterId) -> Entries {
        Entries { router, next: AtomicU64::new(1), state: Mutex::default() }
    }

    /// Finds a request, or opens an entry for it.
    ///
    /// # Errors
    /// `RequestIdReused` where the id was used with other content.
    pub(super) fn open(
        &self,
        key: &RequestKey,
        fingerprint: &Digest,
        is_idempotent: bool,
    ) -> Result<Opened> {
        let mut state = self.lock();
        if let Some(entry) = state.entries.get(key) {
            if entry.fingerprint != *fingerprint {
                return Err(reused());
            }
            return Ok(Opened::Known(entry.log.clone()));
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let entry = Entry {
            fingerprint: *fingerprint,
            attempt: Attempt::new(self.router.clone(), number),
            is_idempotent,
            log: AnswerLog::new(),
            is_foreign: false,
            is_first: false,
            base: None,
            recorded: None,
            is_withdrawn: false,
        };
        state.entries.insert(key.clone(), entry.clone());
        Ok(Opened::New(Box::new(entry)))
    }

    /// Returns the entry of `key`.
    pub(super) fn find(&self, key: &RequestKey) -> Option<Entry> {
        self.lock().entries.get(key).cloned()
    }

    /// Returns the answer of an attempt of this router.
    pub(super) fn find_attempt(&self, key: &RequestKey, attempt: &Attempt) -> Option<Entry> {
        self.find(key).filter(|entry| entry.attempt == *attempt && !entry.is_foreign)
    }

    /// Changes the entry of `key`, if there is one.
    pub(super) fn update(&self, key: &RequestKey, change: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.lock().entries.get_mut(key) {
            change(entry);
        }
    }

    /// Removes the entry of `key` if it belongs to `attempt`.
    pub(super) fn remove(&self, key: &RequestKey, attempt: &Attempt) {
        let mut state = self.lock();
        if state.entries.get(key).is_some_and(|entry| entry.attempt == *attempt) {
            state.entries.remove(key);
        }
    }

    /// Keeps the whole answer of `key`, of `bytes` bytes.
    pub(super) fn keep(&self, key: &RequestKey, bytes: usize) {
        let mut state = self.lock();
        let Some(number) = state.entries.get(key).map(|entry| entry.attempt.number) else {
            return;
        };
        state.kept.push_back((key.clone(), number, bytes));
        state.kept_bytes += bytes;
        while state.kept.len() > KEPT_MAX || state.kept_bytes > KEPT_MAX_BYTES {
            let Some((oldest, number, bytes)) = state.kept.pop_front() else { return };
            state.kept_bytes -= bytes;
            if state.entries.get(&oldest).is_some_and(|it| it.attempt.number == number) {
                state.entries.remove(&oldest);
            }
        }
    }

    /// Returns what a new home router has to know of this router's attempts.
    pub(super) fn held(&self) -> Vec<HandoverEntry> {
        let state = self.lock();
        let own = state.entries.iter().filter(|(_, entry)| !entry.is_foreign);
        own.map(|(key, entry)| HandoverEntry {
            key: key.clone(),
            fingerprint: entry.fingerprint,
            attempt: Some(entry.attempt.clone()),
            object: None,
            has_earlier: !entry.is_first,
        })
        .collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// Returns the error of an id that was used with other content.
pub(super) fn reused() -> Error {
    Error::new(ErrorKind::RequestIdReused, "this request id was used with other content")
}
