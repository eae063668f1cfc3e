//! Background task that follows the desired state in the store.

use std::{sync::Arc, time::Duration};

use platform::PlatformError;

use super::backoff::Backoff;
use crate::{
    context::{InForce, RelayContext},
    model::DesiredState,
    ports::{Cursor, Feed},
};

/// Time for which a call waits for changes. A dead connection is noticed within this time, so
/// that a change takes effect within two seconds.
const FEED_WAIT: Duration = Duration::from_millis(1_000);

/// Applies changes of the desired state until the process ends.
pub(crate) async fn watch_config(cx: Arc<RelayContext>) {
    let mut backoff = Backoff::new("desired state");
    let mut cursor: Option<Cursor> = None;
    loop {
        match read_changes(&cx, cursor).await {
            Ok(next) => {
                cursor = next;
                backoff.record_success();
            }
            Err(error) => {
                let delay = backoff.record_failure(&error, &mut cx.lock_rng());
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
) -> Result<Option<Cursor>, PlatformError> {
    let Some(cursor) = cursor else {
        let (state, cursor) = cx.source.desired_state().await?;
        if let Some(state) = state {
            activate_state(cx, state);
        }
        return Ok(Some(cursor));
    };
    let feed = tokio::select! {
        feed = cx.source.desired_state_after(cursor, FEED_WAIT) => feed?,
        // The feed may lag behind the rows, so the whole state is read again.
        () = cx.config_hint.notified() => return Ok(None),
    };
    match feed {
        Feed::Changes(states, cursor) => {
            for state in states {
                activate_state(cx, state);
            }
            Ok(Some(cursor))
        }
        Feed::HistoryLost => {
            log::info!(
                "the feed of the desired state has dropped changes; reading the whole state again"
            );
            Ok(None)
        }
    }
}

/// Puts a desired state in force unless the same or a newer version already is.
fn activate_state(cx: &RelayContext, state: DesiredState) {
    let version = state.version;
    if version <= cx.config_version() {
        return;
    }
    let now = cx.now();
    cx.lock_allowances().set_accounts(&state.distinct_accounts(), version);
    log::info!(version, routes = state.routes.values().map(Vec::len).sum::<usize>(), services = state.services.len(); "desired state in force");
    metrics::gauge!(telemetry::CONFIG_VERSION).set(version as f64);
    cx.in_force.store(Some(Arc::new(InForce { state, since: now })));
    cx.desired_state_changed.notify_waiters();
    cx.allowance_wanted.notify_one();
}
