//! Request ids of the whole fleet.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use async_trait::async_trait;
use errors::{Error, ErrorKind, Ran, Result};
use platform::{Commit, ObjectStore, Table};
use protocol::{PeerBody, RequestsBody};
use requests::{
    AnswerBody, Attempt, Claim, ClaimVerdict, EndState, IntentAdmission, IntentState, StoredAnswer,
};
use types::{RequestKey, RouterId, Timestamp};
use utils::Digest;

use super::{
    Begin, BeginRequest, IntentPermit, RequestRegistry,
    entries::{Entries, Entry, Opened, reused},
    home_link::HomeLink,
    intents::{Intents, Refusal},
    kept_store::{KeptItem, KeptStore},
    relay::{Fetch, Relay},
};
use crate::{
    Clock,
    answer::{AnswerEnd, AnswerHead, AnswerLog, KeptAnswer},
    peers::{PeerHandler, Peers},
};

/// Time between two checks of the members and of the answers to be stored.
const TICK: Duration = Duration::from_millis(500);

/// Claims that one begin makes before it gives up.
const PLACE_TRIES: usize = 4;

/// What the registry is made of.
pub struct RegistryParts {
    /// Identity of this router.
    pub router: RouterId,
    /// Clock.
    pub clock: Clock,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The other routers.
    pub peers: Arc<dyn Peers>,
}

/// Request ids of the whole fleet: each has a home router that knows which attempt runs
/// or has run; non-idempotent calls are decided by their intent rows alone.
pub struct FleetRegistry {
    /// Requests of this router.
    entries: Entries,
    /// Home routers.
    home: HomeLink,
    /// Intent rows.
    intents: Arc<Intents>,
    /// Answers of other routers.
    relay: Relay,
    /// Kept answers in the object store.
    kept: KeptStore,
    /// Itself, for its tasks.
    this: Weak<FleetRegistry>,
}

impl FleetRegistry {
    /// Creates the registry and starts its tasks; the calling thread must be in the
    /// runtime of the traffic. The tasks end when the registry is dropped.
    pub fn start(parts: RegistryParts) -> Arc<FleetRegistry> {
        let RegistryParts { router, clock, table, objects, peers } = parts;
        let registry = Arc::new_cyclic(|this| FleetRegistry {
            entries: Entries::new(router.clone()),
            home: HomeLink::new(router.clone(), peers.clone(), clock),
            kept: KeptStore::new(objects, &router),
            intents: Arc::new(Intents::new(router, table, clock)),
            relay: Relay::new(peers.clone()),
            this: this.clone(),
        });
        let handler = Arc::new(MessageHandler { registry: Arc::downgrade(&registry) });
        peers.subscribe(handler);
        tokio::spawn(run_ticks(Arc::downgrade(&registry)));
        registry
    }

    async fn tick(&self) {
        self.home.follow_members(|| self.entries.held());
        while let Some((object, items)) = self.kept.flush().await {
            for item in items {
                let state = EndState::Kept { object: Some(object.clone()) };
                self.home.end(&item.key, &item.fingerprint, &item.attempt, state);
            }
        }
    }

    /// Finds out where a request runs, or that it is to run here.
    async fn place(&self, req: &BeginRequest, entry: &Entry) -> Result<Begin> {
        let mut given_up = None;
        for _ in 0..PLACE_TRIES {
            let claim = Claim {
                key: req.key.clone(),
                fingerprint: req.fingerprint,
                attempt: entry.attempt.clone(),
                given_up: given_up.take(),
            };
            let (attempt, found) = match self.home.claim(&claim).await {
                None => return self.admit(req, entry, Home::OutOfReach).await,
                Some(ClaimVerdict::Granted { is_first }) => {
                    return self.admit(req, entry, Home::Granted { is_first }).await;
                }
                Some(ClaimVerdict::Reused) => return Err(reused()),
                Some(ClaimVerdict::RunsAt(attempt)) => {
                    let found = self.join(req, entry, &attempt).await;
                    (attempt, found)
                }
                Some(ClaimVerdict::Kept { attempt, object }) => {
                    let found = self.load(req, entry, &attempt, &object).await;
                    (attempt, found)
                }
            };
            if let Some(begin) = found {
                return Ok(begin);
            }
            given_up = Some(attempt);
        }
        Err(Error::new(ErrorKind::AttemptsFailed, "the attempts of other routers were lost"))
    }

    /// Joins the attempt of another router; `None` where that router is out of reach.
    async fn join(&self, req: &BeginRequest, entry: &Entry, attempt: &Attempt) -> Option<Begin> {
        let fetch =
            Fetch { key: req.key.clone(), fingerprint: req.fingerprint, attempt: attempt.clone() };
        let first = self.relay.fetch(&fetch, 0, false).await?;
        self.entries.update(&req.key, |it| it.is_foreign = true);
        let (this, log, own) = (self.this.upgrade()?, entry.log.clone(), entry.attempt.clone());
        tokio::spawn(async move {
            let result = this.relay.copy(&fetch, first, &log).await;
            match result {
                Ok(end) => {
                    this.entries.keep(&fetch.key, log.body().len());
                    log.finish(end);
                }
                Err(error) => {
                    this.entries.remove(&fetch.key, &own);
                    log.fail(error);
                }
            }
        });
        Some(Begin::Join(entry.log.clone()))
    }

    /// Gets the answer of a router that is gone; `None` where it is not to be had.
    async fn load(
        &self,
        req: &BeginRequest,
        entry: &Entry,
        attempt: &Attempt,
        object: &str,
    ) -> Option<Begin> {
        let item = self.kept.load(object, &req.key, attempt).await?;
        if item.fingerprint != req.fingerprint {
            return None;
        }
        self.entries.update(&req.key, |it| it.is_foreign = true);
        Some(self.join_stored(req, entry, &item.answer))
    }

    fn join_stored(&self, req: &BeginRequest, entry: &Entry, answer: &StoredAnswer) -> Begin {
        let body = answer.body.as_bytes();
        let content_type = answer.content_type.clone();
        entry.log.start(AnswerHead { status: answer.status, content_type });
        entry.log.push(bytes::Bytes::copy_from_slice(body));
        let usage = engine_api::Usage::new(answer.prompt_tokens, answer.completion_tokens);
        entry.log.finish(AnswerEnd { finish_reason: answer.finish_reason.clone(), usage });
        self.entries.keep(&req.key, body.len());
        Begin::Join(entry.log.clone())
    }

    /// Admits a request that is to run here: a non-idempotent one by its intent row.
    async fn admit(&self, req: &BeginRequest, entry: &Entry, home: Home) -> Result<Begin> {
        let is_first = home == Home::Granted { is_first: true };
        self.entries.update(&req.key, |it| it.is_first = is_first);
        if req.idempotent {
            return Ok(Begin::Run(entry.log.clone()));
        }
        match self.intents.admit(&req.key, &req.fingerprint).await {
            Ok(IntentAdmission::Free(base)) => {
                self.entries.update(&req.key, |it| it.base = Some(base));
                Ok(Begin::Run(entry.log.clone()))
            }
            Ok(IntentAdmission::Answered(answer)) => Ok(self.join_stored(req, entry, &answer)),
            Ok(IntentAdmission::Held(message)) => {
                Err(Error::new(ErrorKind::OutcomeUnknown, message))
            }
            Ok(IntentAdmission::Reused) => Err(reused()),
            Err(_) if home != Home::OutOfReach => Ok(Begin::Run(entry.log.clone())),
            Err(error) => {
                let message = format!("neither the table nor the home router answers: {error}");
                Err(Error::new(ErrorKind::StoreUnavailable, message).after_earlier_attempt())
            }
        }
    }

    /// Returns the error with which an attempt ends. "Not run" stays only where nothing
    /// was sent under the id and nothing can be any more.
    async fn check_refusal(&self, key: &RequestKey, entry: &Entry, error: Error) -> Error {
        if error.ran() != Ran::Never {
            self.close_intent(key, entry, IntentState::OutcomeUnknown);
            return error;
        }
        if entry.is_withdrawn {
            return error;
        }
        let is_certain = if entry.is_idempotent {
            entry.is_first
        } else {
            let base = entry.base.clone();
            match self.intents.refuse(key, &entry.fingerprint, base).await {
                Refusal::Recorded => true,
                Refusal::Contested => false,
                Refusal::TableAway => entry.is_first,
            }
        };
        if is_certain { error } else { error.after_earlier_attempt() }
    }

    /// Closes the row of a call in the background.
    fn close_intent(&self, key: &RequestKey, entry: &Entry, state: IntentState) {
        let Some(recorded) = entry.recorded.clone() else { return };
        let (intents, key) = (self.intents.clone(), key.clone());
        tokio::spawn(async move { intents.close(&key, &recorded, state).await });
    }

    fn on_requests(&self, from: &RouterId, body: &RequestsBody) {
        match body {
            RequestsBody::Claim(message) => self.home.on_claim(from, message),
            RequestsBody::Verdict(message) => self.home.on_verdict(message),
            RequestsBody::Ended(message) => self.home.on_ended(message),
            RequestsBody::Held(message) => self.home.on_held(message),
            RequestsBody::Fetch(message) => self.relay.on_fetch(&self.entries, from, message),
            RequestsBody::Part(message) => self.relay.on_part(message),
        }
    }
}

/// What the home router said to a request that is to run here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Home {
    /// It granted the run.
    Granted {
        /// Whether no earlier attempt can have been sent.
        is_first: bool,
    },
    /// It did not answer.
    OutOfReach,
}

#[async_trait]
impl RequestRegistry for FleetRegistry {
    async fn begin(&self, req: &BeginRequest) -> Result<Begin> {
        let entry = match self.entries.open(&req.key, &req.fingerprint, req.idempotent)? {
            Opened::Known(log) => return Ok(Begin::Join(log)),
            Opened::New(entry) => entry,
        };
        let mut guard = OpenGuard { registry: self, key: &req.key, entry: &entry, end: None };
        let result = self.place(req, &entry).await;
        guard.end = Some(result.as_ref().err().cloned());
        result
    }

    async fn end(
        &self,
        key: &RequestKey,
        result: std::result::Result<Arc<KeptAnswer>, Error>,
    ) -> Result<Arc<KeptAnswer>> {
        let Some(entry) = self.entries.find(key) else { return result };
        match result {
            Ok(answer) => {
                self.entries.keep(key, answer.body.len());
                let state = EndState::Kept { object: None };
                self.home.end(key, &entry.fingerprint, &entry.attempt, state);
                if entry.is_idempotent {
                    self.kept.push(KeptItem {
                        key: key.clone(),
                        fingerprint: entry.fingerprint,
                        attempt: entry.attempt,
                        answer: stored_answer(&answer),
                    });
                }
                Ok(answer)
            }
            Err(error) => {
                let error = self.check_refusal(key, &entry, error).await;
                let state = end_state(&error);
                self.entries.remove(key, &entry.attempt);
                self.home.end(key, &entry.fingerprint, &entry.attempt, state);
                Err(error)
            }
        }
    }

    async fn record_intent(
        &self,
        key: &RequestKey,
        fingerprint: &Digest,
        deadline: Timestamp,
    ) -> Result<IntentPermit> {
        let base = match self.entries.find(key).and_then(|entry| entry.base) {
            Some(base) => base,
            None => match self.intents.admit_until(key, fingerprint, deadline).await? {
                IntentAdmission::Free(base) if base.revision.is_none() => base,
                // The refusal that wrote the row may be later than this attempt.
                IntentAdmission::Free(_) => {
                    let message = "another attempt of this id was refused; send it again";
                    return Err(Error::new(ErrorKind::StoreUnavailable, message));
                }
                IntentAdmission::Answered(_) => {
                    let message = "another attempt ran; send the request again for its answer";
                    return Err(Error::new(ErrorKind::OutcomeUnknown, message));
                }
                IntentAdmission::Held(message) => {
                    return Err(Error::new(ErrorKind::OutcomeUnknown, message));
                }
                IntentAdmission::Reused => return Err(reused()),
            },
        };
        let permit = self.intents.record(key, fingerprint, base, deadline).await?;
        self.entries.update(key, |it| it.recorded = Some(permit.row.clone()));
        Ok(permit)
    }

    async fn withdraw_intent(&self, permit: IntentPermit) -> Result<()> {
        let key = permit.key.clone();
        if self.intents.withdraw(&permit).await {
            self.entries.update(&key, |it| {
                it.recorded = None;
                it.is_withdrawn = true;
            });
            return Ok(());
        }
        if let Some(entry) = self.entries.find(&key) {
            self.close_intent(&key, &entry, IntentState::Withdrawn);
            self.entries.update(&key, |it| it.recorded = None);
        }
        Err(Error::new(ErrorKind::OutcomeUnknown, "the record of the call may remain"))
    }

    fn settle_intent(&self, permit: &IntentPermit, answer: &KeptAnswer) -> Commit {
        // From now on the commit of the bill decides the row.
        self.entries.update(&permit.key, |it| it.recorded = None);
        self.intents.settle(permit, stored_answer(answer))
    }

    fn find_running(&self, key: &RequestKey) -> Option<Arc<AnswerLog>> {
        self.entries.find(key).map(|entry| entry.log)
    }
}

/// Removes the entry of a request that did not begin, also where its caller left
/// meanwhile.
struct OpenGuard<'a> {
    /// Registry.
    registry: &'a FleetRegistry,
    /// Key of the request.
    key: &'a RequestKey,
    /// Its entry.
    entry: &'a Entry,
    /// Why it did not begin, if it did not; `None` as long as that is not known.
    end: Option<Option<Error>>,
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        let error = match self.end.take() {
            Some(None) => return,
            Some(Some(error)) => error,
            None => {
                let message = "the first caller left; send the request again";
                Error::new(ErrorKind::AttemptsFailed, message)
            }
        };
        let state = match error.kind() {
            ErrorKind::RequestIdReused => EndState::Forgotten,
            ErrorKind::OutcomeUnknown => EndState::MayHaveRun,
            _ => EndState::NotRun,
        };
        let Entry { fingerprint, attempt, log, .. } = self.entry;
        self.registry.entries.remove(self.key, attempt);
        self.registry.home.end(self.key, fingerprint, attempt, state);
        log.fail(error);
    }
}

/// Gets the messages of other routers for a registry.
struct MessageHandler {
    /// Registry.
    registry: Weak<FleetRegistry>,
}

impl PeerHandler for MessageHandler {
    fn on_message(&self, from: &RouterId, body: &PeerBody) {
        let PeerBody::Requests(message) = body else { return };
        if let (Some(registry), Some(body)) = (self.registry.upgrade(), &message.body) {
            registry.on_requests(from, body);
        }
    }
}

async fn run_ticks(registry: Weak<FleetRegistry>) {
    loop {
        tokio::time::sleep(TICK).await;
        let Some(registry) = registry.upgrade() else { return };
        registry.tick().await;
    }
}

fn end_state(error: &Error) -> EndState {
    if error.ran() == Ran::Never { EndState::NotRun } else { EndState::MayHaveRun }
}

fn stored_answer(answer: &KeptAnswer) -> StoredAnswer {
    StoredAnswer {
        status: answer.head.status,
        content_type: answer.head.content_type.clone(),
        body: AnswerBody::from_bytes(&answer.body),
        finish_reason: answer.end.finish_reason.clone(),
        prompt_tokens: answer.end.usage.prompt_tokens,
        completion_tokens: answer.end.usage.completion_tokens,
    }
}
