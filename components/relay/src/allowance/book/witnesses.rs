//! Declarations to the witnesses while the store is unavailable.

use std::time::Duration;

use types::Timestamp;

use super::RouterAllowances;
use crate::allowance::{
    rows::HoldingsRow,
    witness::{RouterProcess, WitnessDeclaration},
};

/// Once the last declaration to the store is this old, declarations also go to the witnesses.
const WITNESS_DECLARATION_AGE: Duration = Duration::from_millis(1_000);

/// Number of witnesses of a router. Two of three have to store a declaration, and two have to answer the
/// next process, so that one may fail at any time.
const WITNESS_COUNT: usize = 3;

impl RouterAllowances {
    /// Chooses the routers to which declarations are sent while the store is unavailable. Chosen
    /// ones stay as long as they are reachable.
    pub fn choose_witnesses(&mut self, reachable: &[RouterProcess]) {
        self.witnesses.retain(|it| reachable.contains(it));
        for it in reachable {
            if self.witnesses.len() < WITNESS_COUNT && !self.witnesses.contains(it) {
                self.witnesses.push(it.clone());
            }
        }
    }

    /// Returns whether declarations go to the witnesses now.
    pub(super) fn declares_to_witness(&self, now: Timestamp) -> bool {
        let is_old = self.declared_at.is_some_and(|at| now.since(at) >= WITNESS_DECLARATION_AGE);
        is_old && self.holdings.as_ref().is_some_and(|(row, _)| !row.witnesses.is_empty())
    }

    /// Returns the next declaration, with the witnesses named in the last declaration to the store;
    /// `None` while the store accepts declarations or if no witness is left.
    pub fn witness_declaration(
        &mut self,
        now: Timestamp,
    ) -> Option<(Vec<RouterProcess>, WitnessDeclaration)> {
        if !self.declares_to_witness(now) {
            return None;
        }
        let (row, _) = self.holdings.as_ref()?;
        let mut witnesses = row.witnesses.clone();
        // The next process may find the row that the commit in progress writes, and asks only the
        // witnesses named there.
        if let Some(pending) = &self.pending {
            witnesses.retain(|it| pending.holdings.witnesses.contains(it));
        }
        if witnesses.is_empty() {
            return None;
        }
        self.witness_number += 1;
        let numbers = (self.witness_number, self.last_commit_id.number);
        let role = self.role;
        let kept = self
            .accounts
            .iter_mut()
            .map(|(name, it)| (name.clone(), it.declare_to_witness(numbers, role, now)))
            .filter(|(_, kept)| *kept > 0);
        let kept = kept.collect();
        let returning = self.accounts.iter().map(|(name, it)| (name.clone(), it.returning()));
        let returning = returning.filter(|(_, it)| *it > 0).collect();
        Some((
            witnesses,
            WitnessDeclaration { number: numbers.0, last_commit: numbers.1, kept, returning },
        ))
    }

    /// Handles a witness's confirmation that it has stored a declaration.
    pub fn on_witness_confirmed(&mut self, witness: &RouterProcess, number: u64) {
        let confirmed = self.confirmed_by.entry(witness.clone()).or_default();
        *confirmed = number.max(*confirmed);
        // The next process may find either row.
        let rows = self.holdings.iter().map(|(row, _)| row);
        let rows = rows.chain(self.pending.iter().map(|it| &it.holdings));
        let numbers = rows.map(|row| self.confirmed_number(row));
        let Some(number) = numbers.min().flatten() else { return };
        for allowance in self.accounts.values_mut() {
            allowance.confirm_witnessed(number);
        }
    }

    /// Returns the highest number of a declaration such that enough of the witnesses named in `row` have
    /// stored it or a later one.
    fn confirmed_number(&self, row: &HoldingsRow) -> Option<u64> {
        let stored = row.witnesses.iter().filter_map(|it| self.confirmed_by.get(it));
        let mut stored: Vec<u64> = stored.copied().collect();
        stored.sort_unstable_by(|a, b| b.cmp(a));
        stored.get(row.confirmations_needed() - 1).copied()
    }
}
