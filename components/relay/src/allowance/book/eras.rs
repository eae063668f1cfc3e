//! What a router does when the store comes back from an older copy.

use std::{collections::BTreeSet, sync::Arc};

use platform::{Commit, CommitOutcome, Era, Precondition, Revision, Row, Write};
use types::Timestamp;

use super::{CommitInputs, RouterAllowances, commits::precondition, draws::DrawBook};
use crate::allowance::{
    recovery::{OLDER_COPY_MAX_AGE, RecoveryDecision, RecoveryReport, RecoveryRow},
    rows::AllowanceRow,
    witness::RouterProcess,
};

/// Maximum number of accounts' rows that one commit of a recovery writes.
const COMMIT_ACCOUNTS_MAX: usize = 40;

/// Era of the store that the rows of this router belong to, and what is known of former ones.
#[derive(Debug, Default)]
pub(super) struct EraState {
    /// Era that the store states; `None` if it states none.
    era: Option<Era>,
    /// The recovery row as last read or written, with its revision.
    row: Option<(RecoveryRow, Revision)>,
    /// What this process reports of the former era.
    report: RecoveryReport,
    /// What is known of draws in this era.
    pub(super) draws: DrawBook,
}

impl EraState {
    /// Returns whether commits on allowances are allowed: the store states no era, or the recovery of
    /// its era is complete.
    pub(super) fn is_open(&self) -> bool {
        self.era.is_none_or(|era| self.current_row(era).is_some_and(|(it, _)| it.is_complete))
    }

    fn current_row(&self, era: Era) -> Option<&(RecoveryRow, Revision)> {
        self.row.as_ref().filter(|(it, _)| it.era == era.0)
    }

    /// Returns the number to write into rows that are valid in this era only.
    pub(super) fn number(&self) -> Option<u64> {
        self.era.map(|it| it.0)
    }

    /// Returns the precondition without which no commit on allowances is made, so that it takes effect
    /// in this era only; `None` if the store states no era.
    pub(super) fn precondition(&self) -> Option<Precondition> {
        let (_, revision) = self.row.as_ref().filter(|_| self.era.is_some())?;
        Some(Precondition::Revision(RecoveryRow::key(), *revision))
    }

    /// Returns the revision of the recovery row as last read.
    pub(super) fn revision(&self) -> Option<Revision> {
        self.row.as_ref().map(|(_, revision)| *revision)
    }

    /// Returns whether a row was written in this era, as far as the store states eras.
    pub(super) fn is_current(&self, era: Option<u64>) -> bool {
        self.era.is_none_or(|it| era == Some(it.0))
    }
}

impl RouterAllowances {
    /// Records the era that the store states. `recent` are the other processes that were alive within
    /// the last seconds. If the store has come back from an older copy, all that was read from it is
    /// void, and no tokens are drawn before the recovery.
    pub fn observe_era(&mut self, era: Option<Era>, recent: &[RouterProcess], now: Timestamp) {
        let former = self.eras.era;
        if era.is_none() || era == former {
            return;
        }
        self.is_loaded = false;
        if former.is_none() {
            self.eras.era = era;
            return;
        }
        let was_open = self.eras.is_open();
        if was_open {
            // What was known before is part of this era's rows.
            self.eras.report = RecoveryReport::default();
        }
        let read_at = self.read_at.filter(|_| was_open);
        let state = &mut self.eras;
        state.report.has_history |= read_at.is_some();
        state.report.expected.extend(recent.iter().cloned());
        state.report.concluded.extend(state.draws.concluded().cloned());
        // Rows that were read earlier contain nothing that the copy lacks.
        let is_recent = read_at.is_some_and(|at| now.since(at) <= OLDER_COPY_MAX_AGE);
        let read = self.rows.iter().filter(|_| is_recent);
        let read = read.map(|(name, (row, _))| (name.clone(), row.clone()));
        for (name, row) in read.chain(state.draws.take_totals(now)) {
            let known = state.report.accounts.entry(name).or_default();
            *known = known.highest(&row);
        }
        state.era = era;
        let report = &state.report;
        let drawn: u64 = report.accounts.values().map(|it| it.drawn).sum();
        log::warn!(era = era.map_or(0, |it| it.0), former = former.map_or(0, |it| it.0), accounts = report.accounts.len(), drawn, expected = report.expected.len(), has_history = report.has_history; "the store has come back from an older copy");
        self.abandon_pending();
        self.holdings = None;
        for allowance in self.accounts.values_mut() {
            allowance.clear_ceilings();
        }
    }

    /// Returns the era that the rows of this router belong to; `None` if the store states none.
    pub fn era(&self) -> Option<Era> {
        self.eras.era
    }

    /// Returns whether no tokens are drawn because the store has come back from an older copy.
    pub fn is_recovering(&self) -> bool {
        !self.eras.is_open()
    }

    /// Applies the recovery row as it was read.
    pub fn apply_recovery_row(&mut self, rows: &[Row]) {
        let key = RecoveryRow::key();
        let was_open = self.eras.is_open();
        self.eras.row = rows.iter().find(|row| row.key == key).map(|row| {
            let decoded = row.decode::<RecoveryRow>();
            // A row that cannot be decoded counts as one of another era.
            let read = decoded.unwrap_or_else(|error| {
                log::error!("{error}");
                RecoveryRow { had_former_era: true, ..RecoveryRow::default() }
            });
            (read, row.revision)
        });
        if !was_open && self.eras.is_open() {
            self.end_recovery();
        }
    }

    fn end_recovery(&mut self) {
        let own = self.own_process();
        let Some((row, _)) = &self.eras.row else { return };
        let has_reported = row.reported.contains(&own);
        log::info!(era = row.era, reported = row.reported.len(), missing = row.missing().count(), has_history = row.has_history, has_reported; "tokens may be drawn in this era of the store");
        let report = std::mem::take(&mut self.eras.report);
        for it in self.eras.draws.take_unwitnessed() {
            // The report of this process contained the draw.
            if has_reported && report.has_history {
                self.credit_draw(&it);
            } else {
                log::warn!(account:% = it.account, tokens = it.tokens; "drawn tokens counted as spent: their draw may be unknown in this era of the store");
            }
        }
    }

    /// Returns the next commit of a recovery: this router's report, accounts' rows, or the end of the
    /// recovery. `None` if there is nothing to do but to wait. After its outcome the rows have to be
    /// read again.
    pub fn next_recovery_commit(&mut self, inputs: &CommitInputs) -> Option<Commit> {
        let era = self.eras.era.filter(|_| self.is_loaded && !self.eras.is_open())?;
        let now_ms = inputs.store_time.map(|it| it.millis);
        let own = self.own_process();
        let current = self.eras.current_row(era).map(|(row, _)| row.clone());
        let is_missing = current.is_none();
        let mut row = current.unwrap_or_else(|| {
            RecoveryRow::begin(era.0, self.eras.row.as_ref().map(|(row, _)| row), now_ms)
        });
        let must_report = self.eras.report.has_history && !row.reported.contains(&own);
        if is_missing || must_report {
            if must_report {
                row.add_report(own, &self.eras.report);
                log::info!(era = era.0, accounts = self.eras.report.accounts.len(), reported = row.reported.len(), had_former_era = row.had_former_era; "reporting what is known of the former era of the store");
            } else {
                log::info!(era = era.0, had_former_era = row.had_former_era; "no recovery row in this era of the store; writing one");
            }
            return Some(self.recovery_commit(&[], Some(&row)));
        }
        let decision = row.decide(now_ms);
        if decision == RecoveryDecision::Wait {
            return None;
        }
        let rows = self.rows_to_restore(&row, decision);
        if !rows.is_empty() {
            return Some(self.recovery_commit(&rows, None));
        }
        log::info!(era = era.0, decision:? = decision; "ending the recovery in this era of the store");
        row.is_complete = true;
        row.accounts.clear();
        Some(self.recovery_commit(&[], Some(&row)))
    }

    /// Returns the accounts' rows that have to be written, at most as many as one commit may write.
    fn rows_to_restore(
        &self,
        row: &RecoveryRow,
        decision: RecoveryDecision,
    ) -> Vec<(Arc<str>, AllowanceRow)> {
        let configured = self.accounts.keys().filter(|_| decision != RecoveryDecision::Restore);
        let names: BTreeSet<&Arc<str>> = row.accounts.keys().chain(configured).collect();
        let restored = names.into_iter().filter_map(|name| {
            let read = self.row(name);
            let mut wanted = read.highest(row.accounts.get(name).unwrap_or(&read));
            if decision == RecoveryDecision::CountAllAsDrawn {
                let limit = self.accounts.get(name).map_or(0, |it| it.limit());
                wanted.drawn = wanted.drawn.max(limit);
            }
            if wanted == read {
                return None;
            }
            log::warn!(account:% = name, drawn = wanted.drawn, read = read.drawn, decision:? = decision; "row of the account written again");
            Some((name.clone(), wanted))
        });
        restored.take(COMMIT_ACCOUNTS_MAX).collect()
    }

    fn recovery_commit(
        &self,
        accounts: &[(Arc<str>, AllowanceRow)],
        row: Option<&RecoveryRow>,
    ) -> Commit {
        let key = RecoveryRow::key();
        let revision = self.eras.row.as_ref().map(|(_, revision)| *revision);
        let mut commit = Commit::default();
        commit.preconditions.push(precondition(key.clone(), revision));
        commit.writes.extend(row.map(|row| Write::put(key, row)));
        for (name, row) in accounts {
            let key = AllowanceRow::key(name);
            let revision = self.rows.get(name).map(|(_, revision)| *revision);
            commit.preconditions.push(precondition(key.clone(), revision));
            commit.writes.push(Write::put(key, row));
        }
        commit
    }

    /// Handles the outcome of a commit of a recovery: whatever it is, the rows show what to do next.
    pub fn on_recovery_outcome(&mut self, outcome: &CommitOutcome) {
        log::info!(outcome:? = outcome; "recovery commit");
        self.is_loaded = false;
    }

    pub(super) fn own_process(&self) -> RouterProcess {
        RouterProcess { router: self.router.clone(), process: self.last_commit_id.process }
    }

    /// Ends the commit in progress without knowing its outcome: what it draws and returns counts as
    /// spent.
    fn abandon_pending(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        for (name, change, _) in &pending.changes {
            if let Some(allowance) = self.accounts.get_mut(name) {
                allowance.abandon_commit(change);
                log::warn!(account:% = name, commit = pending.holdings.mark.number, draw = change.draw, give_back = change.give_back; "commit abandoned: its outcome in the former era of the store is unknown");
            }
        }
    }

    /// Returns whether the rows are to be read again because other routers may have reported.
    pub(super) fn polls_recovery(&self, now: Timestamp) -> bool {
        !self.eras.is_open() && self.read_at.is_none_or(|at| now.since(at) >= super::RECOVERY_POLL)
    }
}
