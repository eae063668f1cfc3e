//! What the predecessor of this process left.

use std::{sync::Arc, time::Duration};

use types::Timestamp;

use super::{CommitInputs, RouterAllowances};
use crate::allowance::{
    ceiling::BINDING_TIME,
    witness::{RouterProcess, WitnessStatement},
};

/// Longest time for which a new process waits for the statements of its predecessor's witnesses.
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What is known of the tokens that the predecessor of this process held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Inheritance {
    /// Its row was not looked at yet.
    Unknown,
    /// Its witnesses are asked.
    Asked {
        /// Witnesses that have not answered.
        silent: Vec<RouterProcess>,
        /// What is kept by the statements so far.
        kept: Vec<(Arc<str>, u64)>,
        /// Since when they are asked.
        since: Timestamp,
    },
    /// These are certainly unspent.
    Certain(Vec<(Arc<str>, u64)>),
}

impl RouterAllowances {
    /// Returns the tokens that the predecessor of this process has certainly not spent;
    /// `None` while its witness is asked.
    pub(super) fn inherited(&mut self, inputs: &CommitInputs) -> Option<Vec<(Arc<str>, u64)>> {
        let row = self.holdings.as_ref().map(|(row, _)| row);
        let Some(row) = row.filter(|it| it.mark.process != self.mark.process) else {
            return Some(Vec::new());
        };
        match &self.inheritance {
            Inheritance::Certain(tokens) => return Some(tokens.clone()),
            Inheritance::Asked { since, .. } if inputs.now.since(*since) < STATEMENT_TIMEOUT => {
                return None;
            }
            Inheritance::Asked { silent, .. } => {
                log::warn!(silent:? = silent; "tokens of the earlier process count as spent: no statement of its witnesses");
                return Some(self.settle_inheritance(Vec::new()));
            }
            Inheritance::Unknown => {}
        }
        // The earlier process has ended, so that its ceilings bound it until its end if
        // they bind now.
        let ages = inputs.store_time.zip(row.known_store_ms);
        let age_ms = ages.map(|(time, known)| time.millis.saturating_sub(known));
        if age_ms.is_some_and(|it| u128::from(it) < BINDING_TIME.as_millis()) {
            let tokens = row.kept();
            log::info!(age_ms = age_ms.unwrap_or_default(), accounts = tokens.len(); "tokens of the earlier process taken over");
            return Some(self.settle_inheritance(tokens));
        }
        if !row.witnesses.is_empty() {
            log::info!(age_ms = age_ms.unwrap_or_default(), witnesses = row.witnesses.len(); "witnesses of the earlier process asked");
            let (silent, kept) = (row.witnesses.clone(), row.kept());
            self.inheritance = Inheritance::Asked { silent, kept, since: inputs.now };
            return None;
        }
        let kept: u64 = row.kept().iter().map(|(_, kept)| kept).sum();
        if kept > 0 {
            log::warn!(age_ms = age_ms.unwrap_or_default(), tokens = kept; "tokens of the earlier process count as spent: its row is old");
        }
        Some(self.settle_inheritance(Vec::new()))
    }

    fn settle_inheritance(&mut self, tokens: Vec<(Arc<str>, u64)>) -> Vec<(Arc<str>, u64)> {
        let mut tokens = tokens;
        tokens.retain(|(name, it)| *it > 0 && self.accounts.contains_key(name));
        self.inheritance = Inheritance::Certain(tokens.clone());
        tokens
    }

    /// Returns the witnesses to ask, and about which process.
    pub fn witness_query(&self) -> Option<(Vec<RouterProcess>, RouterProcess)> {
        let Inheritance::Asked { silent, .. } = &self.inheritance else { return None };
        let (row, _) = self.holdings.as_ref()?;
        let about = RouterProcess { router: self.router.clone(), process: row.mark.process };
        Some((silent.clone(), about))
    }

    /// Takes the statement of `witness` about `about`.
    pub fn on_witness_statement(
        &mut self,
        witness: &RouterProcess,
        about: &RouterProcess,
        statement: &WitnessStatement,
    ) {
        let is_asked = self
            .witness_query()
            .is_some_and(|(silent, asked_about)| silent.contains(witness) && asked_about == *about);
        let Some((row, _)) = self.holdings.as_ref().filter(|_| is_asked) else { return };
        let last_commit = row.mark.number;
        let Inheritance::Asked { silent, kept, .. } = &mut self.inheritance else { return };
        silent.retain(|it| it != witness);
        match statement {
            WitnessStatement::Nothing => {}
            WitnessStatement::Declared(it) if it.last_commit < last_commit => {}
            WitnessStatement::Declared(it) => {
                for (name, tokens) in kept.iter_mut() {
                    *tokens = (*tokens).min(it.kept.get(name).copied().unwrap_or_default());
                }
            }
            WitnessStatement::Forgotten => kept.clear(),
        }
        if silent.is_empty() {
            let tokens = std::mem::take(kept);
            log::info!(witness:% = witness.router, accounts = tokens.len(); "tokens of the earlier process taken over by the statements of its witnesses");
            self.settle_inheritance(tokens);
        }
    }
}
