//! Takeover of the tokens that the previous process of this router held.

use std::{sync::Arc, time::Duration};

use types::Timestamp;

use super::{CommitInputs, RouterAllowances};
use crate::allowance::{
    ceiling::CEILING_VALIDITY,
    rows::{CommitId, HoldingsRow},
    witness::{RouterProcess, WitnessStatement},
};

/// Longest time for which a new process waits for the statements of the previous process's
/// witnesses.
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What is known of the tokens that the previous process held, from one of its rows. A commit of that
/// process that was in progress when it ended may still replace the row, and the tokens are then
/// determined anew: the commit may have returned some of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Takeover {
    /// No row was examined yet.
    Unknown,
    /// The witnesses that the row names were asked.
    Awaiting {
        /// Commit that wrote the row.
        row: CommitId,
        /// Witnesses that have not answered.
        unanswered: Vec<RouterProcess>,
        /// Number of statements that are still needed.
        needed: usize,
        /// Tokens that are certainly unspent according to its row and the statements so far.
        kept: Vec<(Arc<str>, u64)>,
        /// When the witnesses were asked.
        since: Timestamp,
    },
    /// Some tokens are certainly unspent.
    Settled {
        /// Commit that wrote the row.
        row: CommitId,
        /// These tokens, by account.
        kept: Vec<(Arc<str>, u64)>,
    },
}

impl Takeover {
    /// Returns whether this is what is known from the row that `mark` wrote.
    fn is_about(&self, mark: CommitId) -> bool {
        match self {
            Takeover::Unknown => false,
            Takeover::Awaiting { row, .. } | Takeover::Settled { row, .. } => *row == mark,
        }
    }
}

impl RouterAllowances {
    /// Returns the tokens that the previous process has certainly not spent; `None` while the
    /// answers of its witnesses are awaited.
    pub(super) fn tokens_to_take_over(
        &mut self,
        inputs: &CommitInputs,
    ) -> Option<Vec<(Arc<str>, u64)>> {
        let row = self.holdings.as_ref().map(|(row, _)| row);
        let Some(row) = row.filter(|it| it.mark.process != self.last_commit_id.process) else {
            return Some(Vec::new());
        };
        let mark = row.mark;
        if !self.eras.is_current(row.era) {
            let kept: u64 = row.kept().iter().map(|(_, kept)| kept).sum();
            if kept > 0 && !self.takeover.is_about(mark) {
                log::warn!(process = mark.process, row_commit = mark.number, tokens = kept; "tokens of the earlier process counted as spent: its row is of another era of the store");
            }
            return Some(self.settle_takeover(mark, Vec::new()));
        }
        if !self.takeover.is_about(mark) {
            self.takeover = Takeover::Unknown;
        }
        match &self.takeover {
            Takeover::Settled { kept, .. } => return Some(kept.clone()),
            Takeover::Awaiting { since, .. } if inputs.now.since(*since) < STATEMENT_TIMEOUT => {
                return None;
            }
            Takeover::Awaiting { unanswered, .. } => {
                log::warn!(silent:? = unanswered; "tokens of the earlier process counted as spent: not enough of its witnesses answered");
                return Some(self.settle_takeover(mark, Vec::new()));
            }
            Takeover::Unknown => {}
        }
        // The previous process has ended. If its ceilings are still in force now, they were in
        // force until its end.
        let ages = inputs.store_time.zip(row.known_store_ms);
        let age_ms = ages.map(|(time, known)| time.millis.saturating_sub(known));
        if age_ms.is_some_and(|it| u128::from(it) < CEILING_VALIDITY.as_millis()) {
            let tokens = row.kept();
            log_takeover(row, "row", age_ms);
            return Some(self.settle_takeover(mark, tokens));
        }
        if !row.witnesses.is_empty() {
            log_takeover(row, "witnesses", age_ms);
            let (unanswered, kept) = (row.witnesses.clone(), row.kept());
            let (needed, since) = (row.statements_needed(), inputs.now);
            self.takeover = Takeover::Awaiting { row: mark, unanswered, needed, kept, since };
            return None;
        }
        let kept: u64 = row.kept().iter().map(|(_, kept)| kept).sum();
        if kept > 0 {
            log::warn!(age_ms = age_ms.unwrap_or_default(), tokens = kept; "tokens of the earlier process counted as spent: its row is too old and names no witnesses");
        }
        Some(self.settle_takeover(mark, Vec::new()))
    }

    fn settle_takeover(
        &mut self,
        row: CommitId,
        mut kept: Vec<(Arc<str>, u64)>,
    ) -> Vec<(Arc<str>, u64)> {
        kept.retain(|(name, it)| *it > 0 && self.accounts.contains_key(name));
        self.takeover = Takeover::Settled { row, kept: kept.clone() };
        kept
    }

    /// Returns the witnesses that have not answered yet, and the process that they are asked about.
    pub fn witness_query(&self) -> Option<(Vec<RouterProcess>, RouterProcess)> {
        let Takeover::Awaiting { row, unanswered, .. } = &self.takeover else { return None };
        let about = RouterProcess { router: self.router.clone(), process: row.process };
        Some((unanswered.clone(), about))
    }

    /// Handles the statement of `witness` about the process `about`.
    pub fn on_witness_statement(
        &mut self,
        witness: &RouterProcess,
        about: &RouterProcess,
        statement: &WitnessStatement,
    ) {
        let is_asked = self
            .witness_query()
            .is_some_and(|(asked, asked_about)| asked.contains(witness) && asked_about == *about);
        if !is_asked {
            return;
        }
        let Takeover::Awaiting { row, unanswered, needed, kept, .. } = &mut self.takeover else {
            return;
        };
        let row = *row;
        unanswered.retain(|it| it != witness);
        *needed = needed.saturating_sub(1);
        match statement {
            WitnessStatement::Nothing => {}
            WitnessStatement::Declared(it) if it.last_commit < row.number => {}
            WitnessStatement::Declared(it) => {
                for (name, tokens) in kept.iter_mut() {
                    *tokens = (*tokens).min(it.kept.get(name).copied().unwrap_or_default());
                }
            }
            WitnessStatement::Forgotten => kept.clear(),
        }
        if *needed == 0 {
            let tokens = std::mem::take(kept);
            log::info!(process = row.process, row_commit = row.number, last_witness:% = witness.router, accounts = tokens.len(); "witnesses of the earlier process have answered");
            self.settle_takeover(row, tokens);
        }
    }
}

/// Logs by which source this process decides what the previous one has certainly not spent.
fn log_takeover(row: &HoldingsRow, source: &str, age_ms: Option<u64>) {
    let kept: u64 = row.kept().iter().map(|(_, kept)| kept).sum();
    let held: u64 = row.accounts.values().map(|it| it.held).sum();
    log::info!(process = row.mark.process, row_commit = row.mark.number, source, held, kept, age_ms = age_ms.unwrap_or_default(); "row of the earlier process found");
}
