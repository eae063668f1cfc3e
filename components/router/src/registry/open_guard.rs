//! Cleanup of entries whose request was not started.

use errors::{Error, ErrorKind, Ran};
use requests::EndState;
use types::RequestKey;

use super::{FleetRegistry, entries::Entry};

/// Removes the entry of a request that was not started, even if the caller's future was
/// dropped in the meantime.
pub(super) struct OpenGuard<'a> {
    /// Registry that holds the entry.
    pub(super) registry: &'a FleetRegistry,
    /// Key of the request.
    pub(super) key: &'a RequestKey,
    /// Entry of the request.
    pub(super) entry: &'a Entry,
    /// Outcome of the start: `None` until it is known, `Some(None)` on success, and
    /// `Some(Some(error))` on failure.
    pub(super) outcome: Option<Option<Error>>,
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        let error = match self.outcome.take() {
            Some(None) => return,
            Some(Some(error)) => error,
            None => {
                let message =
                    "the caller that started the request disconnected; send the request again";
                Error::new(ErrorKind::AttemptsFailed, message)
            }
        };
        let state = match error.kind() {
            ErrorKind::RequestIdReused => EndState::IdReused,
            ErrorKind::OutcomeUnknown => EndState::MayHaveRun,
            _ => EndState::NotRun,
        };
        let Entry { fingerprint, attempt, log, .. } = self.entry;
        self.registry.entries.remove(self.key, attempt);
        self.registry.home.end(self.key, fingerprint, attempt, state);
        log.fail(error);
    }
}

/// Returns the end state of an attempt that failed with `error`.
pub(super) fn end_state(error: &Error) -> EndState {
    if error.ran() == Ran::Never { EndState::NotRun } else { EndState::MayHaveRun }
}
