//! Background task for the rows in the store that keep verdicts on content that crashes endpoints, so
//! that they outlive all routers that know them.

use std::{sync::Arc, time::Duration};

use platform::{Commit, CommitOutcome, Key, PlatformError, Write};
use routing::{ContentItem, ContentKey, CrashId, CrashSighting, EvidenceReport};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::backoff::Backoff;
use crate::{context::RelayContext, peers::apply_verdict_changes};

/// Prefix of the keys of verdict rows.
const KEY_PREFIX: &str = "verdicts";

/// Maximum number of verdicts written in one commit.
const COMMIT_ROWS_MAX: usize = 32;

/// A verdict with the evidence for it.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
struct VerdictRow {
    key: u64,
    depth: u16,
    part: u64,
    account: u64,
    /// Crashes, each with its time before the row was written.
    #[serde_as(as = "Vec<(_, DurationMilliSeconds<u64>)>")]
    crashes: Vec<(u64, Duration)>,
    survivals: u32,
    trials: u32,
}

impl VerdictRow {
    fn new(report: &EvidenceReport) -> VerdictRow {
        VerdictRow {
            key: report.item.key.0,
            depth: report.item.depth,
            part: report.item.part,
            account: report.account,
            crashes: report.crashes.iter().map(|it| (it.crash.0, it.age)).collect(),
            survivals: report.survivals,
            trials: report.trials,
        }
    }

    fn to_report(&self) -> EvidenceReport {
        let crashes = self.crashes.iter();
        EvidenceReport {
            item: ContentItem { key: ContentKey(self.key), depth: self.depth, part: self.part },
            account: self.account,
            crashes: crashes
                .map(|(crash, age)| CrashSighting { crash: CrashId(*crash), age: *age })
                .collect(),
            survivals: self.survivals,
            trials: self.trials,
            tested_age: Duration::ZERO,
        }
    }
}

/// Reads the stored verdicts once, and stores or removes them as they change, until the process
/// ends.
pub(crate) async fn run_verdict_rows(cx: Arc<RelayContext>) {
    let mut backoff = Backoff::new("verdict rows");
    let mut is_read = false;
    loop {
        let result = if is_read { store_changes(&cx).await } else { read_verdicts(&cx).await };
        match result {
            Ok(()) => {
                backoff.record_success();
                if is_read {
                    cx.verdicts_changed.notified().await;
                }
                is_read = true;
            }
            Err(error) => {
                let delay = backoff.record_failure(&error, &mut cx.lock_rng());
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Stores all verdicts again, since the store has come back from an older copy.
pub(super) fn store_verdicts_again(cx: &RelayContext) {
    let condemned: Vec<ContentKey> = cx.lock_crash_evidence().condemned().collect();
    cx.lock_unstored_verdicts().extend(condemned);
    cx.verdicts_changed.notify_one();
}

async fn read_verdicts(cx: &RelayContext) -> Result<(), PlatformError> {
    let rows = cx.table.scan(KEY_PREFIX, None).await?;
    let mut reports = Vec::new();
    for row in rows {
        match row.decode::<VerdictRow>() {
            Ok(it) => reports.push(it.to_report()),
            Err(error) => log::warn!("{error}"),
        }
    }
    let changes = cx.lock_crash_evidence().merge(&reports, cx.now());
    apply_verdict_changes(cx, &changes, false);
    Ok(())
}

async fn store_changes(cx: &RelayContext) -> Result<(), PlatformError> {
    loop {
        let mut keys: Vec<ContentKey> = cx.lock_unstored_verdicts().drain().collect();
        if keys.is_empty() {
            return Ok(());
        }
        cx.lock_unstored_verdicts().extend(keys.drain(keys.len().min(COMMIT_ROWS_MAX)..));
        let writes = keys.iter().map(|key| write_of(cx, *key)).collect();
        let outcome = cx.table.commit(&Commit { preconditions: Vec::new(), writes }).await;
        if !matches!(outcome, CommitOutcome::Committed(_)) {
            cx.lock_unstored_verdicts().extend(keys);
        }
        match outcome {
            CommitOutcome::Committed(_) => {}
            CommitOutcome::NotApplied(error) => return Err(error),
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown => {
                return Err(PlatformError::Unavailable);
            }
        }
    }
}

/// Returns the write for the current verdict on a key: its row, or the removal of the row.
fn write_of(cx: &RelayContext, key: ContentKey) -> Write {
    let row_key = Key::from_parts(&[KEY_PREFIX, &key.to_string()]);
    let evidence = cx.lock_crash_evidence();
    let is_condemned = evidence.condemned().any(|it| it == key);
    match evidence.report(key, cx.now()).filter(|_| is_condemned) {
        Some(report) => Write::put(row_key, &VerdictRow::new(&report)),
        None => Write::delete(row_key),
    }
}
