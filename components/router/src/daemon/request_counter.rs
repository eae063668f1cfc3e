//! Counter of requests in progress.

use crate::traffic::Runs;

/// Counter of requests in progress.
#[derive(Clone)]
pub struct RequestCounter {
    /// The runs in progress.
    runs: Runs,
}

impl RequestCounter {
    pub(super) fn new(runs: Runs) -> RequestCounter {
        RequestCounter { runs }
    }

    /// Returns how many requests are in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.runs.len()
    }
}
