//! Requests that run on this router or whose answers it keeps.

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

/// Maximum number of answers that one router keeps in memory; the oldest are dropped first.
const KEPT_ANSWERS_MAX: usize = 10_000;

/// Maximum size of the answer bodies that one router keeps in memory, in bytes; the oldest are
/// dropped first.
const KEPT_ANSWERS_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A request that runs on this router, whose answer is being copied from another router, or
/// whose answer is kept here.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// Digest of the request's content.
    pub(super) fingerprint: Digest,
    /// Attempt of this router; it does not run if the answer comes from another router.
    pub(super) attempt: Attempt,
    /// Whether the request may run more than once.
    pub(super) is_idempotent: bool,
    /// Log of the answer.
    pub(super) log: Arc<AnswerLog>,
    /// Whether the answer comes from an attempt of another router.
    pub(super) is_remote: bool,
    /// Whether no earlier attempt with the id can have been sent.
    pub(super) is_first: bool,
    /// Intent row that the attempt was admitted with; `None` for idempotent requests, or if
    /// the row was not read in time.
    pub(super) intent_base: Option<IntentBase>,
    /// Intent row that records the call; `None` before that, and once it was withdrawn or
    /// settled.
    pub(super) recorded_intent: Option<IntentRow>,
    /// Whether this attempt withdrew its intent.
    pub(super) is_intent_withdrawn: bool,
}

/// Requests that run on this router or whose answers it keeps, by key.
pub(super) struct Entries {
    /// Identity of this router.
    router: RouterId,
    /// Number of the next attempt.
    next_attempt: AtomicU64,
    /// Entries and the order in which kept answers are dropped.
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Entries by key.
    entries: HashMap<RequestKey, Entry>,
    /// Key, attempt number and length in bytes of each kept answer, oldest first.
    kept: VecDeque<(RequestKey, u64, usize)>,
    /// Total length of the kept answers, in bytes.
    kept_bytes: usize,
}

/// Result of [`Entries::open`].
pub(super) enum Opened {
    /// The request has an entry already; this is the log of its answer.
    Known(Arc<AnswerLog>),
    /// A new entry was created.
    New(Box<Entry>),
}

impl Entries {
    /// Creates an empty set of entries for `router`.
    pub(super) fn new(router: RouterId) -> Entries {
        Entries { router, next_attempt: AtomicU64::new(1), state: Mutex::default() }
    }

    /// Finds the entry of a request, or creates one.
    ///
    /// # Errors
    /// `RequestIdReused` if the id was used with different content.
    pub(super) fn open(
        &self,
        key: &RequestKey,
        fingerprint: &Digest,
        is_idempotent: bool,
    ) -> Result<Opened> {
        let mut state = self.lock();
        if let Some(entry) = state.entries.get(key) {
            if entry.fingerprint != *fingerprint {
                return Err(id_reused());
            }
            return Ok(Opened::Known(entry.log.clone()));
        }
        let number = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        let entry = Entry {
            fingerprint: *fingerprint,
            attempt: Attempt::new(self.router.clone(), number),
            is_idempotent,
            log: AnswerLog::new(),
            is_remote: false,
            is_first: false,
            intent_base: None,
            recorded_intent: None,
            is_intent_withdrawn: false,
        };
        state.entries.insert(key.clone(), entry.clone());
        Ok(Opened::New(Box::new(entry)))
    }

    /// Returns a copy of the entry of `key`.
    pub(super) fn find(&self, key: &RequestKey) -> Option<Entry> {
        self.lock().entries.get(key).cloned()
    }

    /// Returns the entry of an attempt that this router runs or has run itself.
    pub(super) fn find_attempt(&self, key: &RequestKey, attempt: &Attempt) -> Option<Entry> {
        self.find(key).filter(|entry| entry.attempt == *attempt && !entry.is_remote)
    }

    /// Applies `change` to the entry of `key`, if there is one.
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

    /// Marks the answer of `key`, of `bytes` bytes, as complete; drops the oldest kept answers
    /// beyond the limits.
    pub(super) fn keep(&self, key: &RequestKey, bytes: usize) {
        let mut state = self.lock();
        let Some(number) = state.entries.get(key).map(|entry| entry.attempt.number) else {
            return;
        };
        state.kept.push_back((key.clone(), number, bytes));
        state.kept_bytes += bytes;
        while state.kept.len() > KEPT_ANSWERS_MAX || state.kept_bytes > KEPT_ANSWERS_MAX_BYTES {
            let Some((oldest, number, bytes)) = state.kept.pop_front() else { return };
            state.kept_bytes -= bytes;
            if state.entries.get(&oldest).is_some_and(|it| it.attempt.number == number) {
                state.entries.remove(&oldest);
            }
        }
    }

    /// Returns what a new home router needs to know about the attempts of this router.
    pub(super) fn handover_entries(&self) -> Vec<HandoverEntry> {
        let state = self.lock();
        let own = state.entries.iter().filter(|(_, entry)| !entry.is_remote);
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
        self.state.lock().expect("the lock is not poisoned")
    }
}

/// Returns the error for an id that was used with different content.
pub(super) fn id_reused() -> Error {
    Error::new(
        ErrorKind::RequestIdReused,
        "the request id was used with different content; use a new id",
    )
}
