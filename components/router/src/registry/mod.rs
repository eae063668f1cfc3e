//! Request ids: retries join the running attempt or get the kept answer, and calls that
//! must not run twice leave a row in the table before they are sent.

mod begin;
mod entries;
mod fleet;
mod home_link;
mod intent_permit;
mod intents;
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

/// Request ids, as requests see them.
#[async_trait]
pub trait RequestRegistry: Send + Sync {
    /// Begins a request, or finds its running attempt or kept answer.
    ///
    /// # Errors
    /// `RequestIdReused` where the id was used with other content; `OutcomeUnknown`
    /// where an earlier attempt of a non-idempotent request was sent by a router that
    /// does not answer.
    async fn begin(&self, req: &BeginRequest) -> Result<Begin>;

    /// Ends the run that [`begin`](RequestRegistry::begin) started. A whole answer is
    /// kept for retries; after an error the next retry runs anew.
    ///
    /// # Errors
    /// The error of the run. It no longer says "not run" where an earlier attempt of the
    /// id may have been sent, or where another one still can be.
    async fn end(
        &self,
        key: &RequestKey,
        result: std::result::Result<Arc<KeptAnswer>, Error>,
    ) -> Result<Arc<KeptAnswer>>;

    /// Records in the table that a non-idempotent call is about to be sent. Only the
    /// holder of the permit may send it.
    ///
    /// # Errors
    /// `OutcomeUnknown` where another holder may have sent it; `StoreUnavailable` where
    /// no row could be written by `deadline`, and none will be.
    async fn record_intent(
        &self,
        key: &RequestKey,
        fingerprint: &Digest,
        deadline: Timestamp,
    ) -> Result<IntentPermit>;

    /// Withdraws the record of a call that was not sent.
    ///
    /// # Errors
    /// `OutcomeUnknown` where the row may remain; the request is not "not run" then.
    async fn withdraw_intent(&self, permit: IntentPermit) -> Result<()>;

    /// Returns the writes that record the outcome of a call, for the commit of its bill.
    fn settle_intent(&self, permit: &IntentPermit, answer: &KeptAnswer) -> Commit;

    /// Returns the answer log of a request that runs here.
    fn find_running(&self, key: &RequestKey) -> Option<Arc<AnswerLog>>;
}
