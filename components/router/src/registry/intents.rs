//! Intent rows in the table.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use errors::{Error, ErrorKind, Result};
use platform::{Commit, PlatformError, Precondition, Row, Table, Write};
use requests::{
    AbandonedWrite, IntentAdmission, IntentBase, IntentRow, IntentState, IntentWrite, StoredAnswer,
    WriteNumber, WriteStep, admit, intent_key,
};
use types::{FencingNumber, RequestKey, RouterId, Timestamp};
use utils::Digest;

use super::IntentPermit;
use crate::Clock;

/// Pause between two tries of a call to the table.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time for a write that a refusal waits for.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a router goes on closing an intent after its request has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(600);

/// How a write of an intent row ended.
#[derive(Debug)]
enum WriteEnd {
    /// It took effect.
    Written(platform::Revision),
    /// Another write came first.
    Superseded(Option<Row>),
    /// The time was up.
    GivenUp(AbandonedWrite),
}

/// How the record of a refusal ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// No call was sent, and no attempt admitted before now can send one.
    Recorded,
    /// Another attempt has sent the call, or may do so.
    Contested,
    /// The table did not answer.
    TableAway,
}

/// Intent rows in the table, as one router writes them.
pub(super) struct Intents {
    /// Identity of this router.
    router: RouterId,
    /// The platform's table.
    table: Arc<dyn Table>,
    /// Clock.
    clock: Clock,
    /// Number of the next write.
    next_write: AtomicU64,
}

impl Intents {
    /// Creates the intents of `router`.
    pub(super) fn new(router: RouterId, table: Arc<dyn Table>, clock: Clock) -> Intents {
        Intents { router, table, clock, next_write: AtomicU64::new(1) }
    }

    /// Reads what the row of `key` means for a new attempt.
    pub(super) async fn admit(
        &self,
        key: &RequestKey,
        fingerprint: &Digest,
    ) -> Result<IntentAdmission, PlatformError> {
        let rows = self.table.read(&[intent_key(key)]).await?;
        Ok(admit(rows.first().and_then(Option::as_ref), fingerprint))
    }

    /// Reads until the table answers or `deadline` passes.
    pub(super) async fn admit_until(
        &self,
        key: &RequestKey,
        fingerprint: &Digest,
        deadline: Timestamp,
    ) -> Result<IntentAdmission> {
        loop {
            match self.admit(key, fingerprint).await {
                Ok(admission) => return Ok(admission),
                Err(error) if self.clock.now() >= deadline => {
                    return Err(Error::new(ErrorKind::StoreUnavailable, error.to_string()));
                }
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Records a call over `base`. A record that may still turn up after the error is
    /// withdrawn in the background.
    pub(super) async fn record(
        self: &Arc<Intents>,
        key: &RequestKey,
        fingerprint: &Digest,
        base: IntentBase,
        deadline: Timestamp,
    ) -> Result<IntentPermit> {
        let fencing = base.next_fencing();
        let row = self.row(fingerprint, fencing, IntentState::Recorded);
        let write = IntentWrite::new(intent_key(key), row.clone(), base);
        match self.write(write, deadline).await {
            WriteEnd::Written(revision) => {
                Ok(IntentPermit { key: key.clone(), revision, fencing, row })
            }
            WriteEnd::Superseded(row) => Err(superseded(row.as_ref(), fingerprint)),
            WriteEnd::GivenUp(AbandonedWrite::NeverWritten) => {
                Err(Error::new(ErrorKind::StoreUnavailable, "the intent could not be recorded"))
            }
            WriteEnd::GivenUp(AbandonedWrite::MayBeWritten) => {
                let (intents, key) = (self.clone(), key.clone());
                tokio::spawn(async move {
                    intents.close(&key, &row, IntentState::Withdrawn).await;
                });
                let message = "the answer to the record of the intent was lost";
                Err(Error::new(ErrorKind::OutcomeUnknown, message))
            }
        }
    }

    /// Voids a permit whose call was not sent.
    pub(super) async fn withdraw(&self, permit: &IntentPermit) -> bool {
        let base = IntentBase { revision: Some(permit.revision), fencing: permit.fencing };
        let row = self.row(&permit.row.fingerprint, permit.fencing, IntentState::Withdrawn);
        let write = IntentWrite::new(intent_key(&permit.key), row, base);
        let deadline = self.clock.now() + REFUSAL_TIMEOUT;
        matches!(self.write(write, deadline).await, WriteEnd::Written(_))
    }

    /// Makes attempts fail that were admitted over `base`, as a refusal that says "not
    /// run" needs it.
    pub(super) async fn refuse(
        &self,
        key: &RequestKey,
        fingerprint: &Digest,
        base: Option<IntentBase>,
    ) -> Refusal {
        let deadline = self.clock.now() + REFUSAL_TIMEOUT;
        let mut base = base;
        loop {
            let over = match base.take() {
                Some(base) => base,
                None => match self.admit(key, fingerprint).await {
                    Ok(IntentAdmission::Free(base)) => base,
                    Ok(_) => return Refusal::Contested,
                    Err(_) => return Refusal::TableAway,
                },
            };
            let row = self.row(fingerprint, over.fencing, IntentState::Withdrawn);
            match self.write(IntentWrite::new(intent_key(key), row, over), deadline).await {
                WriteEnd::Written(_) => return Refusal::Recorded,
                WriteEnd::Superseded(_) if self.clock.now() < deadline => {}
                WriteEnd::Superseded(_) => return Refusal::Contested,
                WriteEnd::GivenUp(_) => return Refusal::TableAway,
            }
        }
    }

    /// Replaces the row that this router recorded with `write` by `state`, however long
    /// the table is away.
    pub(super) async fn close(&self, key: &RequestKey, recorded: &IntentRow, state: IntentState) {
        let deadline = self.clock.now() + CLOSE_TIMEOUT;
        let row_key = intent_key(key);
        while self.clock.now() < deadline {
            if let Ok(rows) = self.table.read(std::slice::from_ref(&row_key)).await
                && self.close_once(key, rows.into_iter().next().flatten(), recorded, &state).await
            {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE * 10).await;
        }
        log::warn!(request_id:% = key; "the intent row was not closed; an operator has to resolve it");
    }

    /// Returns the commit that records the answer of a call.
    pub(super) fn settle(&self, permit: &IntentPermit, answer: StoredAnswer) -> Commit {
        let row = IntentRow { state: IntentState::Done(answer), ..permit.row.clone() };
        let key = intent_key(&permit.key);
        Commit {
            preconditions: vec![Precondition::Revision(key.clone(), permit.revision)],
            writes: vec![Write::put(key, &row)],
        }
    }

    /// Closes a row as it was read; true where nothing is left to do. Where the recorded
    /// row is not there, it may still come from a late commit: a withdrawal keeps it out.
    async fn close_once(
        &self,
        key: &RequestKey,
        found: Option<Row>,
        recorded: &IntentRow,
        state: &IntentState,
    ) -> bool {
        let intent = found.as_ref().map(IntentRow::from_row);
        let is_open = match &intent {
            None => true,
            Some(Ok(intent)) => {
                *intent == *recorded
                    || (intent.state == IntentState::Withdrawn && *state == IntentState::Withdrawn)
            }
            Some(Err(_)) => false,
        };
        if !is_open {
            return true;
        }
        let base =
            IntentBase { revision: found.map(|row| row.revision), fencing: recorded.fencing };
        let row = self.row(&recorded.fingerprint, recorded.fencing, state.clone());
        let deadline = self.clock.now() + REFUSAL_TIMEOUT;
        let write = IntentWrite::new(intent_key(key), row, base);
        matches!(self.write(write, deadline).await, WriteEnd::Written(_))
    }

    fn row(&self, fingerprint: &Digest, fencing: FencingNumber, state: IntentState) -> IntentRow {
        IntentRow {
            router: self.router.clone(),
            write: WriteNumber(self.next_write.fetch_add(1, Ordering::Relaxed)),
            fingerprint: *fingerprint,
            fencing,
            state,
            resolved_by: None,
        }
    }

    async fn write(&self, mut write: IntentWrite, deadline: Timestamp) -> WriteEnd {
        let mut step = WriteStep::Commit;
        loop {
            step = match step {
                WriteStep::Written(revision) => return WriteEnd::Written(revision),
                WriteStep::Superseded(row) => return WriteEnd::Superseded(row),
                WriteStep::Commit => write.on_commit(&self.table.commit(&write.commit()).await),
                WriteStep::Read => self.read_back(&mut write).await,
            };
            let is_open = matches!(step, WriteStep::Commit | WriteStep::Read);
            if is_open && self.clock.now() >= deadline {
                return WriteEnd::GivenUp(write.give_up());
            }
            if step == WriteStep::Commit {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn read_back(&self, write: &mut IntentWrite) -> WriteStep {
        match self.table.read(std::slice::from_ref(write.key())).await {
            Ok(rows) => write.on_read(rows.first().and_then(Option::as_ref)),
            Err(_) => {
                tokio::time::sleep(RETRY_PAUSE).await;
                WriteStep::Read
            }
        }
    }
}

/// Returns the error of an attempt whose record came after another write.
fn superseded(row: Option<&Row>, fingerprint: &Digest) -> Error {
    match admit(row, fingerprint) {
        IntentAdmission::Free(_) => {
            let message = "another attempt of this id was refused meanwhile; send it again";
            Error::new(ErrorKind::StoreUnavailable, message)
        }
        IntentAdmission::Reused => {
            Error::new(ErrorKind::RequestIdReused, "this request id was used with other content")
        }
        IntentAdmission::Answered(_) => {
            let message = "another attempt ran meanwhile; send the request again for its answer";
            Error::new(ErrorKind::OutcomeUnknown, message)
        }
        IntentAdmission::Held(message) => Error::new(ErrorKind::OutcomeUnknown, message),
    }
}
