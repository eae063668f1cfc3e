//! Choice of endpoints, as requests see it.
//!
//! [`PolicyDispatcher`] carries the decisions of the `routing` crate: its scheduler
//! lives in a task on the control thread and is reached by a channel.

mod command;
mod crash_messages;
mod dispatch_status;
mod granted_lease;
mod host_poller;
mod load_poller;
mod policy_dispatcher;
mod scheduler_task;

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use errors::Result;

pub use self::{dispatch_status::DispatchStatus, policy_dispatcher::PolicyDispatcher};
pub use routing::{AttemptOutcome, EndpointLease, EndpointNeed, Target};

/// Choice of endpoints, with its queue and its limits.
#[async_trait]
pub trait Dispatcher: Send + Sync {
    /// Waits for an endpoint that may serve the request.
    ///
    /// # Errors
    /// `NoEndpoint`, `ModelLoading`, `Overloaded`, `QueueFull`, `Quarantined` or
    /// `DeadlineBeforeRun`. No attempt is sent then.
    async fn acquire(&self, need: &EndpointNeed) -> Result<EndpointLease>;

    /// Reports the time from sending the attempt to its first token.
    fn report_first_token(&self, lease: &EndpointLease, latency: Duration);

    /// Reports the end of an attempt and gives its place back.
    fn finish(&self, lease: EndpointLease, need: &EndpointNeed, outcome: AttemptOutcome);

    /// Tells whether a further attempt may be made after one that ended with `outcome`,
    /// and takes it from the retry budget.
    fn may_retry(&self, need: &EndpointNeed, outcome: AttemptOutcome) -> bool;

    /// Returns the endpoints, the queue and the quarantine, for operators.
    fn status(&self) -> Arc<DispatchStatus>;
}
