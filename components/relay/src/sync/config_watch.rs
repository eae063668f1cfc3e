//! Background task that follows what operators write in the store.

use std::{pin::pin, sync::Arc, time::Duration};

use platform::PlatformError;

use super::backoff::Backoff;
use crate::{
    context::{InForce, RelayContext},
    domains::EmptiedDomain,
    endpoints::ColdLimit,
    model::DesiredState,
    ports::{Cursor, Feed, OperatorChange},
    transfer::TransferProgress,
    units::millis,
};

/// Time for which a call waits for changes. A dead connection is noticed within this time, so
/// that a change takes effect within two seconds.
const FEED_WAIT: Duration = Duration::from_millis(1_000);

/// Applies changes of the desired state and of the emptied failure domains until the process ends.
pub(crate) async fn watch_config(cx: Arc<RelayContext>) {
    let mut backoff = Backoff::new("desired state");
    let mut cursor: Option<Cursor> = None;
    loop {
        let progress = TransferProgress::default();
        match read_changes(&cx, cursor, &progress).await {
            Ok(next) => {
                let needs_read = cx.lock_endpoints().emptied_domains().needs_read(cx.now());
                cursor = next.filter(|_| !needs_read);
                backoff.record_success();
            }
            Err(error) => {
                let delay = backoff.record_failure(&error, &mut cx.lock_rng());
                count_read(&progress, "failed");
                if progress.bytes() > 0 && backoff.failures().is_power_of_two() {
                    log::warn!(received_bytes = progress.bytes(), transfer_ms = millis(progress.duration()), idle_ms = millis(progress.idle()), failures = backoff.failures(), from_feed = cursor.is_some(); "read of the desired state failed");
                }
                // Notified when another router has a newer desired state.
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    () = cx.config_hint.notified() => cursor = None,
                }
            }
        }
    }
}

/// Applies the changes after `cursor`, or the whole desired state if there is no cursor. Returns
/// the next cursor; `None` if the whole state is to be read again.
async fn read_changes(
    cx: &RelayContext,
    cursor: Option<Cursor>,
    progress: &TransferProgress,
) -> Result<Option<Cursor>, PlatformError> {
    let Some(cursor) = cursor else {
        let (state, cursor) = cx.source.operator_state(progress).await?;
        // Before the desired state: a router that has none sends nothing.
        let now = cx.now();
        cx.lock_endpoints().emptied_domains_mut().apply_read(state.emptied_domains, cursor, now);
        activate_newest(cx, state.desired_state, progress);
        return Ok(Some(cursor));
    };
    let mut feed = pin!(cx.source.operator_changes_after(cursor, FEED_WAIT, progress));
    let mut is_hinted = false;
    let feed = loop {
        tokio::select! {
            feed = &mut feed => break feed?,
            () = cx.config_hint.notified() => {
                if cx.is_behind_peers() && progress.bytes() == 0 {
                    // The feed may lag behind the rows, so the whole state is read again.
                    return Ok(None);
                }
                // The arriving data most likely contains the reported version.
                is_hinted = true;
            }
        }
    };
    match feed {
        Feed::Changes(changes, cursor) => {
            let (states, domains) = split_changes(changes);
            let now = cx.now();
            cx.lock_endpoints().emptied_domains_mut().apply_changes(domains, cursor, now);
            activate_newest(cx, states, progress);
            Ok(Some(cursor).filter(|_| !is_hinted || !cx.is_behind_peers()))
        }
        Feed::HistoryLost => {
            log::info!(
                "the feed of the desired state has dropped changes; reading the whole state again"
            );
            Ok(None)
        }
    }
}

/// Returns the desired states among `changes`, and the failure domains with whether each is emptied.
fn split_changes(changes: Vec<OperatorChange>) -> (Vec<DesiredState>, Vec<(EmptiedDomain, bool)>) {
    let (mut states, mut domains) = (Vec::new(), Vec::new());
    for change in changes {
        match change {
            OperatorChange::DesiredState(state) => states.push(state),
            OperatorChange::Emptied(domain) => domains.push((domain, true)),
            OperatorChange::TakenBack(domain) => domains.push((domain, false)),
        }
    }
    (states, domains)
}

/// Puts those of `states` in force that are newer than the one in force.
fn activate_newest(
    cx: &RelayContext,
    states: impl IntoIterator<Item = DesiredState>,
    progress: &TransferProgress,
) {
    let mut result = "unchanged";
    for state in states {
        if state.version > cx.config_version() {
            activate_state(cx, state, progress);
            result = "applied";
        }
    }
    count_read(progress, result);
}

fn activate_state(cx: &RelayContext, state: DesiredState, progress: &TransferProgress) {
    let version = state.version;
    let now = cx.now();
    cx.lock_allowances().set_accounts(&state.distinct_accounts(), version);
    let routes = state.routes.values().map(Vec::len).sum::<usize>();
    log::info!(version, routes, services = state.services.len(), bytes = progress.bytes(), transfer_ms = millis(progress.duration()), decode_ms = millis(progress.idle()); "desired state in force");
    metrics::gauge!(telemetry::CONFIG_VERSION).set(version as f64);
    set_cold_limits(cx, &state);
    cx.in_force.store(Some(Arc::new(InForce { state, since: now })));
    cx.desired_state_changed.notify_waiters();
    cx.allowance_wanted.notify_one();
}

/// Tells the registry what the services' endpoints take while they are cold.
fn set_cold_limits(cx: &RelayContext, state: &DesiredState) {
    let Some(bounds) = cx.settings.cold_bounds else { return };
    let limits = state.services.iter();
    let limits =
        limits.filter_map(|(name, spec)| Some((name.clone(), ColdLimit::new(spec, bounds)?)));
    cx.lock_endpoints().set_cold_limits(limits.collect());
}

/// Counts a read that received data.
fn count_read(progress: &TransferProgress, result: &'static str) {
    if progress.bytes() > 0 {
        metrics::counter!(telemetry::CONFIG_READS_TOTAL, "result" => result).increment(1);
        metrics::counter!(telemetry::CONFIG_READ_BYTES_TOTAL).increment(progress.bytes());
    }
}
