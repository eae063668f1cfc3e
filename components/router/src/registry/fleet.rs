//! Registry of request ids that is shared by all routers of the fleet.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use async_trait::async_trait;
use errors::{Error, ErrorKind, Ran, Result};
use platform::{Commit, ObjectStore, Table};
use protocol::RequestsBody;
use requests::{EndState, IntentAdmission, IntentState};
use types::{RequestKey, RouterId, Timestamp};
use utils::Digest;

use super::{
    Begin, BeginRequest, IntentPermit, RequestRegistry,
    entries::{Entries, Entry, Opened, id_reused},
    home::HomeReply,
    home_link::HomeLink,
    intents::{Intents, RefusalRecord},
    kept_store::{KeptItem, KeptStore},
    message_handler::MessageHandler,
    open_guard::{OpenGuard, end_state},
    relay::Relay,
    stored::{count_joined, stored_answer},
};
use crate::{
    Clock,
    answer::{AnswerLog, KeptAnswer},
    peers::Peers,
};

/// Interval of the checks for changed members and for answers to be stored.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time that may pass between the arrival of a request and the end of the read of its
/// intent row. A row that says "withdrawn" is not used if it was read later.
const WITHDRAWN_READ_MAX: Duration = Duration::from_millis(200);

/// Arguments of [`FleetRegistry::start`].
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

/// Registry of request ids that is shared by all routers of the fleet. Each id has a home
/// router that knows which attempt runs or has run. Whether a non-idempotent call may be
/// sent is decided by its intent row alone.
pub struct FleetRegistry {
    /// Requests that run on this router or whose answers it keeps.
    pub(super) entries: Entries,
    /// Link to the home routers, and the directory of the ids whose home is this router.
    pub(super) home: HomeLink,
    /// Intent rows in the table.
    intents: Arc<Intents>,
    /// Copies answers between routers.
    pub(super) relay: Relay,
    /// Kept answers in the object store.
    pub(super) kept: KeptStore,
    /// Clock.
    clock: Clock,
    /// Reference to itself, for the tasks that it spawns.
    pub(super) weak_self: Weak<FleetRegistry>,
}

impl FleetRegistry {
    /// Creates the registry and starts its tasks. Must be called within the runtime that
    /// handles the traffic. The tasks end once the registry is dropped.
    pub fn start(parts: RegistryParts) -> Arc<FleetRegistry> {
        let RegistryParts { router, clock, table, objects, peers } = parts;
        let registry = Arc::new_cyclic(|this| FleetRegistry {
            entries: Entries::new(router.clone()),
            home: HomeLink::new(router.clone(), peers.clone(), clock),
            kept: KeptStore::new(objects, &router),
            intents: Arc::new(Intents::new(router, table, clock)),
            relay: Relay::new(peers.clone()),
            clock,
            weak_self: this.clone(),
        });
        let handler = Arc::new(MessageHandler { registry: Arc::downgrade(&registry) });
        peers.subscribe(handler);
        tokio::spawn(run_ticks(Arc::downgrade(&registry)));
        registry
    }

    async fn tick(&self) {
        self.home.ask_promises();
        self.home.inform_new_homes(|| self.entries.handover_entries());
        while let Some((object, items)) = self.kept.flush().await {
            for item in items {
                let state = EndState::Kept { object: Some(object.clone()) };
                self.home.end(&item.key, &item.fingerprint, &item.attempt, state);
            }
        }
    }

    /// Reads the intent row of a request that has just arrived; `None` if the request is
    /// idempotent or the row cannot be used. A row that says "withdrawn" is used only if it
    /// was read soon after the arrival: if it was written later, by the refusal of another
    /// attempt, this attempt must not run.
    pub(super) async fn read_intent(&self, req: &BeginRequest) -> Option<IntentAdmission> {
        if req.idempotent {
            return None;
        }
        let arrived = self.clock.now();
        let admission = self.intents.admit(&req.key, &req.fingerprint).await.ok()?;
        let is_late = self.clock.now().since(arrived) > WITHDRAWN_READ_MAX;
        let is_withdrawn =
            matches!(&admission, IntentAdmission::Free(base) if base.revision.is_some());
        (!is_late || !is_withdrawn).then_some(admission)
    }

    /// Admits a request that is to run on this router. A non-idempotent one is admitted by its
    /// intent row, or without it only by a grant of the home router.
    pub(super) fn admit(
        &self,
        req: &BeginRequest,
        entry: &Entry,
        home_reply: HomeReply,
        intent: Option<IntentAdmission>,
    ) -> Result<Begin> {
        let is_first = home_reply == HomeReply::Granted { is_first: true };
        if home_reply == HomeReply::Unreachable {
            metrics::counter!(telemetry::RUNS_WITHOUT_HOME_TOTAL).increment(1);
        }
        self.entries.update(&req.key, |it| it.is_first = is_first);
        if req.idempotent {
            return Ok(Begin::Run(entry.log.clone()));
        }
        match intent {
            Some(IntentAdmission::Free(base)) => {
                self.entries.update(&req.key, |it| it.intent_base = Some(base));
                Ok(Begin::Run(entry.log.clone()))
            }
            Some(IntentAdmission::Answered(answer)) => {
                count_joined("intent_row");
                Ok(self.join_stored(req, entry, &answer))
            }
            Some(IntentAdmission::Held(message)) => {
                Err(Error::new(ErrorKind::OutcomeUnknown, message))
            }
            Some(IntentAdmission::Reused) => Err(id_reused()),
            None if home_reply != HomeReply::Unreachable => Ok(Begin::Run(entry.log.clone())),
            None => {
                let message =
                    "the table and the home router of the id are unreachable; try again later";
                Err(Error::new(ErrorKind::StoreUnavailable, message).after_earlier_attempt())
            }
        }
    }

    /// Returns the error with which an attempt ends, and updates its intent row. The error says
    /// "not run" only if no attempt with the id was sent and none can be sent any more.
    async fn finalize_error(&self, key: &RequestKey, entry: &Entry, error: Error) -> Error {
        if error.ran() != Ran::Never {
            self.close_intent(key, entry, IntentState::OutcomeUnknown);
            return error;
        }
        if entry.is_intent_withdrawn {
            return error;
        }
        let is_certain = if entry.is_idempotent {
            entry.is_first
        } else {
            let base = entry.intent_base.clone();
            match self.intents.record_refusal(key, &entry.fingerprint, base).await {
                RefusalRecord::Written => true,
                RefusalRecord::MayBeSent => false,
                RefusalRecord::TableUnavailable => entry.is_first,
            }
        };
        if is_certain { error } else { error.after_earlier_attempt() }
    }

    /// Sets the intent row of a recorded call to `state`, in the background.
    fn close_intent(&self, key: &RequestKey, entry: &Entry, state: IntentState) {
        let Some(recorded_intent) = entry.recorded_intent.clone() else { return };
        let (intents, key) = (self.intents.clone(), key.clone());
        tokio::spawn(async move { intents.close(&key, &recorded_intent, state).await });
    }

    /// Handles a message of another router.
    pub(super) fn on_message(&self, from: &RouterId, body: &RequestsBody) {
        match body {
            RequestsBody::Claim(message) => self.home.on_claim(from, message),
            RequestsBody::Decision(message) => self.home.on_decision(message),
            RequestsBody::Ended(message) => self.home.on_ended(message),
            RequestsBody::Handover(message) => self.home.on_handover(message),
            RequestsBody::Fetch(message) => self.relay.on_fetch(&self.entries, from, message),
            RequestsBody::Part(message) => self.relay.on_part(message),
            RequestsBody::PromiseRequest(message) => self.home.on_promise_request(from, message),
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
        let mut guard = OpenGuard { registry: self, key: &req.key, entry: &entry, outcome: None };
        let result = self.claim_or_join(req, &entry).await;
        guard.outcome = Some(result.as_ref().err().cloned());
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
                let error = self.finalize_error(key, &entry, error).await;
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
        let base = match self.entries.find(key).and_then(|entry| entry.intent_base) {
            Some(base) => base,
            None => match self.intents.admit_until(key, fingerprint, deadline).await? {
                IntentAdmission::Free(base) if base.revision.is_none() => base,
                // The row may have been written by a refusal after this attempt arrived; in that
                // case, this attempt must not run.
                IntentAdmission::Free(_) => {
                    let message =
                        "another attempt with this request id was refused; send the request again";
                    return Err(Error::new(ErrorKind::StoreUnavailable, message));
                }
                IntentAdmission::Answered(_) => {
                    let message =
                        "another attempt of the request ran; send it again to get the answer";
                    return Err(Error::new(ErrorKind::OutcomeUnknown, message));
                }
                IntentAdmission::Held(message) => {
                    return Err(Error::new(ErrorKind::OutcomeUnknown, message));
                }
                IntentAdmission::Reused => return Err(id_reused()),
            },
        };
        let permit = self.intents.record(key, fingerprint, base, deadline).await?;
        self.entries.update(key, |it| it.recorded_intent = Some(permit.row.clone()));
        Ok(permit)
    }

    async fn withdraw_intent(&self, permit: IntentPermit) -> Result<()> {
        let key = permit.key.clone();
        if self.intents.withdraw(&permit).await {
            self.entries.update(&key, |it| {
                it.recorded_intent = None;
                it.is_intent_withdrawn = true;
            });
            return Ok(());
        }
        if let Some(entry) = self.entries.find(&key) {
            self.close_intent(&key, &entry, IntentState::Withdrawn);
            self.entries.update(&key, |it| it.recorded_intent = None);
        }
        Err(Error::new(
            ErrorKind::OutcomeUnknown,
            "the call was not sent, but its intent row could not be withdrawn",
        ))
    }

    fn settle_intent(&self, permit: &IntentPermit, answer: &KeptAnswer) -> Commit {
        // The commit of the bill writes the final state of the row.
        self.entries.update(&permit.key, |it| it.recorded_intent = None);
        self.intents.settle(permit, stored_answer(answer))
    }

    fn find_answer_log(&self, key: &RequestKey) -> Option<Arc<AnswerLog>> {
        self.entries.find(key).map(|entry| entry.log)
    }
}

async fn run_ticks(registry: Weak<FleetRegistry>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let Some(registry) = registry.upgrade() else { return };
        registry.tick().await;
    }
}
