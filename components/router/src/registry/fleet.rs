//! Request ids of the whole fleet.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use async_trait::async_trait;
use errors::{Error, ErrorKind, Ran, Result};
use platform::{Commit, ObjectStore, Table};
use protocol::RequestsBody;
use requests::{
    Attempt, Claim, ClaimVerdict, EndState, IntentAdmission, IntentState, StoredAnswer,
};
use types::{RequestKey, RouterId, Timestamp};
use utils::Digest;

use super::{
    Begin, BeginRequest, IntentPermit, RequestRegistry,
    entries::{Entries, Entry, Opened, reused},
    home::Home,
    home_link::HomeLink,
    intents::{Intents, Refusal},
    kept_store::{KeptItem, KeptStore},
    message_handler::MessageHandler,
    open_guard::{OpenGuard, end_state},
    relay::{Fetch, Relay},
    stored::{count_joined, stored_answer, write_stored},
};
use crate::{
    Clock,
    answer::{AnswerLog, KeptAnswer},
    peers::Peers,
};

/// Time between two checks of the members and of the answers to be stored.
const TICK: Duration = Duration::from_millis(500);

/// Longest time from the arrival of a request to the end of the read of its row.
const ADMISSION_TIME: Duration = Duration::from_millis(200);

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
    pub(super) entries: Entries,
    /// Home routers.
    pub(super) home: HomeLink,
    /// Intent rows.
    intents: Arc<Intents>,
    /// Answers of other routers.
    relay: Relay,
    /// Kept answers in the object store.
    kept: KeptStore,
    /// Clock.
    clock: Clock,
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
            clock,
            this: this.clone(),
        });
        let handler = Arc::new(MessageHandler { registry: Arc::downgrade(&registry) });
        peers.subscribe(handler);
        tokio::spawn(run_ticks(Arc::downgrade(&registry)));
        registry
    }

    async fn tick(&self) {
        self.home.ask_promises();
        self.home.follow_members(|| self.entries.held());
        while let Some((object, items)) = self.kept.flush().await {
            for item in items {
                let state = EndState::Kept { object: Some(object.clone()) };
                self.home.end(&item.key, &item.fingerprint, &item.attempt, state);
            }
        }
    }

    /// Reads the intent row of a request that has just arrived. A row that says
    /// "withdrawn" counts only where it was read at once: a refusal that is later than
    /// the arrival must keep this attempt from running.
    async fn read_intent(&self, req: &BeginRequest) -> Option<IntentAdmission> {
        if req.idempotent {
            return None;
        }
        let arrived = self.clock.now();
        let admission = self.intents.admit(&req.key, &req.fingerprint).await.ok()?;
        let is_late = self.clock.now().since(arrived) > ADMISSION_TIME;
        let is_withdrawn =
            matches!(&admission, IntentAdmission::Free(base) if base.revision.is_some());
        (!is_late || !is_withdrawn).then_some(admission)
    }

    /// Finds out where a request runs, or that it is to run here.
    async fn place(&self, req: &BeginRequest, entry: &Entry) -> Result<Begin> {
        let intent = self.read_intent(req).await;
        let mut given_up = None;
        for _ in 0..PLACE_TRIES {
            let claim = Claim {
                key: req.key.clone(),
                fingerprint: req.fingerprint,
                attempt: entry.attempt.clone(),
                given_up: given_up.take(),
            };
            let (attempt, found) = match self.home.claim(&claim).await {
                None => return self.admit(req, entry, Home::OutOfReach, intent),
                Some(ClaimVerdict::Granted { is_first }) => {
                    return self.admit(req, entry, Home::Granted { is_first }, intent);
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
        count_joined("other_router");
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
        count_joined("object_store");
        self.entries.update(&req.key, |it| it.is_foreign = true);
        Some(self.join_stored(req, entry, &item.answer))
    }

    fn join_stored(&self, req: &BeginRequest, entry: &Entry, answer: &StoredAnswer) -> Begin {
        let bytes = write_stored(answer, &entry.log);
        self.entries.keep(&req.key, bytes);
        Begin::Join(entry.log.clone())
    }

    /// Admits a request that is to run here: a non-idempotent one by its intent row.
    fn admit(
        &self,
        req: &BeginRequest,
        entry: &Entry,
        home: Home,
        intent: Option<IntentAdmission>,
    ) -> Result<Begin> {
        let is_first = home == Home::Granted { is_first: true };
        if home == Home::OutOfReach {
            metrics::counter!(telemetry::RUNS_WITHOUT_HOME_TOTAL).increment(1);
        }
        self.entries.update(&req.key, |it| it.is_first = is_first);
        if req.idempotent {
            return Ok(Begin::Run(entry.log.clone()));
        }
        match intent {
            Some(IntentAdmission::Free(base)) => {
                self.entries.update(&req.key, |it| it.base = Some(base));
                Ok(Begin::Run(entry.log.clone()))
            }
            Some(IntentAdmission::Answered(answer)) => {
                count_joined("intent_row");
                Ok(self.join_stored(req, entry, &answer))
            }
            Some(IntentAdmission::Held(message)) => {
                Err(Error::new(ErrorKind::OutcomeUnknown, message))
            }
            Some(IntentAdmission::Reused) => Err(reused()),
            None if home != Home::OutOfReach => Ok(Begin::Run(entry.log.clone())),
            None => {
                let message = "neither the table nor the home router answers";
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

    pub(super) fn on_requests(&self, from: &RouterId, body: &RequestsBody) {
        match body {
            RequestsBody::Claim(message) => self.home.on_claim(from, message),
            RequestsBody::Verdict(message) => self.home.on_verdict(message),
            RequestsBody::Ended(message) => self.home.on_ended(message),
            RequestsBody::Handover(message) => self.home.on_held(message),
            RequestsBody::Fetch(message) => self.relay.on_fetch(&self.entries, from, message),
            RequestsBody::Part(message) => self.relay.on_part(message),
            RequestsBody::PromiseRequest(message) => self.home.on_ask_promise(from, message),
            RequestsBody::Promise(message) => self.home.on_promise(from, message),
        }
    }
}

#[async_trait]
impl RequestRegistry for FleetRegistry {
    async fn begin(&self, req: &BeginRequest) -> Result<Begin> {
        let entry = match self.entries.open(&req.key, &req.fingerprint, req.idempotent)? {
            Opened::Known(log) => {
                count_joined("this_router");
                return Ok(Begin::Join(log));
            }
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

async fn run_ticks(registry: Weak<FleetRegistry>) {
    loop {
        tokio::time::sleep(TICK).await;
        let Some(registry) = registry.upgrade() else { return };
        registry.tick().await;
    }
}
