//! Choice of endpoints, as requests see it.

mod attempt_outcome;
mod endpoint_lease;
mod endpoint_need;
mod least_requests;

use std::time::Duration;

use async_trait::async_trait;
use errors::Result;

pub use self::{
    attempt_outcome::AttemptOutcome,
    endpoint_lease::EndpointLease,
    endpoint_need::{EndpointNeed, Target},
    least_requests::LeastRequests,
};

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
}
