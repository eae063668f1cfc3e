//! Keeps the desired state in force up to date.

use std::{sync::Arc, time::Duration};

use platform::PlatformError;

use super::backoff::Backoff;
use crate::{
    context::{InForce, RelayContext},
    model::DesiredState,
    ports::{Cursor, Feed},
};

/// Time for which a call waits for changes. A connection that went silent is found within
/// it, so that a change is in force within two seconds.
const FEED_WAIT: Duration = Duration::from_millis(1_000);

/// Follows the desired state until the process ends.
pub(crate) async fn watch_config(cx: Arc<RelayContext>) {
    let mut backoff = Backoff::new("desired state");
    let mut cursor: Option<Cursor> = None;
    loop {
        match follow(&cx, cursor).await {
            Ok(next) => {
                cursor = next;
                backoff.succeed();
            }
            Err(error) => {
                let delay = backoff.fail(&error, &mut cx.lock_rng());
                // A hint says that another router has learned of a change.
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    () = cx.config_hint.notified() => cursor = None,
                }
            }
        }
    }
}

/// Reads what is new after `cursor`, or all where there is none; returns the next cursor.
async fn follow(
    cx: &RelayContext,
    cursor: Option<Cursor>,
) -> Result<Option<Cursor>, PlatformError> {
    let Some(cursor) = cursor else {
        let (state, cursor) = cx.source.desired_state().await?;
        if let Some(state) = state {
            put_in_force(cx, state);
        }
        return Ok(Some(cursor));
    };
    let feed = tokio::select! {
        feed = cx.source.desired_state_after(cursor, FEED_WAIT) => feed?,
        // The feed may lag behind the rows.
        () = cx.config_hint.notified() => return Ok(None),
    };
    match feed {
        Feed::Changes(states, cursor) => {
            for state in states {
                put_in_force(cx, state);
            }
            Ok(Some(cursor))
        }
        Feed::HistoryLost => {
            log::info!("history of the desired state lost; reading it anew");
            Ok(None)
        }
    }
}

/// Puts a desired state in force unless a newer one is.
fn put_in_force(cx: &RelayContext, state: DesiredState) {
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
