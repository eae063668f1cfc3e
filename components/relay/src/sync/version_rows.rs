//! Background task for the rows in the store that keep which services have had several versions, so
//! that a router that starts does not take a mixture of versions for a single one.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use platform::{Commit, CommitOutcome, Key, PlatformError, Write};
use serde::{Deserialize, Serialize};
use types::Timestamp;

use super::backoff::Backoff;
use crate::{
    context::RelayContext,
    peers::{is_first_in_rank, own_rank_key},
};

/// Prefix of the keys of version rows.
const KEY_PREFIX: &str = "versions";

/// Interval at which a router checks for new versions.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a row is written again while its service has several versions.
const WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Versions that a service had at the same time, or shortly after each other.
#[derive(Debug, Serialize, Deserialize)]
struct VersionRow {
    /// Versions of the endpoints' software.
    versions: Vec<Arc<str>>,
    /// When the row was written, by the clock of the store, in milliseconds.
    written_at_ms: u64,
}

/// A row that this router has written.
struct WrittenRow {
    service: Arc<str>,
    versions: Vec<Arc<str>>,
    at: Timestamp,
}

/// Reads the stored history of versions, and keeps it up to date until the process ends.
pub(crate) async fn run_version_rows(cx: Arc<RelayContext>) {
    let mut backoff = Backoff::new("version rows");
    let mut written: Vec<WrittenRow> = Vec::new();
    loop {
        let is_read = cx.has_version_history.load(Ordering::Relaxed);
        let result =
            if is_read { write_rows(&cx, &mut written).await } else { read_rows(&cx).await };
        let delay = match result {
            Ok(()) => {
                backoff.record_success();
                CHECK_INTERVAL
            }
            Err(error) => backoff.record_failure(&error, &mut cx.lock_rng()),
        };
        tokio::time::sleep(delay).await;
    }
}

async fn read_rows(cx: &RelayContext) -> Result<(), PlatformError> {
    let rows = cx.table.scan(KEY_PREFIX, None).await?;
    let store_now = cx.table.store_time().map(|it| it.millis);
    for row in rows {
        let service = row.key.as_str().trim_start_matches(KEY_PREFIX).trim_start_matches('/');
        match row.decode::<VersionRow>() {
            Ok(it) => {
                let age_ms = store_now.map_or(0, |now| now.saturating_sub(it.written_at_ms));
                let age = Duration::from_millis(age_ms).saturating_sub(WRITE_INTERVAL);
                let now = cx.now();
                cx.lock_endpoints().add_stored_versions(&service.into(), &it.versions, age, now);
            }
            Err(error) => log::warn!("{error}"),
        }
    }
    cx.has_version_history.store(true, Ordering::Relaxed);
    Ok(())
}

/// Writes the rows of services with several versions that this router is the first for, when the
/// versions change and at intervals.
async fn write_rows(cx: &RelayContext, written: &mut Vec<WrittenRow>) -> Result<(), PlatformError> {
    let now = cx.now();
    let mixed = cx.lock_endpoints().mixed_services(now);
    written.retain(|it| now.since(it.at) < WRITE_INTERVAL);
    for (service, versions) in mixed {
        let is_due = !written.iter().any(|it| it.service == service && it.versions == versions);
        if !is_due || !is_first_in_rank(cx, own_rank_key(&service)) {
            continue;
        }
        let Some(store_time) = cx.table.store_time() else { continue };
        let age_ms = u64::try_from(store_time.age.as_millis()).unwrap_or(u64::MAX);
        let row = VersionRow {
            versions: versions.clone(),
            written_at_ms: store_time.millis.saturating_add(age_ms),
        };
        let key = Key::from_parts(&[KEY_PREFIX, &service]);
        let commit = Commit { preconditions: Vec::new(), writes: vec![Write::put(key, &row)] };
        match cx.table.commit(&commit).await {
            CommitOutcome::Committed(_) => written.push(WrittenRow { service, versions, at: now }),
            CommitOutcome::NotApplied(error) => return Err(error),
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown => {
                return Err(PlatformError::Unavailable);
            }
        }
    }
    Ok(())
}
