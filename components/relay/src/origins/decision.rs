//! Decides at which version a stream may go on.

use std::sync::Arc;

use super::{Origin, QueryResult};

/// What a router itself knows about the versions of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionView {
    /// Versions that endpoints of the service have, or have had while a caller that is still to come
    /// back may have begun its stream.
    pub versions: Vec<Arc<str>>,
    /// Whether the router knows all versions since then: it has read the stored history, and the list
    /// of endpoints recently.
    pub is_complete: bool,
}

/// At which version a stream that a caller takes up may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeUp {
    /// At this version of the service.
    At(Origin),
    /// The version that began the stream is not known, and there are several.
    Unknown,
}

/// Decides at which version a stream of `service` goes on. Without a record of its origin, it goes
/// on only if the service has had a single version, as far as this router and all that answered know.
///
/// This router's view may lack a version that joined after it was read. It counts only if `is_current`
/// (read after the caller's request arrived) or if all routers that were asked have answered.
pub fn decide_take_up(
    service: &Arc<str>,
    view: &VersionView,
    is_current: bool,
    answers: &QueryResult,
) -> TakeUp {
    if let Some(origin) = &answers.origin {
        return TakeUp::At(origin.clone());
    }
    let mut seen = QueryResult::default();
    seen.add_versions(&view.versions);
    seen.add_versions(&answers.versions);
    let is_known = if answers.have_all_answered() {
        view.is_complete || answers.complete > 0
    } else {
        view.is_complete && is_current
    };
    match seen.versions.as_slice() {
        [only] if is_known => {
            TakeUp::At(Origin { service: service.clone(), version: only.clone() })
        }
        _ => TakeUp::Unknown,
    }
}
