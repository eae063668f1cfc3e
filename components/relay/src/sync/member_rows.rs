//! Rows by which routers find each other.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use platform::{Commit, CommitOutcome, Key, PlatformError, Write};
use serde::{Deserialize, Serialize};

use super::backoff::Backoff;
use crate::{
    context::RelayContext,
    peers::{Member, update_holders},
};

/// Start of the keys of all rows.
const KEY_PREFIX: &str = "routers";

/// Time between two reads; messages between routers tell the rest.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Time between the first reads of a process: routers that start together find each other's
/// new rows, without which news of one by another means nothing.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(300);

/// Number of these reads.
const FIRST_READS: u32 = 3;

/// A router's row.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRow {
    /// Process; drawn at its start.
    process: u64,
    /// Address for callers.
    caller_address: SocketAddr,
    /// Address for other routers.
    peer_address: SocketAddr,
    /// Failure domain.
    failure_domain: Arc<str>,
    /// Processor, in thousandths of a core.
    processor_millis: u32,
}

fn own_key(cx: &RelayContext) -> Key {
    Key::from_parts(&[KEY_PREFIX, &cx.settings.name])
}

/// Writes this router's row and reads the others' until the process ends.
pub(crate) async fn run_member_rows(cx: Arc<RelayContext>) {
    let mut backoff = Backoff::new("router rows");
    let mut is_written = false;
    let mut reads = 0;
    loop {
        let result = exchange(&cx, &mut is_written).await;
        let delay = match result {
            Ok(()) => {
                backoff.succeed();
                reads += 1;
                if reads <= FIRST_READS { FIRST_READ_INTERVAL } else { READ_INTERVAL }
            }
            Err(error) => backoff.fail(&error, &mut cx.lock_rng()),
        };
        tokio::time::sleep(delay).await;
    }
}

async fn exchange(cx: &RelayContext, is_written: &mut bool) -> Result<(), PlatformError> {
    if !*is_written {
        write_own(cx).await?;
        *is_written = true;
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
                cx.lock_roster().name(member, now);
            }
            Err(error) => log::warn!("{error}"),
        }
    }
    update_holders(cx);
    Ok(())
}

async fn write_own(cx: &RelayContext) -> Result<(), PlatformError> {
    let row = MemberRow {
        process: cx.process,
        caller_address: cx.settings.caller_address,
        peer_address: cx.settings.peer_address,
        failure_domain: cx.settings.failure_domain.clone(),
        processor_millis: cx.settings.processor_millis,
    };
    let commit = Commit { preconditions: Vec::new(), writes: vec![Write::put(own_key(cx), &row)] };
    match cx.table.commit(&commit).await {
        CommitOutcome::Committed(_) => Ok(()),
        CommitOutcome::NotApplied(error) => Err(error),
        CommitOutcome::Conflict(_) | CommitOutcome::Unknown => Err(PlatformError::Unavailable),
    }
}

/// Removes this router's row, before a planned end.
pub(crate) async fn remove_member_row(cx: &RelayContext) {
    let commit = Commit { preconditions: Vec::new(), writes: vec![Write::delete(own_key(cx))] };
    let outcome = cx.table.commit(&commit).await;
    if !matches!(outcome, CommitOutcome::Committed(_)) {
        log::info!("own row not removed: {outcome:?}");
    }
}
