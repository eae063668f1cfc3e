//! Entries of requests that do not begin.

use errors::{Error, ErrorKind};
use requests::EndState;
use types::RequestKey;

use super::{FleetRegistry, entries::Entry};

/// Removes the entry of a request that did not begin, also where its caller left
/// meanwhile.
pub(super) struct OpenGuard<'a> {
    /// Registry.
    pub(super) registry: &'a FleetRegistry,
    /// Key of the request.
    pub(super) key: &'a RequestKey,
    /// Its entry.
    pub(super) entry: &'a Entry,
    /// Why it did not begin, if it did not; `None` as long as that is not known.
    pub(super) end: Option<Option<Error>>,
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        let error = match self.end.take() {
            Some(None) => return,
            Some(Some(error)) => error,
            None => {
                let message = "the first caller left; send the request again";
                Error::new(ErrorKind::AttemptsFailed, message)
            }
        };
        let state = match error.kind() {
            ErrorKind::RequestIdReused => EndState::Forgotten,
            ErrorKind::OutcomeUnknown => EndState::MayHaveRun,
            _ => EndState::NotRun,
        };
        let Entry { fingerprint, attempt, log, .. } = self.entry;
        self.registry.entries.remove(self.key, attempt);
        self.registry.home.end(self.key, fingerprint, attempt, state);
        log.fail(error);
    }
}
