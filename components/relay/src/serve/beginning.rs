//! Finds out which process of an endpoint has begun a stream. An endpoint may start again under its id
//! with another version, and serve before this router has read its new entry.

use std::sync::Arc;

use types::Timestamp;

use super::{
    continuation::{correct_origin, wait_for_versions},
    run::ActiveRequest,
};
use crate::endpoints::{Placement, ProcessCheck};

/// The endpoint that sent the first event of a stream, until it is known which of its processes did.
pub(super) struct Beginning {
    endpoint: Arc<str>,
    /// Start time of the process that was listed when the endpoint was chosen.
    started_at_ms: u64,
    /// When the first event came, by a clock that counts suspension.
    at: Timestamp,
}

impl Beginning {
    /// Creates the beginning of a stream whose first event has just come.
    pub(super) fn new(placement: &Placement, boot_now: Timestamp) -> Beginning {
        Beginning {
            endpoint: placement.endpoint.clone(),
            started_at_ms: placement.process.started_at_ms,
            at: boot_now,
        }
    }

    /// Corrects where a running stream began, if another process of the endpoint has begun it. Returns
    /// whether that is known by now.
    pub(super) async fn confirm(&self, request: &mut ActiveRequest) -> bool {
        match self.check(request) {
            ProcessCheck::Pending => false,
            ProcessCheck::Same => true,
            ProcessCheck::Replaced(version) => {
                // The connection would not have outlived the former process.
                correct_origin(request, Some(version)).await;
                true
            }
        }
    }

    /// Does the same for a stream that is broken. If its process cannot be told, the stream goes on nowhere.
    pub(super) async fn confirm_after_break(&self, request: &mut ActiveRequest) {
        wait_for_versions(&request.cx, self.at).await;
        if let ProcessCheck::Replaced(version) = self.check(request) {
            let is_same = request.origin.as_ref().is_some_and(|it| it.version == version);
            if !is_same {
                correct_origin(request, None).await;
            }
        }
    }

    fn check(&self, request: &ActiveRequest) -> ProcessCheck {
        request.cx.lock_endpoints().check_process(&self.endpoint, self.started_at_ms, self.at)
    }
}
