//! Background task that names the versions of the endpoints' software in the store before streams
//! begin at them.

use std::{sync::Arc, time::Duration};

use platform::{Commit, CommitOutcome, Era, Key, PlatformError, Precondition, Revision, Write};
use types::Timestamp;
use utils::{HashMap, jitter};

use super::backoff::Backoff;
use crate::{
    context::RelayContext,
    origins::{NamedVersionsRow, REFRESH_INTERVAL},
    peers::{is_first_in_rank, own_rank_key},
};

/// Prefix of the keys of the rows.
const KEY_PREFIX: &str = "named_versions";

/// Interval at which a router checks for versions that are not named.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Mean time that a router gives the first one in rank to name a version.
const TURN_TIME: Duration = Duration::from_millis(150);

/// Number of times that a router waits for `TURN_TIME` before it names a version itself.
const TURNS_MAX: u32 = 2;

/// What this router knows of the rows.
#[derive(Default)]
struct KnownRows {
    /// Rows by service, each with its revision.
    rows: HashMap<Arc<str>, (NamedVersionsRow, Revision)>,
    /// Era of the store in which they were read.
    era: Option<Era>,
    /// Whether they were read since the start, the last change of the era and the last conflict.
    is_read: bool,
    /// Number of times that this router has waited for another one to name a version.
    turns: u32,
    /// When this router last wrote each row again.
    refreshed: HashMap<Arc<str>, Timestamp>,
}

/// Names versions as endpoints of them appear, until the process ends.
pub(crate) async fn run_named_versions(cx: Arc<RelayContext>) {
    let mut backoff = Backoff::new("named versions");
    let mut known = KnownRows::default();
    loop {
        let delay = match synchronize(&cx, &mut known).await {
            Ok(delay) => {
                backoff.record_success();
                delay
            }
            Err(error) => {
                known.is_read = false;
                backoff.record_failure(&error, &mut cx.lock_rng())
            }
        };
        if delay == CHECK_INTERVAL {
            let wanted = cx.version_names_wanted.notified();
            // A timeout is the usual case.
            let _ = tokio::time::timeout(delay, wanted).await;
        } else {
            tokio::time::sleep(delay).await;
        }
    }
}

/// Reads the rows if needed, and writes those that are due. Returns when to do so again.
async fn synchronize(
    cx: &Arc<RelayContext>,
    known: &mut KnownRows,
) -> Result<Duration, PlatformError> {
    // A store that has come back from an older copy may lack some of the names.
    let needs_names = cx.lock_endpoints().needs_names();
    if !known.is_read || needs_names || known.era != cx.table.era() {
        read_rows(cx, known).await?;
    }
    let services = services_in_force(cx);
    let is_named = |service: &Arc<str>, versions: &[Arc<str>]| {
        known.rows.get(service).is_some_and(|(row, _)| row.names(versions))
    };
    let unnamed: Vec<_> = services.iter().filter(|it| !is_named(&it.0, &it.1)).collect();
    if unnamed.is_empty() {
        known.turns = 0;
        refresh_rows(cx, known, &services).await?;
        return Ok(CHECK_INTERVAL);
    }
    let knows_others = !cx.lock_roster().is_empty();
    let mut result = Ok(());
    for (service, versions) in unnamed {
        let is_first = knows_others && is_first_in_rank(cx, own_rank_key(service));
        if is_first || known.turns >= TURNS_MAX {
            // A row that the store does not accept must not keep the other services' versions unnamed.
            result = write_row(cx, known, service, versions).await.and(result);
        }
    }
    known.turns += 1;
    known.is_read = false;
    result.map(|()| jitter(TURN_TIME, &mut cx.lock_rng()))
}

/// Returns the versions of the endpoints of each service in the desired state. Entries of other services are
/// ignored, as other writers may have left them.
fn services_in_force(cx: &RelayContext) -> Vec<(Arc<str>, Vec<Arc<str>>)> {
    let Some(in_force) = cx.in_force.load_full() else { return Vec::new() };
    let mut services = cx.lock_endpoints().present_versions();
    services.retain(|(name, _)| in_force.state.has_service(name));
    services
}

async fn read_rows(cx: &Arc<RelayContext>, known: &mut KnownRows) -> Result<(), PlatformError> {
    let (era, began_at) = (cx.table.era(), cx.boot_now());
    let found = cx.table.scan(KEY_PREFIX, None).await?;
    let now_ms = store_millis(cx);
    known.rows.clear();
    for row in found {
        let service = row.key.as_str().trim_start_matches(KEY_PREFIX).trim_start_matches('/');
        match row.decode::<NamedVersionsRow>() {
            Ok(it) => {
                let service: Arc<str> = service.into();
                apply_row(cx, &service, &it, now_ms);
                known.rows.insert(service, (it, row.revision));
            }
            Err(error) => log::warn!("{error}"),
        }
    }
    (known.era, known.is_read) = (era, true);
    cx.lock_endpoints().record_names_read(began_at);
    cx.versions_read.notify_waiters();
    Ok(())
}

/// Writes the rows that name several versions again, if this router is the first in rank for them.
async fn refresh_rows(
    cx: &Arc<RelayContext>,
    known: &mut KnownRows,
    services: &[(Arc<str>, Vec<Arc<str>>)],
) -> Result<(), PlatformError> {
    for (service, versions) in services {
        let names_several = known.rows.get(service).is_some_and(|(row, _)| row.versions.len() > 1);
        let refreshed_at = known.refreshed.get(service);
        let is_due = refreshed_at.is_none_or(|at| cx.now().since(*at) >= REFRESH_INTERVAL);
        if names_several && is_due && is_first_in_rank(cx, own_rank_key(service)) {
            write_row(cx, known, service, versions).await?;
        }
    }
    Ok(())
}

/// Adds the versions that endpoints have to the row of a service.
async fn write_row(
    cx: &Arc<RelayContext>,
    known: &mut KnownRows,
    service: &Arc<str>,
    present: &[Arc<str>],
) -> Result<(), PlatformError> {
    let stored = known.rows.get(service);
    let now_ms = store_millis(cx);
    let row = stored.map(|it| it.0.clone()).unwrap_or_default().updated(present, now_ms);
    let key = Key::from_parts(&[KEY_PREFIX, service]);
    let precondition = match stored {
        Some((_, revision)) => Precondition::Revision(key.clone(), *revision),
        None => Precondition::Absent(key.clone()),
    };
    let commit = Commit { preconditions: vec![precondition], writes: vec![Write::put(key, &row)] };
    match cx.table.commit(&commit).await {
        CommitOutcome::Committed(revision) => {
            log::info!(service:% = service, versions:? = row.versions.keys(); "versions named");
            apply_row(cx, service, &row, now_ms);
            known.rows.insert(service.clone(), (row, revision));
            known.refreshed.insert(service.clone(), cx.now());
            Ok(())
        }
        CommitOutcome::Conflict(_) => {
            known.is_read = false;
            Ok(())
        }
        CommitOutcome::NotApplied(error) => Err(error),
        CommitOutcome::Unknown => Err(PlatformError::Unavailable),
    }
}

/// Lets streams begin at the versions that a row names, as soon as each may be used.
fn apply_row(cx: &Arc<RelayContext>, service: &Arc<str>, row: &NamedVersionsRow, now_ms: u64) {
    let now = cx.now();
    let versions = row.versions.keys();
    let waits: Vec<(Arc<str>, Duration)> =
        versions.map(|it| (it.clone(), row.time_until_use(it, now_ms))).collect();
    let longest = waits.iter().map(|it| it.1).max().unwrap_or_default();
    let mut endpoints = cx.lock_endpoints();
    endpoints.add_stored_versions(service, &row.in_memory(now_ms), Duration::ZERO, now);
    endpoints.set_named_versions(service, waits.into_iter().map(|(it, wait)| (it, now + wait)));
    drop(endpoints);
    wake_waiting(cx);
    if !longest.is_zero() {
        let cx = cx.clone();
        tokio::spawn(async move {
            tokio::time::sleep(longest).await;
            wake_waiting(&cx);
        });
    }
}

fn wake_waiting(cx: &RelayContext) {
    cx.capacity_freed.notify_waiters();
    cx.wake_all_waiting();
}

/// Returns the time of the store, in milliseconds, or a time before it.
fn store_millis(cx: &RelayContext) -> u64 {
    let time = cx.table.store_time();
    time.map_or(0, |it| {
        let age_ms = u64::try_from(it.age.as_millis()).unwrap_or(u64::MAX);
        it.millis.saturating_add(age_ms)
    })
}
