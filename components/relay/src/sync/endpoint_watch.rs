//! Background task that follows the list of endpoints in the store.

use std::{sync::Arc, time::Duration};

use platform::{Era, PlatformError};
use types::Timestamp;

use super::backoff::Backoff;
use crate::{
    context::RelayContext,
    ports::{Cursor, Feed},
};

/// Interval between two reads. An endpoint that is leaving must get no new requests two seconds
/// later. Entries change so often that a call that waits for changes would return at once.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between two reads while callers wait for the list.
const WANTED_READ_INTERVAL: Duration = Duration::from_millis(150);

/// Applies changes of the list of endpoints until the process ends.
pub(crate) async fn watch_endpoints(cx: Arc<RelayContext>) {
    let mut backoff = Backoff::new("endpoint list");
    let mut cursor: Option<Cursor> = None;
    let mut era = None;
    loop {
        let began_at = cx.boot_now();
        let result = read_changes(&cx, cursor, &mut era).await;
        let now = cx.now();
        cx.lock_endpoints().record_store_contact(result.is_ok(), now);
        let delay = match result {
            Ok(next) => {
                cursor = next;
                backoff.record_success();
                if next.is_some() {
                    record_list_read(&cx, began_at);
                    wait_for_next_read(&cx).await;
                }
                Duration::ZERO
            }
            Err(error) => backoff.record_failure(&error, &mut cx.lock_rng()),
        };
        tokio::time::sleep(delay).await;
    }
}

fn record_list_read(cx: &RelayContext, began_at: Timestamp) {
    let mut endpoints = cx.lock_endpoints();
    endpoints.record_list_read(began_at);
    if endpoints.has_unnamed_versions() || endpoints.needs_names() {
        cx.version_names_wanted.notify_one();
    }
    drop(endpoints);
    cx.versions_read.notify_waiters();
}

/// Waits for the usual interval, or less if a caller waits for the list.
async fn wait_for_next_read(cx: &RelayContext) {
    tokio::time::sleep(WANTED_READ_INTERVAL).await;
    let rest = READ_INTERVAL.saturating_sub(WANTED_READ_INTERVAL);
    // A timeout is the usual case.
    let _ = tokio::time::timeout(rest, cx.list_wanted.notified()).await;
}

async fn read_changes(
    cx: &RelayContext,
    cursor: Option<Cursor>,
    era: &mut Option<Era>,
) -> Result<Option<Cursor>, PlatformError> {
    let Some(cursor) = cursor else {
        let (entries, cursor) = cx.source.endpoints().await?;
        let now = cx.now();
        let mut endpoints = cx.lock_endpoints();
        endpoints.record_store_contact(true, now);
        if era.is_some() && *era != cursor.era {
            endpoints.record_older_copy(now);
        }
        *era = cursor.era;
        endpoints.apply_list(entries, now);
        drop(endpoints);
        cx.capacity_freed.notify_waiters();
        cx.wake_all_waiting();
        return Ok(Some(cursor));
    };
    match cx.source.endpoints_after(cursor).await? {
        Feed::Changes(changes, cursor) => {
            let now = cx.now();
            let mut endpoints = cx.lock_endpoints();
            endpoints.record_store_contact(true, now);
            for change in changes {
                endpoints.apply_change(change, now);
            }
            drop(endpoints);
            cx.wake_all_waiting();
            Ok(Some(cursor))
        }
        Feed::HistoryLost => {
            log::info!(
                "the feed of the endpoint list has dropped changes; reading the whole list again"
            );
            Ok(None)
        }
    }
}
