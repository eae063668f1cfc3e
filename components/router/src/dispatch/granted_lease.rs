//! Leases that the scheduler has granted but the request has not yet received.

use routing::{AttemptOutcome, EndpointLease};
use tokio::sync::mpsc::UnboundedSender;

use super::command::Command;

/// Lease that was granted to a request. It is released on drop unless the request has
/// received it.
#[derive(Debug)]
pub(super) struct GrantedLease {
    /// The lease; `None` once the request has received it.
    lease: Option<EndpointLease>,
    /// Commands to the scheduler task.
    commands: UnboundedSender<Command>,
}

impl GrantedLease {
    pub(super) fn new(lease: EndpointLease, commands: UnboundedSender<Command>) -> GrantedLease {
        GrantedLease { lease: Some(lease), commands }
    }

    /// Returns the lease, which the request must finish from now on.
    pub(super) fn into_inner(mut self) -> EndpointLease {
        self.lease.take().expect("the lease is taken only here and on drop")
    }
}

impl Drop for GrantedLease {
    fn drop(&mut self) {
        if let Some(lease) = self.lease.take() {
            let outcome = AttemptOutcome::Cancelled;
            // The task ends only with the process.
            let _ = self.commands.send(Command::Finish { lease: lease.id, outcome });
        }
    }
}
