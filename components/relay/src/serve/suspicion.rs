//! Keeps requests with content that crashes endpoints away from them, and collects the evidence.

use std::sync::Arc;

use errors::{Error, ErrorKind};
use routing::{ContentItem, CrashId, Standing};
use utils::stable_hash;

use super::{
    exchange::{self, PlacementGuard, ProcessState},
    run::ActiveRequest,
};
use crate::{
    context::RelayContext,
    endpoints::{Placement, Suspect},
    peers::{apply_verdict_changes, is_responsible},
};

/// Returns what a request contains that others may share: the parts of its prompt but the last,
/// which belongs to it alone, and its whole content.
fn content_items(request: &ActiveRequest, with_whole: bool) -> Vec<ContentItem> {
    let shared = request.head.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let parts = shared.iter().enumerate();
    let mut items: Vec<ContentItem> = parts
        .map(|(position, part)| ContentItem::part(&request.service, part.id, position))
        .collect();
    if with_whole {
        items.push(ContentItem::whole(&request.fingerprint()));
    }
    items
}

/// Returns what is known against the request's content.
fn standing(request: &ActiveRequest) -> Standing {
    let evidence = request.cx.lock_crash_evidence();
    if evidence.is_empty() {
        return Standing::Clear;
    }
    let with_whole = evidence.has_whole_contents();
    drop(evidence);
    let items = content_items(request, with_whole);
    request.cx.lock_crash_evidence().standing(&items)
}

/// Refuses a request that contains something condemned, unless it is needed to test the verdict.
///
/// # Errors
/// Returns an error if the request must not run.
pub(super) fn admit_content(request: &mut ActiveRequest) -> Result<(), Error> {
    let Standing::Condemned(item) = standing(request) else { return Ok(()) };
    let cx = &request.cx;
    let items = content_items(request, true);
    let is_first = |key| is_responsible(cx, key);
    let is_trial = cx.lock_crash_evidence().try_begin_trial(&items, is_first, cx.now());
    if is_trial {
        log::warn!(request:% = request.head.id, key:% = item.key; "request with condemned content runs to test the verdict");
        request.is_trial = true;
        return Ok(());
    }
    Err(refusal(request, item))
}

/// Refuses a request that contains something that was condemned while it waited or ran. Also ends
/// its permission to run as a trial, which is for one attempt.
///
/// # Errors
/// Returns an error if the request must not be sent.
pub(super) fn check_before_sending(request: &mut ActiveRequest) -> Result<(), Error> {
    if std::mem::take(&mut request.is_trial) {
        return Ok(());
    }
    match standing(request) {
        Standing::Condemned(item) => Err(refusal(request, item)),
        Standing::Clear | Standing::Suspect(_) => Ok(()),
    }
}

/// Reports whether the request contains something condemned.
pub(super) fn is_condemned(request: &ActiveRequest) -> bool {
    matches!(standing(request), Standing::Condemned(_))
}

/// Returns the content that decides where the request is placed because it may crash endpoints.
pub(super) fn suspect_of(request: &ActiveRequest) -> Option<Suspect> {
    match standing(request) {
        Standing::Clear => None,
        Standing::Suspect(item) | Standing::Condemned(item) => {
            let others = request.cx.lock_crash_evidence().suspects_before(item.key);
            Some(Suspect { key: item.key.0, others: others.iter().map(|it| it.0).collect() })
        }
    }
}

fn refusal(request: &ActiveRequest, item: ContentItem) -> Error {
    let part = format!("{:x}", item.part);
    log::warn!(request:% = request.head.id, key:% = item.key, part:% = part, whole_content = item.is_whole(); "request with condemned content not sent");
    let message = "requests with this content crashed endpoints before";
    let error = Error::new(ErrorKind::Quarantined, message);
    if request.may_have_run { error.after_earlier_attempt() } else { error }
}

/// Records that an endpoint has begun to answer the request.
pub(super) fn record_survival(request: &ActiveRequest) {
    let cx = &request.cx;
    let with_whole = cx.lock_crash_evidence().has_whole_contents();
    let items = content_items(request, with_whole);
    let changes = cx.lock_crash_evidence().record_survival(&items, cx.now());
    apply_verdict_changes(cx, &changes, true);
}

/// Checks whether the endpoint crashed while it ran the request. If so, and if it had not begun to
/// answer, the request's content becomes suspect, which other routers learn at once. A request that
/// may run again waits for the result until its deadline; the check goes on without it, also if its
/// caller leaves.
pub(super) async fn check_for_crash(request: &ActiveRequest, guard: &PlacementGuard) {
    let account = request.account.as_ref().map_or("", |it| &it.name);
    let lost = LostAnswer {
        cx: request.cx.clone(),
        request_id: request.head.id.clone(),
        placement: guard.placement.clone(),
        events: request.attempt_events,
        parts: request.part_ids(),
        account: stable_hash(&[account.as_bytes()]),
        items: content_items(request, true),
    };
    let check = tokio::spawn(lost.check());
    if request.route.retry_policy.may_run_again() {
        let _ = tokio::time::timeout_at(request.cx.instant(request.deadline), check).await;
    }
}

/// An answer that was lost, and the request that it belongs to.
struct LostAnswer {
    /// Shared state of the relay.
    cx: Arc<RelayContext>,
    /// Id of the request.
    request_id: Arc<str>,
    /// Placement on the endpoint that ran the request.
    placement: Placement,
    /// Number of events that the endpoint sent.
    events: u64,
    /// Ids of the prompt's parts, for the log.
    parts: String,
    /// Hash of the client account's name.
    account: u64,
    /// What the request contains.
    items: Vec<ContentItem>,
}

impl LostAnswer {
    async fn check(self) {
        let LostAnswer { cx, request_id, placement, events, parts, account, items } = self;
        let endpoint = &placement.endpoint;
        let is_brittle = cx.lock_endpoints().is_service_brittle(&placement.service, cx.now());
        let state = exchange::probe_process(&cx, &placement).await;
        if state != ProcessState::Up {
            cx.lock_endpoints().record_unreachable(endpoint, cx.now());
        }
        if state != ProcessState::Ended {
            log::info!(request:% = request_id, endpoint:% = endpoint, events, parts:% = parts, state:? = state; "answer lost, but the endpoint has not crashed");
            return;
        }
        metrics::counter!(telemetry::ENDPOINT_CRASHES_TOTAL).increment(1);
        let (process, now) = (placement.process, cx.now());
        cx.lock_endpoints().record_end(endpoint, process, now);
        log::warn!(request:% = request_id, endpoint:% = endpoint, events, parts:% = parts; "endpoint lost while it ran the request");
        // A brittle endpoint falls over because of its load, whatever it runs.
        if events > 0 || is_brittle {
            return;
        }
        let crash = CrashId::new(endpoint, process.started_at_ms, process.ended);
        let changes = cx.lock_crash_evidence().record_crash(crash, account, &items, now);
        apply_verdict_changes(&cx, &changes, true);
        cx.gossip.send_status(&cx, false).await;
    }
}
