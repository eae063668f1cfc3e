//! Declarations to the witnesses while the store is away.

use std::time::Duration;

use types::Timestamp;

use super::RouterAllowances;
use crate::allowance::{
    rows::HoldingsRow,
    witness::{RouterProcess, WitnessDeclaration},
};

/// Age of the last declaration to the store from which the witnesses are told too.
const WITNESS_AFTER: Duration = Duration::from_millis(1_000);

/// Witnesses of a router: with two, one of them may be lost while the store is away.
const WITNESSES: usize = 2;

impl RouterAllowances {
    /// Sets the routers that are to take declarations while the store is away. They are kept
    /// while they are among `heard`.
    pub fn choose_witnesses(&mut self, heard: &[RouterProcess]) {
        self.witnesses.retain(|it| heard.contains(it));
        for it in heard {
            if self.witnesses.len() < WITNESSES && !self.witnesses.contains(it) {
                self.witnesses.push(it.clone());
            }
        }
    }

    /// Tells whether declarations go to the witness now.
    pub(super) fn declares_to_witness(&self, now: Timestamp) -> bool {
        let is_old = self.declared_at.is_some_and(|at| now.since(at) >= WITNESS_AFTER);
        is_old && self.holdings.as_ref().is_some_and(|(row, _)| !row.witnesses.is_empty())
    }

    /// Returns what is to be declared to the witnesses of the last declaration to the store;
    /// `None` while the store takes declarations.
    pub fn witness_declaration(
        &mut self,
        now: Timestamp,
    ) -> Option<(Vec<RouterProcess>, WitnessDeclaration)> {
        if !self.declares_to_witness(now) {
            return None;
        }
        let (row, _) = self.holdings.as_ref()?;
        let mut witnesses = row.witnesses.clone();
        // The next process may find the row of the commit in progress, and asks only the
        // witnesses that it names.
        if let Some(pending) = &self.pending {
            witnesses.retain(|it| pending.holdings.witnesses.contains(it));
        }
        if witnesses.is_empty() {
            return None;
        }
        self.witness_number += 1;
        let (number, role) = (self.witness_number, self.role);
        let kept = self
            .accounts
            .iter_mut()
            .map(|(name, it)| {
                let known = self.rows.get(name).map(|(row, _)| row);
                let undrawn = known.map_or(0, |row| it.undrawn(row));
                (name.clone(), it.declare_to_witness(number, role, undrawn, now))
            })
            .filter(|(_, kept)| *kept > 0);
        let kept = kept.collect();
        Some((witnesses, WitnessDeclaration { number, last_commit: self.mark.number, kept }))
    }

    /// Notes that the witness keeps a declaration.
    pub fn on_witness_confirmed(&mut self, witness: &RouterProcess, number: u64) {
        let names = |row: &HoldingsRow| row.witnesses.contains(witness);
        let is_named = self.holdings.as_ref().is_some_and(|(row, _)| names(row))
            && self.pending.as_ref().is_none_or(|it| names(&it.holdings));
        if !is_named {
            return;
        }
        for allowance in self.accounts.values_mut() {
            allowance.confirm_witnessed(number);
        }
    }
}
