//! Background task that stores where streams began while their service has several versions. Routers
//! that start after the loss of all others let these streams go on.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use platform::{Commit, CommitOutcome, Key, PlatformError, Write};

use super::backoff::Backoff;
use crate::{context::RelayContext, origins::BegunStreamsRow};

/// Prefix of the keys of the rows.
const KEY_PREFIX: &str = "begun_streams";

/// Interval at which new streams are stored. Those of the last interval before a loss of all routers
/// are refused when their callers come back.
const WRITE_INTERVAL: Duration = Duration::from_millis(300);

/// Reads the rows of the processes before this one, then stores new streams until the process ends.
pub(crate) async fn run_begun_streams(cx: Arc<RelayContext>) {
    let mut backoff = Backoff::new("begun streams");
    loop {
        let is_read = cx.has_begun_streams.load(Ordering::Relaxed);
        let result = if is_read { store_streams(&cx).await } else { read_rows(&cx).await };
        let delay = match result {
            Ok(()) => {
                backoff.record_success();
                WRITE_INTERVAL
            }
            Err(error) => backoff.record_failure(&error, &mut cx.lock_rng()),
        };
        tokio::time::sleep(delay).await;
    }
}

fn own_key(cx: &RelayContext) -> Key {
    Key::from_parts(&[KEY_PREFIX, &cx.settings.name])
}

async fn read_rows(cx: &RelayContext) -> Result<(), PlatformError> {
    for row in cx.table.scan(KEY_PREFIX, None).await? {
        match row.decode::<BegunStreamsRow>() {
            Ok(it) => {
                let (now, is_own) = (cx.now(), row.key == own_key(cx));
                for record in it.records() {
                    cx.lock_origins().record(&record, now);
                    if is_own {
                        // This process replaces the row.
                        cx.lock_begun_streams().add(record.key, record.origin, now);
                    }
                }
            }
            Err(error) => log::warn!("{error}"),
        }
    }
    cx.has_begun_streams.store(true, Ordering::Relaxed);
    Ok(())
}

async fn store_streams(cx: &RelayContext) -> Result<(), PlatformError> {
    let Some(row) = cx.lock_begun_streams().take_row(cx.now()) else { return Ok(()) };
    let commit = Commit { preconditions: Vec::new(), writes: vec![Write::put(own_key(cx), &row)] };
    let error = match cx.table.commit(&commit).await {
        CommitOutcome::Committed(_) => return Ok(()),
        CommitOutcome::NotApplied(error) => error,
        CommitOutcome::Conflict(_) | CommitOutcome::Unknown => PlatformError::Unavailable,
    };
    cx.lock_begun_streams().keep_unstored();
    Err(error)
}
