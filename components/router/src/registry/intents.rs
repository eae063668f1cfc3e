//! Reads and writes of intent rows in the table.

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

/// Pause before a call to the table is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest time of a write that withdraws or closes a row.
const CLOSING_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a router tries to close an intent row after its request has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(600);

/// Result of a write of an intent row.
#[derive(Debug)]
enum WriteOutcome {
    /// The write took effect.
    Written(platform::Revision),
    /// Another write came first.
    Superseded(Option<Row>),
    /// The deadline passed before the outcome was known.
    Abandoned(AbandonedWrite),
}

/// Result of the attempt to record a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RefusalRecord {
    /// No call was sent, and no attempt admitted before now can send one.
    Written,
    /// Another attempt has sent the call, or may still send it.
    MayBeSent,
    /// The table did not answer in time.
    TableUnavailable,
}

/// Reads and writes the intent rows of the requests of one router.
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
    /// Creates an instance that writes rows on behalf of `router`.
    pub(super) fn new(router: RouterId, table: Arc<dyn Table>, clock: Clock) -> Intents {
        Intents { router, table, clock, next_write: AtomicU64::new(1) }
    }

    /// Reads the intent row of `key` and decides what it means for a new attempt.
    pub(super) async fn admit(
        &self,
        key: &RequestKey,
        fingerprint: &Digest,
    ) -> Result<IntentAdmission, PlatformError> {
        let rows = self.table.read(&[intent_key(key)]).await?;
        Ok(admit(rows.first().and_then(Option::as_ref), fingerprint))
    }

    /// Calls [`admit`](Intents::admit) until the table answers or `deadline` passes.
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

    /// Records a call in place of the row `base`. If it fails and the record may still take
    /// effect, it is withdrawn in the background.
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
            WriteOutcome::Written(revision) => {
                Ok(IntentPermit { key: key.clone(), revision, fencing, row })
            }
            WriteOutcome::Superseded(row) => Err(superseded_error(row.as_ref(), fingerprint)),
            WriteOutcome::Abandoned(AbandonedWrite::NeverWritten) => Err(Error::new(
                ErrorKind::StoreUnavailable,
                "the call was not sent: its intent could not be recorded before the deadline",
            )),
            WriteOutcome::Abandoned(AbandonedWrite::MayBeWritten) => {
                let (intents, key) = (self.clone(), key.clone());
                tokio::spawn(async move {
                    intents.close(&key, &row, IntentState::Withdrawn).await;
                });
                let message = "the table did not confirm the intent record of the call";
                Err(Error::new(ErrorKind::OutcomeUnknown, message))
            }
        }
    }

    /// Withdraws the permit of a call that was not sent; returns false if its row may remain.
    pub(super) async fn withdraw(&self, permit: &IntentPermit) -> bool {
        let base = IntentBase { revision: Some(permit.revision), fencing: permit.fencing };
        let row = self.row(&permit.row.fingerprint, permit.fencing, IntentState::Withdrawn);
        let write = IntentWrite::new(intent_key(&permit.key), row, base);
        let deadline = self.clock.now() + CLOSING_WRITE_TIMEOUT;
        matches!(self.write(write, deadline).await, WriteOutcome::Written(_))
    }

    /// Replaces the row `base`, or the current row if `base` is `None`, with a withdrawal, so
    /// that no attempt admitted earlier can record its call. A refusal may say "not run" only
    /// after that.
    pub(super) async fn record_refusal(
        &self,
        key: &RequestKey,
        fingerprint: &Digest,
        base: Option<IntentBase>,
    ) -> RefusalRecord {
        let deadline = self.clock.now() + CLOSING_WRITE_TIMEOUT;
        let mut base = base;
        loop {
            let replaced = match base.take() {
                Some(base) => base,
                None => match self.admit(key, fingerprint).await {
                    Ok(IntentAdmission::Free(base)) => base,
                    Ok(_) => return RefusalRecord::MayBeSent,
                    Err(_) => return RefusalRecord::TableUnavailable,
                },
            };
            let row = self.row(fingerprint, replaced.fencing, IntentState::Withdrawn);
            match self.write(IntentWrite::new(intent_key(key), row, replaced), deadline).await {
                WriteOutcome::Written(_) => return RefusalRecord::Written,
                WriteOutcome::Superseded(_) if self.clock.now() < deadline => {}
                WriteOutcome::Superseded(_) => return RefusalRecord::MayBeSent,
                WriteOutcome::Abandoned(_) => return RefusalRecord::TableUnavailable,
            }
        }
    }

    /// Replaces the row `recorded` with one in `state`. Repeats this until it succeeds or
    /// [`CLOSE_TIMEOUT`] has passed.
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
        log::warn!(request_id:% = key; "intent row not closed; an operator must resolve it");
    }

    /// Returns the commit that records the answer of a call in its intent row.
    pub(super) fn settle(&self, permit: &IntentPermit, answer: StoredAnswer) -> Commit {
        let row = IntentRow { state: IntentState::Done(answer), ..permit.row.clone() };
        let key = intent_key(&permit.key);
        Commit {
            preconditions: vec![Precondition::Revision(key.clone(), permit.revision)],
            writes: vec![Write::put(key, &row)],
        }
    }

    /// Replaces the row `found` with one in `state`; returns true if nothing is left to do. If
    /// the recorded row is not there, a late commit may still write it; the row written here
    /// makes that commit fail.
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
        let deadline = self.clock.now() + CLOSING_WRITE_TIMEOUT;
        let write = IntentWrite::new(intent_key(key), row, base);
        matches!(self.write(write, deadline).await, WriteOutcome::Written(_))
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

    async fn write(&self, mut write: IntentWrite, deadline: Timestamp) -> WriteOutcome {
        let mut step = WriteStep::Commit;
        loop {
            step = match step {
                WriteStep::Written(revision) => return WriteOutcome::Written(revision),
                WriteStep::Superseded(row) => return WriteOutcome::Superseded(row),
                WriteStep::Commit => write.on_commit(&self.table.commit(&write.commit()).await),
                WriteStep::Read => self.read_back(&mut write).await,
            };
            let is_open = matches!(step, WriteStep::Commit | WriteStep::Read);
            if is_open && self.clock.now() >= deadline {
                return WriteOutcome::Abandoned(write.abandon());
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

/// Returns the error of an attempt whose intent row was not written because another write
/// came first.
fn superseded_error(row: Option<&Row>, fingerprint: &Digest) -> Error {
    match admit(row, fingerprint) {
        IntentAdmission::Free(_) => {
            let message =
                "another attempt with this id was refused meanwhile; send the request again";
            Error::new(ErrorKind::StoreUnavailable, message)
        }
        IntentAdmission::Reused => Error::new(
            ErrorKind::RequestIdReused,
            "the request id was used with different content; use a new id",
        ),
        IntentAdmission::Answered(_) => {
            let message =
                "another attempt of the request ran meanwhile; send it again to get the answer";
            Error::new(ErrorKind::OutcomeUnknown, message)
        }
        IntentAdmission::Held(message) => Error::new(ErrorKind::OutcomeUnknown, message),
    }
}
