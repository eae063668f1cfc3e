//! Takeover of the tokens that the previous process of this router held.

use std::{sync::Arc, time::Duration};

use types::Timestamp;

use super::{CommitInputs, RouterAllowances};
use crate::allowance::{
    rows::{CommitId, Holding, HoldingsRow},
    witness::{RouterProcess, WitnessDeclaration, WitnessStatement},
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
    Awaiting(WitnessInquiry),
    /// Some tokens are certainly unspent.
    Settled {
        /// Commit that wrote the row.
        row: CommitId,
        /// These tokens, by account.
        kept: Vec<(Arc<str>, u64)>,
    },
}

/// The questions to the witnesses of the previous process, and their answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct WitnessInquiry {
    /// Commit that wrote the row.
    row: CommitId,
    /// Witnesses that may still answer.
    unanswered: Vec<RouterProcess>,
    /// Number of statements that are still needed.
    needed: usize,
    /// Declarations in the statements so far that are newer than the row.
    declared: Vec<WitnessDeclaration>,
    /// Whether a declaration may have been lost, so that statements prove nothing.
    is_forgotten: bool,
    /// When the witnesses were asked.
    since: Timestamp,
    /// Age of the row when it was first examined: the previous process had ended by then. `None` if
    /// it is not known.
    age: Option<Duration>,
}

impl WitnessInquiry {
    /// Returns whether no more statements are to be expected.
    fn is_over(&self, now: Timestamp) -> bool {
        self.needed == 0
            || self.needed > self.unanswered.len()
            || now.since(self.since) >= STATEMENT_TIMEOUT
    }

    /// Returns the tokens of an account that are certainly unspent, by what is known now.
    fn kept(&self, row: &HoldingsRow, name: &Arc<str>, holding: &Holding) -> u64 {
        let is_capped = |age: &Duration| *age < row.cap_time();
        let by_cap = self.age.filter(is_capped).map_or(0, |age| holding.kept_until(age));
        if self.needed > 0 || self.is_forgotten {
            return by_cap;
        }
        let declared = self.declared.iter().map(|it| it.kept_after(self.row.number, name)).min();
        let by_statements = declared.map_or_else(
            || holding.kept_until(row.unwitnessed_time()),
            |kept| kept.min(holding.held),
        );
        by_cap.max(by_statements)
    }
}

impl Takeover {
    /// Returns whether nothing can be taken over by the row that `mark` wrote.
    pub(super) fn is_settled_empty(&self, mark: CommitId) -> bool {
        matches!(self, Takeover::Settled { row, kept } if *row == mark && kept.is_empty())
    }

    /// Returns whether this is what is known from the row that `mark` wrote.
    fn is_about(&self, mark: CommitId) -> bool {
        match self {
            Takeover::Unknown => false,
            Takeover::Awaiting(WitnessInquiry { row, .. }) | Takeover::Settled { row, .. } => {
                *row == mark
            }
        }
    }
}

impl RouterAllowances {
    /// Returns whether nothing of the previous process is left to take over.
    pub(super) fn has_taken_over(&self) -> bool {
        let Some((row, _)) = &self.holdings else { return self.is_loaded };
        row.mark.process == self.last_commit_id.process || self.takeover.is_settled_empty(row.mark)
    }

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
            return Some(self.settle_takeover(mark, Vec::new(), inputs.now));
        }
        if !self.takeover.is_about(mark) {
            self.takeover = Takeover::Unknown;
        }
        match &self.takeover {
            Takeover::Settled { kept, .. } => return Some(kept.clone()),
            Takeover::Awaiting(inquiry) if inquiry.is_over(inputs.now) => {
                if inquiry.needed > 0 {
                    log::warn!(silent:? = inquiry.unanswered, missing = inquiry.needed; "too few witnesses of the earlier process are left");
                }
                return Some(self.conclude_inquiry(inputs.now));
            }
            Takeover::Awaiting(_) => return None,
            Takeover::Unknown => {}
        }
        // The previous process has ended, so the row's present age is at least its age at that end.
        let ages = inputs.store_time.zip(row.known_store_ms);
        let age_ms = ages.map(|(time, known)| time.millis.saturating_sub(known));
        let age = age_ms.map(Duration::from_millis);
        if let Some(age) = age.filter(|it| *it < row.unwitnessed_time()) {
            let tokens = row.kept_until(age);
            log_takeover(row, "row", age_ms);
            return Some(self.settle_takeover(mark, tokens, inputs.now));
        }
        log_takeover(row, "witnesses", age_ms);
        let inquiry = WitnessInquiry {
            row: mark,
            unanswered: row.witnesses.clone(),
            needed: row.statements_needed(),
            declared: Vec::new(),
            is_forgotten: false,
            since: inputs.now,
            age,
        };
        let is_over = inquiry.is_over(inputs.now);
        self.takeover = Takeover::Awaiting(inquiry);
        is_over.then(|| self.conclude_inquiry(inputs.now))
    }

    /// Decides by the statements so far what the previous process has certainly not spent.
    fn conclude_inquiry(&mut self, now: Timestamp) -> Vec<(Arc<str>, u64)> {
        let (Takeover::Awaiting(inquiry), Some((row, _))) = (&self.takeover, &self.holdings) else {
            return Vec::new();
        };
        let kept = row.accounts.iter();
        let kept: Vec<_> =
            kept.map(|(name, it)| (name.clone(), inquiry.kept(row, name, it))).collect();
        let held: u64 = row.accounts.values().map(|it| it.held).sum();
        let tokens: u64 = kept.iter().map(|(_, it)| it).sum();
        log::info!(process = inquiry.row.process, row_commit = inquiry.row.number, statements_missing = inquiry.needed, declared = inquiry.declared.len(), held, kept = tokens; "tokens of the earlier process determined");
        let mark = inquiry.row;
        self.settle_takeover(mark, kept, now)
    }

    fn settle_takeover(
        &mut self,
        mark: CommitId,
        mut kept: Vec<(Arc<str>, u64)>,
        now: Timestamp,
    ) -> Vec<(Arc<str>, u64)> {
        kept.retain(|(name, it)| *it > 0 && self.accounts.contains_key(name));
        self.takeover = Takeover::Settled { row: mark, kept: kept.clone() };
        let declared = self.holdings.iter().flat_map(|(row, _)| &row.accounts);
        for (name, holding) in declared {
            if let Some(allowance) = self.accounts.get_mut(name) {
                allowance.continue_rate(holding, now);
            }
        }
        kept
    }

    /// Returns the witnesses that have not answered yet, and the process that they are asked about.
    pub fn witness_query(&self) -> Option<(Vec<RouterProcess>, RouterProcess)> {
        let Takeover::Awaiting(inquiry) = &self.takeover else { return None };
        let about = RouterProcess { router: self.router.clone(), process: inquiry.row.process };
        Some((inquiry.unanswered.clone(), about))
    }

    /// Handles the statement of `witness` about the process `about`. If another process of a
    /// witness's router answers, the witness itself has ended.
    pub fn on_witness_statement(
        &mut self,
        witness: &RouterProcess,
        about: &RouterProcess,
        statement: &WitnessStatement,
    ) {
        let Some((asked, asked_about)) = self.witness_query() else { return };
        let Takeover::Awaiting(inquiry) = &mut self.takeover else { return };
        if asked_about != *about {
            return;
        }
        if !asked.contains(witness) {
            inquiry.unanswered.retain(|it| it.router != witness.router);
            return;
        }
        inquiry.unanswered.retain(|it| it != witness);
        inquiry.needed = inquiry.needed.saturating_sub(1);
        match statement {
            WitnessStatement::Nothing => {}
            WitnessStatement::Declared(it) if it.last_commit < inquiry.row.number => {}
            WitnessStatement::Declared(it) => inquiry.declared.push(it.clone()),
            WitnessStatement::Forgotten => inquiry.is_forgotten = true,
        }
        if inquiry.needed == 0 {
            // The next commit takes the tokens over.
            inquiry.unanswered.clear();
        }
    }
}

/// Logs by which source this process decides what the previous one has certainly not spent.
fn log_takeover(row: &HoldingsRow, source: &str, age_ms: Option<u64>) {
    let age = age_ms.map_or(Duration::MAX, Duration::from_millis);
    let kept: u64 = row.kept_until(age).iter().map(|(_, kept)| kept).sum();
    let held: u64 = row.accounts.values().map(|it| it.held).sum();
    log::info!(process = row.mark.process, row_commit = row.mark.number, source, held, kept, age_ms = age_ms.unwrap_or_default(); "row of the earlier process found");
}
