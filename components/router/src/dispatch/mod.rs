//! Choice of an endpoint for each attempt of a request.
//!
//! [`PolicyDispatcher`] applies the decisions of the `routing` crate, whose scheduler runs in
//! a task on the control thread and gets its commands over a channel.

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

/// Chooses the endpoints of requests, queues and limits requests, and decides on retries.
#[async_trait]
pub trait Dispatcher: Send + Sync {
    /// Waits for an endpoint that may serve the request.
    ///
    /// # Errors
    /// `NoEndpoint`, `ModelLoading`, `Overloaded`, `QueueFull`, `Quarantined`,
    /// `DeadlineBeforeRun` or, during a shutdown, `RouterLeaving`. The attempt must not be sent
    /// then.
    async fn acquire(&self, need: &EndpointNeed) -> Result<EndpointLease>;

    /// Reports the time from the start of the attempt to its first token.
    fn report_first_token(&self, lease: &EndpointLease, latency: Duration);

    /// Reports the end of an attempt and releases its lease.
    fn finish(&self, lease: EndpointLease, need: &EndpointNeed, outcome: AttemptOutcome);

    /// Returns whether another attempt may be made after one that ended with `outcome`. If so,
    /// charges it to the retry budget.
    fn may_retry(&self, need: &EndpointNeed, outcome: AttemptOutcome) -> bool;

    /// Returns the endpoints, the queue length and the quarantine, as last published.
    fn status(&self) -> Arc<DispatchStatus>;
}
