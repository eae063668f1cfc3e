//! Commits: what is drawn, returned and declared, and what became of it.

use std::{sync::Arc, time::Duration};

use platform::{Commit, CommitOutcome, Key, Precondition, Revision, Row, Write};
use types::Timestamp;

use super::{CommitInputs, RouterAllowances};
use crate::allowance::{
    account::{Change, changed_row},
    ceiling::binds_until,
    holders::Role,
    rows::{ACCOUNT_PREFIX, AllowanceRow, HoldingsRow},
};

/// Time between two declarations: what was spent since the last one need not be feared
/// lost. At most `HOLDERS_MAX` routers declare, which is a quarter of the transactions that
/// one part of the table takes.
const DECLARATION_INTERVAL: Duration = Duration::from_millis(250);

/// Age of the accounts' rows after which a holder reads them anew, so that it learns that few
/// tokens are left. Short beside the time in which an account is used up.
const ROWS_MAX_AGE: Duration = Duration::from_secs(2);

/// Accounts in one commit at most; the store takes a hundred rows.
const COMMIT_ACCOUNTS_MAX: usize = 40;

/// A commit whose outcome is not known yet.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    /// The commit.
    pub(super) commit: Commit,
    /// The row of this router that it writes.
    pub(super) holdings: HoldingsRow,
    /// Changes by account, with the accounts' rows after them.
    pub(super) changes: Vec<(Arc<str>, Change, Option<AllowanceRow>)>,
    /// Tokens to take over from an earlier process, by account.
    pub(super) adopted: Vec<(Arc<str>, u64)>,
}

impl RouterAllowances {
    /// Tells whether the rows are to be read before a commit can be made.
    pub fn must_read_rows(&self, now: Timestamp) -> bool {
        let is_unsure = self.accounts.values().any(|it| !it.is_confirmed());
        let is_old = || self.read_at.is_none_or(|at| now.since(at) >= ROWS_MAX_AGE);
        let is_stale = self.role == Role::Holder && is_old();
        !self.is_loaded || self.pending.is_some() || is_unsure || is_stale
    }

    /// Tells whether the outcome of a commit is not known.
    pub fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the next commit; `None` where no row needs a change. A commit whose outcome
    /// is unknown is returned again: only one of its copies can take effect.
    pub fn next_commit(&mut self, inputs: &CommitInputs) -> Option<Commit> {
        if let Some(pending) = &self.pending {
            return Some(pending.commit.clone());
        }
        if !self.is_loaded {
            return None;
        }
        let adopted = self.inherited(inputs)?;
        // What is taken over changes this router's row only, which no other router writes.
        let changes = if adopted.is_empty() { self.plan(inputs) } else { Vec::new() };
        let is_due = !adopted.is_empty() || self.is_declaration_due(inputs.now);
        if changes.is_empty() && !is_due {
            return None;
        }
        let pending = self.prepare(changes, adopted, inputs);
        let commit = pending.commit.clone();
        self.pending = Some(pending);
        Some(commit)
    }

    /// Tells whether the row of this router is to be written though no account's row changes.
    fn is_declaration_due(&self, now: Timestamp) -> bool {
        if self.accounts.values().any(|it| it.needs_declaration(now)) {
            return true;
        }
        if self.role != Role::Holder && self.declares_nothing() {
            return false;
        }
        self.declared_at.is_none_or(|at| now.since(at) >= DECLARATION_INTERVAL)
    }

    /// Tells whether the row of this router binds it to nothing: it keeps no tokens and
    /// names no witnesses.
    fn declares_nothing(&self) -> bool {
        let Some((row, _)) = &self.holdings else { return true };
        let is_own = row.mark.process == self.mark.process;
        is_own && row.witnesses.is_empty() && row.kept().iter().all(|(_, kept)| *kept == 0)
    }

    fn plan(&mut self, inputs: &CommitInputs) -> Vec<(Arc<str>, Change)> {
        let mut changes = Vec::new();
        for (name, (row, _)) in &self.rows {
            if let Some(allowance) = self.accounts.get_mut(name) {
                allowance.note_undrawn(allowance.undrawn(row));
            }
        }
        for (name, allowance) in &self.accounts {
            let row = self.row(name);
            let is_low = allowance.is_low();
            let role = self.role_where(name, is_low);
            let drawers = RouterAllowances::drawers(inputs.routers, is_low);
            let change = allowance.plan(&row, (role, drawers), inputs.stage, inputs.now);
            if let Some(change) = change {
                changes.push((name.clone(), change));
            }
            if changes.len() == COMMIT_ACCOUNTS_MAX {
                break;
            }
        }
        changes
    }

    /// Makes the commit of some changes and keeps to what it declares.
    fn prepare(
        &mut self,
        changes: Vec<(Arc<str>, Change)>,
        adopted: Vec<(Arc<str>, u64)>,
        inputs: &CommitInputs,
    ) -> Pending {
        let now = inputs.now;
        self.mark.number += 1;
        let number = self.mark.number;
        let known_at = inputs.store_time.map(|it| now - it.age);
        let binds_until = known_at.map_or(Timestamp::ZERO, binds_until);
        let mut holdings = HoldingsRow {
            mark: self.mark,
            known_store_ms: inputs.store_time.map(|it| it.millis),
            witnesses: if self.role == Role::Borrower {
                Vec::new()
            } else {
                self.witnesses.clone()
            },
            ..HoldingsRow::default()
        };
        for (name, allowance) in &mut self.accounts {
            let change = changes.iter().find(|(it, _)| it == name).map(|(_, it)| *it);
            let change = change.unwrap_or_default();
            let known = self.rows.get(name).map(|(row, _)| row);
            let undrawn = known.map_or(0, |row| allowance.undrawn(row));
            let taken_over = adopted.iter().find(|(it, _)| it == name).map_or(0, |(_, it)| *it);
            let declared = allowance.declare(&change, taken_over, (self.role, undrawn), now);
            let has_witness = !holdings.witnesses.is_empty();
            allowance.start(&change, declared, number, binds_until, has_witness);
            if declared.held > 0 {
                holdings.accounts.insert(name.clone(), declared);
            }
        }
        let mut commit = Commit::default();
        let key = HoldingsRow::key(&self.router);
        let revision = self.holdings.as_ref().map(|(_, revision)| *revision);
        commit.preconditions.push(expect(key.clone(), revision));
        commit.writes.push(Write::put(key, &holdings));
        let changes = changes.into_iter().map(|(name, change)| {
            let next = self.add_account_write(&mut commit, &name, &change);
            (name, change, next)
        });
        let changes = changes.collect();
        Pending { commit, holdings, changes, adopted }
    }

    fn add_account_write(
        &self,
        commit: &mut Commit,
        name: &Arc<str>,
        change: &Change,
    ) -> Option<AllowanceRow> {
        let allowance = self.accounts.get(name)?;
        let known = self.rows.get(name);
        let row = known.map(|(row, _)| row.clone()).unwrap_or_default();
        log::info!(account:% = name, draw = change.draw, give_back = change.give_back, report = change.spent, held = allowance.held(), drawn = row.drawn, limit = allowance.limit(); "allowance to change");
        let next = changed_row(&row, change, allowance.limit_version());
        let key = AllowanceRow::key(name);
        commit.preconditions.push(expect(key.clone(), known.map(|(_, revision)| *revision)));
        commit.writes.push(Write::put(key, &next));
        Some(next)
    }

    /// Takes the outcome of the commit that [`next_commit`](Self::next_commit) returned.
    /// `is_resent` says that an earlier copy of it may have taken effect or may still do so.
    pub fn on_outcome(&mut self, outcome: &CommitOutcome, is_resent: bool, now: Timestamp) {
        match outcome {
            CommitOutcome::Committed(revision) => self.apply(*revision, now),
            CommitOutcome::NotApplied(_) if !is_resent => self.finish(false, now),
            // The rows tell which one it is with; it may be a copy of this commit.
            CommitOutcome::Conflict(_) => self.is_loaded = false,
            CommitOutcome::NotApplied(_) | CommitOutcome::Unknown => {}
        }
    }

    /// Takes over all accounts' rows and routers' rows as they were read.
    pub fn apply_rows(&mut self, accounts: &[Row], holdings: &[Row], now: Timestamp) {
        self.is_loaded = true;
        self.read_at = Some(now);
        for row in accounts {
            let Some(name) = name_in(row.key.as_str(), ACCOUNT_PREFIX) else { continue };
            match row.decode::<AllowanceRow>() {
                Ok(read) => {
                    self.rows.insert(name.into(), (read, row.revision));
                }
                Err(error) => log::error!("{error}"),
            }
        }
        for (name, allowance) in &mut self.accounts {
            let row = self.rows.get(name).map(|(row, _)| row.clone()).unwrap_or_default();
            allowance.confirm(&row);
        }
        let own = HoldingsRow::key(&self.router);
        let read = holdings.iter().find(|row| row.key == own);
        let decoded = read.map(|row| (row.decode::<HoldingsRow>(), row.revision));
        self.holdings = match decoded {
            None => None,
            Some((Ok(row), revision)) => Some((row, revision)),
            Some((Err(error), revision)) => {
                log::error!("{error}");
                Some((HoldingsRow::default(), revision))
            }
        };
        self.resolve_pending(now);
    }

    /// Decides the commit in progress by the rows that were read.
    fn resolve_pending(&mut self, now: Timestamp) {
        let Some(pending) = &self.pending else { return };
        if self.holdings.as_ref().is_some_and(|(row, _)| row.mark == pending.holdings.mark) {
            self.note_declared(now);
            self.finish(true, now);
            return;
        }
        let is_replaced = pending.commit.preconditions.iter().any(|it| {
            let key = it.key().as_str();
            let revision = match name_in(key, ACCOUNT_PREFIX) {
                Some(name) => self.rows.get(name).map(|(_, revision)| *revision),
                None => self.holdings.as_ref().map(|(_, revision)| *revision),
            };
            match it {
                Precondition::Absent(_) => revision.is_some(),
                Precondition::Revision(_, expected) => revision != Some(*expected),
            }
        });
        // While all rows are as the commit expects, it may still take effect.
        if is_replaced {
            self.finish(false, now);
        }
    }

    fn apply(&mut self, revision: Revision, now: Timestamp) {
        let Some(pending) = &self.pending else { return };
        self.holdings = Some((pending.holdings.clone(), revision));
        for (name, _, row) in &pending.changes {
            let Some(row) = row else { continue };
            if let Some(allowance) = self.accounts.get_mut(name) {
                allowance.confirm(row);
            }
            self.rows.insert(name.clone(), (row.clone(), revision));
        }
        self.note_declared(now);
        self.finish(true, now);
    }

    fn note_declared(&mut self, now: Timestamp) {
        self.declared_at = Some(now);
    }

    fn finish(&mut self, is_applied: bool, now: Timestamp) {
        let Some(pending) = self.pending.take() else { return };
        let number = pending.holdings.mark.number;
        for (name, allowance) in &mut self.accounts {
            let change = pending.changes.iter().find(|(it, ..)| it == name);
            let change = change.map(|(_, change, _)| *change).unwrap_or_default();
            allowance.finish(&change, number, is_applied);
        }
        if is_applied {
            for (name, tokens) in &pending.adopted {
                if let Some(allowance) = self.accounts.get_mut(name) {
                    allowance.adopt(*tokens, now);
                }
            }
        }
    }
}

fn expect(key: Key, revision: Option<Revision>) -> Precondition {
    match revision {
        Some(revision) => Precondition::Revision(key, revision),
        None => Precondition::Absent(key),
    }
}

/// Returns the name in a key that starts with `prefix`.
fn name_in<'a>(key: &'a str, prefix: &str) -> Option<&'a str> {
    key.strip_prefix(prefix)?.strip_prefix('/')
}
