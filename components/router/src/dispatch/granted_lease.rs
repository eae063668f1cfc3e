//! Leases on their way from the scheduler to a request.

use routing::{AttemptOutcome, EndpointLease};
use tokio::sync::mpsc::UnboundedSender;

use super::command::Command;

/// A lease on its way to a request. It is given back if the request has gone by then.
#[derive(Debug)]
pub(super) struct GrantedLease {
    /// The lease; `None` once it was taken.
    lease: Option<EndpointLease>,
    /// The scheduler's task.
    commands: UnboundedSender<Command>,
}

impl GrantedLease {
    pub(super) fn new(lease: EndpointLease, commands: UnboundedSender<Command>) -> GrantedLease {
        GrantedLease { lease: Some(lease), commands }
    }

    /// Takes the lease, which the request has to give back from now on.
    pub(super) fn take(mut self) -> EndpointLease {
        self.lease.take().expect("a lease is taken once")
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
