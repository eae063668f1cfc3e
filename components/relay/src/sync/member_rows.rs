//! Background task for the rows in the store by which routers discover each other.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use platform::{Commit, CommitOutcome, Era, Key, PlatformError, Write};
use rand::Rng as _;
use serde::{Deserialize, Serialize};
use types::Timestamp;

use super::backoff::Backoff;
use crate::{
    context::RelayContext,
    peers::{Member, update_holders},
    room::RouterRoom,
};

/// Prefix of the keys of member rows.
const KEY_PREFIX: &str = "routers";

/// Interval between two reads; between reads, routers learn of changes from each other's messages.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between the first reads of a process, so that routers that start together find each
/// other's new rows. Until a router is known, reports about it from others are ignored.
const INITIAL_READ_INTERVAL: Duration = Duration::from_millis(300);

/// Number of reads at [`INITIAL_READ_INTERVAL`].
const INITIAL_READS: u32 = 3;

/// Mean time per router within which the routers of a fleet that restart together replace their rows,
/// so that they do not delay the commits that callers wait for.
const REPLACEMENT_TIME: Duration = Duration::from_millis(15);

/// The member row of a router: how callers and other routers reach it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct MemberRow {
    /// Random number of the process, chosen at its start.
    process: u64,
    /// Address for callers.
    caller_address: SocketAddr,
    /// Address for other routers.
    peer_address: SocketAddr,
    /// Failure domain of the router's host.
    failure_domain: Arc<str>,
    /// Processor capacity, in thousandths of a core.
    processor_millis: u32,
}

fn own_row_key(cx: &RelayContext) -> Key {
    Key::from_parts(&[KEY_PREFIX, &cx.settings.name])
}

/// Writes this router's member row once and reads those of the others until the process ends.
pub(crate) async fn run_member_rows(cx: Arc<RelayContext>) {
    let mut backoff = Backoff::new("router rows");
    // Era of the store in which the own row was written.
    let mut written_in = None;
    let mut write_at = None;
    let mut reads = 0;
    loop {
        let result = sync_rows(&cx, &mut written_in, &mut write_at).await;
        let delay = match result {
            Ok(()) => {
                backoff.record_success();
                reads += 1;
                let until_write = write_at.map_or(READ_INTERVAL, |at| at.since(cx.now()));
                if reads <= INITIAL_READS {
                    INITIAL_READ_INTERVAL
                } else {
                    until_write.clamp(INITIAL_READ_INTERVAL, READ_INTERVAL)
                }
            }
            Err(error) => backoff.record_failure(&error, &mut cx.lock_rng()),
        };
        tokio::time::sleep(delay).await;
    }
}

async fn sync_rows(
    cx: &RelayContext,
    written_in: &mut Option<Option<Era>>,
    write_at: &mut Option<Timestamp>,
) -> Result<(), PlatformError> {
    // A router that knows no other one draws tokens as if it were alone, so the read must not wait for
    // the write.
    let rows = cx.table.scan(KEY_PREFIX, None).await?;
    let now = cx.now();
    let (count, mut stored) = (rows.len(), None);
    for row in rows {
        let name = row.key.as_str().trim_start_matches(KEY_PREFIX).trim_start_matches('/');
        match row.decode::<MemberRow>() {
            Ok(it) if *name == *cx.settings.name => stored = Some(it),
            Ok(it) => {
                let member = Member {
                    name: Arc::from(name),
                    process: it.process,
                    caller_address: it.caller_address,
                    peer_address: it.peer_address,
                    failure_domain: it.failure_domain,
                    is_ready: true,
                    config_version: 0,
                    processor_millis: it.processor_millis,
                    arrivals_per_s: 0,
                    room: RouterRoom {
                        processor_millis: f64::from(it.processor_millis),
                        ..RouterRoom::default()
                    },
                };
                cx.lock_roster().add_listed(member, now);
            }
            Err(error) => log::warn!("{error}"),
        }
    }
    update_holders(cx);
    if *written_in == Some(cx.table.era()) {
        return Ok(());
    }
    let own = own_row(cx);
    // A row that differs in the process only leads other routers here all the same.
    let is_urgent = stored.is_none_or(|it| MemberRow { process: own.process, ..it } != own);
    let spread = REPLACEMENT_TIME * u32::try_from(2 * count).unwrap_or(u32::MAX);
    let at = *write_at.get_or_insert_with(|| now + spread.mul_f64(cx.lock_rng().random()));
    if is_urgent || now >= at {
        write_own_row(cx, &own).await?;
        (*written_in, *write_at) = (Some(cx.table.era()), None);
    }
    Ok(())
}

fn own_row(cx: &RelayContext) -> MemberRow {
    MemberRow {
        process: cx.process,
        caller_address: cx.settings.caller_address,
        peer_address: cx.settings.peer_address,
        failure_domain: cx.settings.failure_domain.clone(),
        processor_millis: cx.settings.processor_millis,
    }
}

async fn write_own_row(cx: &RelayContext, row: &MemberRow) -> Result<(), PlatformError> {
    let commit =
        Commit { preconditions: Vec::new(), writes: vec![Write::put(own_row_key(cx), row)] };
    match cx.table.commit(&commit).await {
        CommitOutcome::Committed(_) => Ok(()),
        CommitOutcome::NotApplied(error) => Err(error),
        CommitOutcome::Conflict(_) | CommitOutcome::Unknown => Err(PlatformError::Unavailable),
    }
}

/// Removes this router's member row during a planned shutdown.
pub(crate) async fn remove_member_row(cx: &RelayContext) {
    let commit = Commit { preconditions: Vec::new(), writes: vec![Write::delete(own_row_key(cx))] };
    let outcome = cx.table.commit(&commit).await;
    if !matches!(outcome, CommitOutcome::Committed(_)) {
        log::info!("failed to remove the member row of this router: {outcome:?}");
    }
}
