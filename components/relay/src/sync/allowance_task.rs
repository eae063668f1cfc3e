//! Background task that draws prepaid tokens from the store and returns them.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use platform::{CommitOutcome, PlatformError};
use utils::jitter;

use super::{backoff::Backoff, verdict_rows::store_verdicts_again};
use crate::{
    allowance::{
        ACCOUNT_PREFIX, CommitInputs, HOLDINGS_PREFIX, OLDER_COPY_MAX_AGE, RECOVERY_PREFIX, Stage,
    },
    context::RelayContext,
    peers::{announce_draws, serve_deferred_loans},
};

/// Mean interval between checks whether tokens are to be drawn or returned.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Mean pause before the next commit after a conflict. It limits the commits that requests waiting
/// for tokens cause.
const COMMIT_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two attempts to return all tokens at shutdown.
const RETURN_PAUSE: Duration = Duration::from_millis(60);

/// Draws and returns tokens as needed until the process ends.
pub(crate) async fn run_allowances(cx: Arc<RelayContext>) {
    let mut backoff = Backoff::new("allowance rows");
    loop {
        let stage =
            if cx.is_leaving.load(Ordering::Relaxed) { Stage::Leaving } else { Stage::Serving };
        let result = read_and_commit(&cx, stage).await;
        cx.lock_allowances().set_store_available(result.is_ok());
        match result {
            Ok(true) => {
                backoff.record_success();
                let pause = jitter(COMMIT_PAUSE, &mut cx.lock_rng());
                tokio::time::sleep(pause).await;
            }
            Ok(false) => {
                backoff.record_success();
                let pause = jitter(CHECK_INTERVAL, &mut cx.lock_rng());
                tokio::select! {
                    () = tokio::time::sleep(pause) => {}
                    () = cx.allowance_wanted.notified() => {}
                }
            }
            Err(error) => {
                let delay = backoff.record_failure(&error, &mut cx.lock_rng());
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Reads the rows if a read is due, then makes a commit if one is due. Returns `true` after a
/// conflict, so that the next call follows without waiting for the check interval.
async fn read_and_commit(cx: &RelayContext, stage: Stage) -> Result<bool, PlatformError> {
    if cx.in_force.load().is_none() {
        return Ok(false);
    }
    observe_era(cx);
    if cx.lock_allowances().must_read_rows(cx.now()) && !read_rows(cx).await? {
        return Ok(true);
    }
    if stage == Stage::Ended {
        cx.lock_allowances().release_all_draws();
    }
    let inputs = CommitInputs {
        routers: cx.lock_roster().count(),
        stage,
        store_time: cx.table.store_time(),
        now: cx.now(),
    };
    let recovery = cx.lock_allowances().next_recovery_commit(&inputs);
    if let Some(commit) = recovery {
        let outcome = cx.table.commit(&commit).await;
        cx.lock_allowances().on_recovery_outcome(&outcome);
        return match outcome {
            CommitOutcome::NotApplied(error) => Err(error),
            CommitOutcome::Unknown => Err(PlatformError::Unavailable),
            CommitOutcome::Committed(_) | CommitOutcome::Conflict(_) => Ok(true),
        };
    }
    let is_resent = cx.lock_allowances().has_pending();
    let commit = cx.lock_allowances().next_commit(&inputs);
    let Some(commit) = commit else { return Ok(false) };
    let outcome = cx.table.commit(&commit).await;
    if commit.writes.len() > 1 || !matches!(outcome, CommitOutcome::Committed(_)) {
        let number = cx.lock_allowances().last_commit_number();
        log::info!(commit = number, rows = commit.writes.len(), resent = is_resent, outcome:? = outcome; "allowance commit");
    }
    observe_era(cx);
    cx.lock_allowances().on_outcome(&outcome, is_resent, cx.now());
    announce_draws(cx).await;
    cx.allowance_changed.notify_waiters();
    serve_deferred_loans(cx).await;
    match outcome {
        CommitOutcome::Committed(_) => Ok(false),
        CommitOutcome::Conflict(_) => Ok(true),
        CommitOutcome::NotApplied(error) => Err(error),
        CommitOutcome::Unknown => Err(PlatformError::Unavailable),
    }
}

/// Reads all rows. Returns false if the era of the store changed meanwhile, so that they have to be read
/// again.
async fn read_rows(cx: &RelayContext) -> Result<bool, PlatformError> {
    let era = cx.table.era();
    // Read first: if it says that a recovery is complete, the accounts' rows are as recovered.
    let recovery =
        if era.is_some() { cx.table.scan(RECOVERY_PREFIX, None).await? } else { Vec::new() };
    let accounts = cx.table.scan(ACCOUNT_PREFIX, None).await?;
    let holdings = cx.table.scan(HOLDINGS_PREFIX, None).await?;
    if cx.table.era() != era {
        return Ok(false);
    }
    let mut allowances = cx.lock_allowances();
    allowances.apply_recovery_row(&recovery);
    allowances.apply_rows(&accounts, &holdings, cx.now());
    Ok(true)
}

/// Lets the allowances know of the era that the store states.
fn observe_era(cx: &RelayContext) {
    let era = cx.table.era();
    if cx.lock_allowances().era() != era {
        let recent = cx.lock_roster().recent_processes(OLDER_COPY_MAX_AGE, cx.now());
        let is_known = cx.lock_allowances().era().is_some();
        cx.lock_allowances().observe_era(era, &recent, cx.now());
        if is_known {
            metrics::counter!(telemetry::STORE_ERA_CHANGES_TOTAL).increment(1);
            store_verdicts_again(cx);
        }
    }
}

/// Returns this router's remaining tokens after its last request; retries until the store has
/// accepted them.
pub(crate) async fn return_allowances(cx: &RelayContext) {
    loop {
        match read_and_commit(cx, Stage::Ended).await {
            Ok(false) if !cx.lock_allowances().has_pending() => return,
            Ok(_) => {}
            Err(error) => log::info!("failed to return tokens; retrying: {error}"),
        }
        tokio::time::sleep(RETURN_PAUSE).await;
    }
}
