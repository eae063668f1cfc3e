//! Decides when tokens may be drawn again after the store has come back from an older copy.
//!
//! Such a store has lost the last writes that it had acknowledged, draws of tokens among them, and
//! states another era from then on. The routers report in one row, the recovery row, what they know
//! of the accounts' rows of the former era. Once enough of them have reported, the accounts' rows
//! are written again, and the row is marked as complete. All commits on allowances depend on the
//! row, so that no commit of the former era takes effect after the first report.
//!
//! Tokens that a router draws are usable once other routers know of the draw, so that the draw is
//! known as long as one of them has not ended.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use platform::Key;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use super::{rows::AllowanceRow, witness::RouterProcess};

/// Prefix of the key of the recovery row.
pub const RECOVERY_PREFIX: &str = "recovery";

/// Longest time whose writes are missing when the store comes back from an older copy, with a margin.
pub const OLDER_COPY_MAX_AGE: Duration = Duration::from_secs(12);

/// Number of processes that may be missing without a usable draw being unknown: a draw is known to its
/// process and at least one other.
const MISSING_MAX: usize = 1;

/// Time from the first report after which missing processes are no longer waited for. Longer than
/// routers are usually suspended or cut off.
const REPORT_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for which a router that finds no recovery row waits for reports of routers that know of a
/// former era.
const FIRST_ERA_WAIT: Duration = Duration::from_millis(1_500);

/// The recovery row.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryRow {
    /// Era of the store in which the row was written.
    pub era: u64,
    /// Whether tokens may be drawn in this era.
    pub is_complete: bool,
    /// Latest store time that the writer of the first report knew, in milliseconds.
    pub began_at_ms: Option<u64>,
    /// Whether a process that had read the accounts' rows in the former era has reported.
    pub has_history: bool,
    /// Whether there was a recovery row of another era.
    pub had_former_era: bool,
    /// Processes that have reported.
    #[serde_as(as = "BTreeSet<DisplayFromStr>")]
    pub reported: BTreeSet<RouterProcess>,
    /// Processes that may have drawn tokens shortly before the end of the former era.
    #[serde_as(as = "BTreeSet<DisplayFromStr>")]
    pub expected: BTreeSet<RouterProcess>,
    /// Processes that have ended after they told of their draws.
    #[serde_as(as = "BTreeSet<DisplayFromStr>")]
    #[serde(default)]
    pub concluded: BTreeSet<RouterProcess>,
    /// The highest totals that are known of the accounts' rows.
    pub accounts: BTreeMap<Arc<str>, AllowanceRow>,
}

/// What one process knows of the former era.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Whether it had read the accounts' rows in the former era.
    pub has_history: bool,
    /// Other processes that may have drawn tokens shortly before its end.
    pub expected: BTreeSet<RouterProcess>,
    /// Processes that have ended after they told this one of their draws.
    pub concluded: BTreeSet<RouterProcess>,
    /// The highest totals that it knows of the accounts' rows.
    pub accounts: BTreeMap<Arc<str>, AllowanceRow>,
}

/// How a recovery goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryDecision {
    /// Processes that may know of other draws have not reported.
    Wait,
    /// The reported totals contain all draws.
    Restore,
    /// Draws may be unknown, so all tokens count as drawn.
    CountAllAsDrawn,
}

impl RecoveryRow {
    /// Returns the key of the recovery row.
    pub fn key() -> Key {
        Key::from_parts(&[RECOVERY_PREFIX, "allowances"])
    }

    /// Creates the row of an era without reports. `former` is the row of the former era, if any; if
    /// its recovery was not completed, its reports are kept.
    pub fn begin(era: u64, former: Option<&RecoveryRow>, now_ms: Option<u64>) -> RecoveryRow {
        let accounts = former.filter(|it| !it.is_complete).map(|it| it.accounts.clone());
        RecoveryRow {
            era,
            began_at_ms: now_ms,
            had_former_era: former.is_some(),
            accounts: accounts.unwrap_or_default(),
            ..RecoveryRow::default()
        }
    }

    /// Adds the report of a process.
    pub fn add_report(&mut self, reporter: RouterProcess, report: &RecoveryReport) {
        self.has_history |= report.has_history;
        self.expected.extend(report.expected.iter().cloned());
        self.concluded.extend(report.concluded.iter().cloned());
        self.reported.insert(reporter);
        for (name, known) in &report.accounts {
            let total = self.accounts.entry(name.clone()).or_default();
            *total = total.highest(known);
        }
    }

    /// Returns the processes that have not reported but may know of draws.
    pub fn missing(&self) -> impl Iterator<Item = &RouterProcess> {
        self.expected.difference(&self.reported).filter(|it| !self.concluded.contains(it))
    }

    /// Decides how the recovery goes on at the store time `now_ms`.
    pub fn decide(&self, now_ms: Option<u64>) -> RecoveryDecision {
        let elapsed = now_ms.zip(self.began_at_ms).map(|(now, began)| now.saturating_sub(began));
        let has_elapsed =
            |time: Duration| elapsed.is_some_and(|it| u128::from(it) >= time.as_millis());
        if self.has_history && self.missing().count() <= MISSING_MAX {
            RecoveryDecision::Restore
        } else if !self.has_history && !self.had_former_era {
            if has_elapsed(FIRST_ERA_WAIT) {
                RecoveryDecision::Restore
            } else {
                RecoveryDecision::Wait
            }
        } else if has_elapsed(REPORT_TIMEOUT) {
            RecoveryDecision::CountAllAsDrawn
        } else {
            RecoveryDecision::Wait
        }
    }
}
