//! Request ids of one router, with intent rows in the table.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};

use async_trait::async_trait;
use errors::{Error, ErrorKind, Result};
use platform::{Commit, CommitOutcome, Key, Precondition, Table, Write};
use serde::{Deserialize, Serialize};
use serde_json::json;
use types::{FencingNumber, RequestKey, RouterId, Timestamp};
use utils::{Digest, HashMap};

use super::{Begin, BeginRequest, IntentPermit, RequestRegistry};
use crate::answer::{AnswerLog, KeptAnswer};

/// Kept answers on one router; the oldest is dropped first.
const KEPT_MAX: usize = 10_000;

/// Request ids of one router.
pub struct LocalRegistry {
    /// Identity of this router.
    router: RouterId,
    /// The platform's table.
    table: Arc<dyn Table>,
    /// Known requests.
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Requests that run or whose answer is kept.
    entries: HashMap<RequestKey, Entry>,
    /// Keys of kept answers, oldest first.
    kept: VecDeque<RequestKey>,
}

struct Entry {
    /// Digest of the content.
    fingerprint: Digest,
    /// Answer.
    log: Arc<AnswerLog>,
}

/// Row of a non-idempotent request.
#[derive(Debug, Serialize, Deserialize)]
struct IntentRow {
    /// Router that may send the call.
    router: RouterId,
    /// Digest of the content, in hexadecimal digits.
    fingerprint: String,
    /// Answer, once known.
    answer: Option<KeptAnswer>,
}

impl LocalRegistry {
    /// Creates an empty registry.
    pub fn new(router: RouterId, table: Arc<dyn Table>) -> LocalRegistry {
        LocalRegistry { router, table, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

#[async_trait]
impl RequestRegistry for LocalRegistry {
    async fn begin(&self, req: &BeginRequest) -> Result<Begin> {
        let mut state = self.lock();
        if let Some(entry) = state.entries.get(&req.key) {
            if entry.fingerprint != req.fingerprint {
                let message = "this request id was used with other content";
                return Err(Error::new(ErrorKind::RequestIdReused, message));
            }
            return Ok(Begin::Join(entry.log.clone()));
        }
        let log = AnswerLog::new();
        let entry = Entry { fingerprint: req.fingerprint, log: log.clone() };
        state.entries.insert(req.key.clone(), entry);
        Ok(Begin::Run(log))
    }

    fn end(&self, key: &RequestKey, result: &std::result::Result<Arc<KeptAnswer>, Error>) {
        let mut state = self.lock();
        if result.is_err() {
            state.entries.remove(key);
            return;
        }
        state.kept.push_back(key.clone());
        if state.kept.len() > KEPT_MAX
            && let Some(oldest) = state.kept.pop_front()
        {
            state.entries.remove(&oldest);
        }
    }

    async fn record_intent(
        &self,
        key: &RequestKey,
        fingerprint: &Digest,
        _deadline: Timestamp,
    ) -> Result<IntentPermit> {
        let row_key = intent_key(key);
        let row = IntentRow {
            router: self.router.clone(),
            fingerprint: fingerprint.to_string(),
            answer: None,
        };
        let commit = Commit {
            preconditions: vec![Precondition::Absent(row_key.clone())],
            writes: vec![Write::put(row_key, &row)],
        };
        match self.table.commit(&commit).await {
            CommitOutcome::Committed(revision) => {
                let fencing = FencingNumber(revision.0);
                Ok(IntentPermit { key: key.clone(), revision, fencing })
            }
            CommitOutcome::NotApplied(error) => {
                Err(Error::new(ErrorKind::StoreUnavailable, error.to_string()))
            }
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown => {
                Err(Error::new(ErrorKind::OutcomeUnknown, "another attempt may have been sent"))
            }
        }
    }

    async fn withdraw_intent(&self, permit: IntentPermit) -> Result<()> {
        let key = intent_key(&permit.key);
        let commit = Commit {
            preconditions: vec![Precondition::Revision(key.clone(), permit.revision)],
            writes: vec![Write::delete(key)],
        };
        match self.table.commit(&commit).await {
            CommitOutcome::Committed(_) => Ok(()),
            _ => Err(Error::new(ErrorKind::OutcomeUnknown, "the record may remain")),
        }
    }

    fn settle_intent(&self, permit: &IntentPermit, answer: &KeptAnswer) -> Commit {
        let key = intent_key(&permit.key);
        let row = json!({ "router": self.router, "fingerprint": "", "answer": answer });
        Commit {
            preconditions: vec![Precondition::Revision(key.clone(), permit.revision)],
            writes: vec![Write::put(key, &row)],
        }
    }

    fn find_running(&self, key: &RequestKey) -> Option<Arc<AnswerLog>> {
        self.lock().entries.get(key).map(|entry| entry.log.clone())
    }
}

fn intent_key(key: &RequestKey) -> Key {
    Key::from_parts(&["intent", key.account.as_str(), key.id.as_str()])
}
