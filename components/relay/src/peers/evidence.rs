//! Exchanges evidence on what crashes endpoints, and acts on changes of verdicts.

use routing::{ContentKey, VerdictChange};

use super::{EvidenceMessage, ranking::is_first_in_rank};
use crate::context::RelayContext;

/// Logs changes of verdicts. `is_own` tells whether this router's own requests brought them about;
/// it then stores them.
pub(crate) fn apply_verdict_changes(cx: &RelayContext, changes: &[VerdictChange], is_own: bool) {
    for it in changes {
        let (crashes, survivals) = (it.crashes, it.survivals);
        let part = format!("{:x}", it.item.part);
        if it.is_condemned {
            log::warn!(key:% = it.item.key, part:% = part, whole_content = it.item.is_whole(), crashes, survivals, own = is_own; "content condemned: requests with it crash endpoints");
        } else {
            log::warn!(key:% = it.item.key, part:% = part, whole_content = it.item.is_whole(), crashes, survivals, own = is_own; "verdict on content lifted");
        }
        if is_own || is_responsible(cx, it.item.key) {
            cx.lock_unstored_verdicts().insert(it.item.key);
            cx.verdicts_changed.notify_one();
        }
    }
}

/// Reports whether this router is the one among the live ones that runs trials of a verdict and
/// stores it if the router that found it cannot.
pub(crate) fn is_responsible(cx: &RelayContext, key: ContentKey) -> bool {
    is_first_in_rank(cx, key.0)
}

/// Applies another router's evidence. Returns whether a verdict changed.
pub(super) fn apply_evidence(cx: &RelayContext, messages: &[EvidenceMessage]) -> bool {
    let reports: Vec<_> = messages.iter().filter_map(EvidenceMessage::to_report).collect();
    let changes = cx.lock_crash_evidence().merge(&reports, cx.now());
    apply_verdict_changes(cx, &changes, false);
    !changes.is_empty()
}

/// Drops outdated evidence.
pub(super) fn expire_evidence(cx: &RelayContext) {
    let changes = cx.lock_crash_evidence().expire(cx.now());
    apply_verdict_changes(cx, &changes, false);
}
