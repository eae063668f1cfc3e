//! Background task for the rows in the store by which routers discover each other.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use platform::{Commit, CommitOutcome, Era, Key, PlatformError, Write};
use serde::{Deserialize, Serialize};

use super::backoff::Backoff;
use crate::{
    context::RelayContext,
    peers::{Member, update_holders},
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

/// The member row of a router: how callers and other routers reach it.
#[derive(Debug, Serialize, Deserialize)]
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
    let mut reads = 0;
    loop {
        let result = sync_rows(&cx, &mut written_in).await;
        let delay = match result {
            Ok(()) => {
                backoff.record_success();
                reads += 1;
                if reads <= INITIAL_READS { INITIAL_READ_INTERVAL } else { READ_INTERVAL }
            }
            Err(error) => backoff.record_failure(&error, &mut cx.lock_rng()),
        };
        tokio::time::sleep(delay).await;
    }
}

async fn sync_rows(
    cx: &RelayContext,
    written_in: &mut Option<Option<Era>>,
) -> Result<(), PlatformError> {
    if *written_in != Some(cx.table.era()) {
        write_own_row(cx).await?;
        *written_in = Some(cx.table.era());
    }
    let rows = cx.table.scan(KEY_PREFIX, None).await?;
    let now = cx.now();
    for row in rows {
        let name = row.key.as_str().trim_start_matches(KEY_PREFIX).trim_start_matches('/');
        if *name == *cx.settings.name {
            continue;
        }
        match row.decode::<MemberRow>() {
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
                };
                cx.lock_roster().add_listed(member, now);
            }
            Err(error) => log::warn!("{error}"),
        }
    }
    update_holders(cx);
    Ok(())
}

async fn write_own_row(cx: &RelayContext) -> Result<(), PlatformError> {
    let row = MemberRow {
        process: cx.process,
        caller_address: cx.settings.caller_address,
        peer_address: cx.settings.peer_address,
        failure_domain: cx.settings.failure_domain.clone(),
        processor_millis: cx.settings.processor_millis,
    };
    let commit =
        Commit { preconditions: Vec::new(), writes: vec![Write::put(own_row_key(cx), &row)] };
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
