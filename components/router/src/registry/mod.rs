//! Registry of request ids. A retry joins the running attempt or gets the kept answer. A
//! call that must not run twice is recorded in an intent row of the platform's table before
//! it is sent.

mod begin;
mod entries;
mod fleet;
mod home;
mod home_link;
mod intent_permit;
mod intents;
mod joining;
mod kept_store;
mod message_handler;
mod open_guard;
mod pending_calls;
mod relay;
mod stored;
mod wire;

use std::sync::Arc;

use async_trait::async_trait;
use errors::{Error, Result};
use platform::Commit;
use types::{RequestKey, Timestamp};
use utils::Digest;

pub use self::{
    begin::{Begin, BeginRequest},
    fleet::{FleetRegistry, RegistryParts},
    intent_permit::IntentPermit,
};
use crate::answer::{AnswerLog, KeptAnswer};

/// Registry of request ids: deduplicates retries and guards calls that must not run twice.
#[async_trait]
pub trait RequestRegistry: Send + Sync {
    /// Begins a request, or finds its running attempt or kept answer.
    ///
    /// # Errors
    /// `RequestIdReused` if the id was used with different content. `OutcomeUnknown` if an
    /// earlier attempt of a non-idempotent request may have been sent and its outcome is
    /// not known. `StoreUnavailable` if neither the table nor the home router is reachable.
    /// `AttemptsFailed` if the answers of the attempts at other routers cannot be read.
    async fn begin(&self, req: &BeginRequest) -> Result<Begin>;

    /// Ends the run that [`begin`](RequestRegistry::begin) started. A complete answer is
    /// kept for retries; after an error the next retry runs the request again.
    ///
    /// # Errors
    /// The error of the run. It no longer says "not run" if another attempt with the same
    /// id may have been sent, or may still be sent.
    async fn end(
        &self,
        key: &RequestKey,
        result: std::result::Result<Arc<KeptAnswer>, Error>,
    ) -> Result<Arc<KeptAnswer>>;

    /// Records in the table that a non-idempotent call is about to be sent. Only the
    /// holder of the returned permit may send it.
    ///
    /// # Errors
    /// `OutcomeUnknown` if another holder may have sent it, or if this record may have been
    /// written without confirmation. `StoreUnavailable` if no row was written by `deadline`
    /// and none will be. `RequestIdReused` if the id was used with different content.
    async fn record_intent(
        &self,
        key: &RequestKey,
        fingerprint: &Digest,
        deadline: Timestamp,
    ) -> Result<IntentPermit>;

    /// Withdraws the intent record of a call that was not sent.
    ///
    /// # Errors
    /// `OutcomeUnknown` if the row may remain; the request must not be reported as "not
    /// run" then.
    async fn withdraw_intent(&self, permit: IntentPermit) -> Result<()>;

    /// Returns the commit that records the answer of a call, to be merged into the commit
    /// of its bill.
    fn settle_intent(&self, permit: &IntentPermit, answer: &KeptAnswer) -> Commit;

    /// Returns the answer log of a request that is known on this router.
    fn find_answer_log(&self, key: &RequestKey) -> Option<Arc<AnswerLog>>;
}
