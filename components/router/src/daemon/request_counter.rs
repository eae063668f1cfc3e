//! Counter of requests in progress.

use crate::traffic::Runs;

/// Counts the requests in progress.
#[derive(Clone)]
pub struct RequestCounter {
    /// Requests in progress.
    runs: Runs,
}

impl RequestCounter {
    pub(super) fn new(runs: Runs) -> RequestCounter {
        RequestCounter { runs }
    }

    /// Returns the number of requests in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.runs.len()
    }
}
