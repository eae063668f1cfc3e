//! Commits: what a router draws, returns and declares, and the outcome.

use std::{sync::Arc, time::Duration};

use platform::{Commit, CommitOutcome, Key, Precondition, Revision, Row, Write};
use types::Timestamp;
use utils::{HashMap, stable_hash};

use super::{CommitInputs, RouterAllowances, Stage};
use crate::allowance::{
    account::{Change, changed_row},
    ceiling::{CAP_TIME, UNWITNESSED_TIME, whole_millis},
    holders::{HOLDERS_MAX, Role},
    recovery::RecoveryRow,
    rows::{ACCOUNT_PREFIX, AllowanceRow, HoldingsRow},
};

/// Time between two declarations of a holder. Each one accounts for the tokens spent since the
/// previous one, so that they need not count as possibly lost. At most `HOLDERS_MAX` routers
/// declare, which is a quarter of the transactions that one partition of the table takes.
const DECLARATION_INTERVAL: Duration = Duration::from_millis(250);

/// Age of the accounts' rows at which a holder reads them again, so that it learns when few tokens
/// are undrawn. Short compared with the time in which an account is used up.
const ROWS_MAX_AGE: Duration = Duration::from_secs(2);

/// Turns per second that the routers which are no holders have together. With a second commit after a
/// conflict they make a third of the transactions that one partition of the table takes, so that the
/// holders' declarations are not delayed.
const TURNS_PER_S: u64 = 25;

/// Maximum number of accounts in one commit; the store accepts a hundred rows.
const COMMIT_ACCOUNTS_MAX: usize = 40;

/// A commit whose outcome is not known yet.
#[derive(Debug, Clone)]
pub(super) struct PendingCommit {
    /// The commit.
    pub(super) commit: Commit,
    /// The row of this router that the commit writes.
    pub(super) holdings: HoldingsRow,
    /// Changes by account, each with the account's row after it.
    pub(super) changes: Vec<(Arc<str>, Change, Option<AllowanceRow>)>,
    /// Tokens to take over from the previous process, by account.
    pub(super) taken_over: Vec<(Arc<str>, u64)>,
}

impl RouterAllowances {
    /// Returns whether the rows must be read before the next commit.
    pub fn must_read_rows(&self, now: Timestamp) -> bool {
        let has_unconfirmed_limit = self.accounts.values().any(|it| !it.is_limit_confirmed());
        let is_old = || self.read_at.is_none_or(|at| now.since(at) >= ROWS_MAX_AGE);
        let is_stale = self.role == Role::Holder && is_old();
        if self.is_recovering() {
            return !self.is_loaded || self.polls_recovery(now);
        }
        !self.is_loaded || self.pending.is_some() || has_unconfirmed_limit || is_stale
    }

    /// Returns whether the outcome of a commit is unknown.
    pub fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the next commit; `None` if no row needs a change. A commit with an unknown outcome
    /// is returned again: only one of its copies can take effect.
    pub fn next_commit(&mut self, inputs: &CommitInputs) -> Option<Commit> {
        if let Some(pending) = &self.pending {
            return Some(pending.commit.clone());
        }
        if !self.is_loaded || self.is_recovering() {
            return None;
        }
        if !self.has_turn(inputs) {
            return None;
        }
        let taken_over = self.tokens_to_take_over(inputs)?;
        // A takeover changes only this router's row, which no other router writes.
        let changes = if taken_over.is_empty() { self.plan(inputs) } else { Vec::new() };
        let is_due = !taken_over.is_empty() || self.is_declaration_due(inputs.now);
        if changes.is_empty() && !is_due {
            return None;
        }
        let pending = self.prepare(changes, taken_over, inputs);
        let commit = pending.commit.clone();
        self.pending = Some(pending);
        Some(commit)
    }

    /// Returns whether this router may make a commit now. In a large fleet those that are no holders
    /// take turns: after a restart of all, or when no holder lends, all of them want to commit.
    fn has_turn(&mut self, inputs: &CommitInputs) -> bool {
        let (interval, now) = (turn_interval(inputs.routers), inputs.now);
        let first = stable_hash(&[self.router.as_bytes()]) % whole_millis(interval).max(1);
        let next_turn = *self.next_turn.get_or_insert(now + Duration::from_millis(first));
        self.role == Role::Holder || inputs.stage != Stage::Serving || now >= next_turn
    }

    /// Returns whether this router's row must be written although no account's row changes.
    fn is_declaration_due(&self, now: Timestamp) -> bool {
        if self.accounts.values().any(|it| it.needs_declaration(now)) {
            return true;
        }
        if self.role != Role::Holder && (self.declares_nothing() || self.inherits_nothing()) {
            return false;
        }
        self.declared_at.is_none_or(|at| now.since(at) >= DECLARATION_INTERVAL)
    }

    /// Returns whether this router's row is of the previous process, of which nothing is left to take
    /// over. It limits nothing then, and need not be replaced.
    fn inherits_nothing(&self) -> bool {
        let Some((row, _)) = &self.holdings else { return true };
        row.mark.process != self.last_commit_id.process && self.takeover.is_settled_empty(row.mark)
    }

    /// Returns whether this router's row does not limit what the router may spend: every ceiling
    /// equals the held tokens, and no witnesses are named.
    fn declares_nothing(&self) -> bool {
        let Some((row, _)) = &self.holdings else { return true };
        let is_own = row.mark.process == self.last_commit_id.process;
        is_own && row.witnesses.is_empty() && row.kept().iter().all(|(_, kept)| *kept == 0)
    }

    fn plan(&mut self, inputs: &CommitInputs) -> Vec<(Arc<str>, Change)> {
        let mut changes = Vec::new();
        for (name, (row, _)) in &self.rows {
            if let Some(allowance) = self.accounts.get_mut(name) {
                allowance.update_is_low(allowance.undrawn(row));
            }
        }
        for (name, allowance) in &self.accounts {
            let row = self.row(name);
            let is_low = allowance.is_low();
            let role = self.effective_role(name, is_low);
            let drawing_routers = RouterAllowances::drawing_routers(inputs.routers, is_low);
            let change = allowance.plan(&row, (role, drawing_routers), inputs.stage, inputs.now);
            // The tokens of the last draw will be usable soon.
            let is_drawn_twice =
                change.is_some_and(|it| it.draw > 0) && self.eras.draws.holds_back(name);
            if let Some(change) = change.filter(|_| !is_drawn_twice) {
                changes.push((name.clone(), change));
            }
            if changes.len() == COMMIT_ACCOUNTS_MAX {
                break;
            }
        }
        changes
    }

    /// Builds the commit for the changes and applies the ceilings that it declares.
    fn prepare(
        &mut self,
        changes: Vec<(Arc<str>, Change)>,
        taken_over: Vec<(Arc<str>, u64)>,
        inputs: &CommitInputs,
    ) -> PendingCommit {
        let now = inputs.now;
        self.next_turn = Some(now + turn_interval(inputs.routers));
        self.last_commit_id.number += 1;
        let number = self.last_commit_id.number;
        let known_at = inputs.store_time.map(|it| now - it.age);
        let mut holdings = HoldingsRow {
            mark: self.last_commit_id,
            known_store_ms: inputs.store_time.map(|it| it.millis),
            unwitnessed_ms: Some(whole_millis(UNWITNESSED_TIME)),
            cap_ms: Some(whole_millis(CAP_TIME)),
            era: self.eras.number(),
            witnesses: if self.role == Role::Borrower {
                Vec::new()
            } else {
                self.witnesses.clone()
            },
            ..HoldingsRow::default()
        };
        holdings.confirmations = HoldingsRow::confirmations_of(holdings.witnesses.len());
        for (name, allowance) in &mut self.accounts {
            let change = changes.iter().find(|(it, _)| it == name).map(|(_, it)| *it);
            let change = change.unwrap_or_default();
            let known = self.rows.get(name).map(|(row, _)| row);
            let undrawn = known.map_or(0, |row| allowance.undrawn(row));
            let from_previous =
                taken_over.iter().find(|(it, _)| it == name).map_or(0, |(_, it)| *it);
            let declared = allowance.declare(&change, from_previous, (self.role, undrawn), now);
            let has_witness = !holdings.witnesses.is_empty();
            allowance.begin_commit(&change, declared.growth(), number, known_at, has_witness);
            if declared.held > 0 {
                holdings.accounts.insert(name.clone(), declared);
            }
        }
        let mut commit = Commit::default();
        let key = HoldingsRow::key(&self.router);
        let revision = self.holdings.as_ref().map(|(_, revision)| *revision);
        commit.preconditions.push(precondition(key.clone(), revision));
        commit.preconditions.extend(self.eras.precondition());
        commit.writes.push(Write::put(key, &holdings));
        let changes = changes.into_iter().map(|(name, change)| {
            let next = self.add_account_write(&mut commit, &name, &change);
            (name, change, next)
        });
        let changes = changes.collect();
        PendingCommit { commit, holdings, changes, taken_over }
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
        let number = self.last_commit_id.number;
        log::info!(account:% = name, commit = number, draw = change.draw, give_back = change.give_back, report = change.spent, held = allowance.held(), drawn = row.drawn, limit = allowance.limit(); "allowance to change");
        let next = changed_row(&row, change, allowance.limit_version());
        let key = AllowanceRow::key(name);
        commit.preconditions.push(precondition(key.clone(), known.map(|(_, revision)| *revision)));
        commit.writes.push(Write::put(key, &next));
        Some(next)
    }

    /// Returns the number of the last commit of this process.
    pub fn last_commit_number(&self) -> u64 {
        self.last_commit_id.number
    }

    /// Handles the outcome of the commit that [`next_commit`](Self::next_commit) returned.
    /// `is_resent` means that an earlier copy may have taken effect or may still do so.
    pub fn on_outcome(&mut self, outcome: &CommitOutcome, is_resent: bool, now: Timestamp) {
        match outcome {
            CommitOutcome::Committed(revision) => {
                self.is_retry = false;
                self.apply(*revision, now);
            }
            CommitOutcome::NotApplied(_) if !is_resent => self.finish(false, now),
            // Reading the rows shows the conflicting commit, which may be a copy of this one.
            CommitOutcome::Conflict(_) => {
                self.is_loaded = false;
                if self.is_retry {
                    self.is_retry = false;
                } else {
                    // The rows were outdated; those that are read now will not be.
                    (self.next_turn, self.is_retry) = (Some(now), true);
                }
            }
            CommitOutcome::NotApplied(_) | CommitOutcome::Unknown => {}
        }
    }

    /// Applies all rows of accounts and routers as they were read.
    pub fn apply_rows(&mut self, accounts: &[Row], holdings: &[Row], now: Timestamp) {
        self.is_loaded = true;
        self.read_at = Some(now);
        let mut rows = HashMap::default();
        for row in accounts {
            let Some(name) = name_from_key(row.key.as_str(), ACCOUNT_PREFIX) else { continue };
            match row.decode::<AllowanceRow>() {
                Ok(read) => {
                    rows.insert(name.into(), (read, row.revision));
                }
                Err(error) => {
                    log::error!("{error}");
                    rows.extend(self.rows.remove_entry(name));
                }
            }
        }
        self.rows = rows;
        for (name, allowance) in &mut self.accounts {
            let row = self.rows.get(name).map(|(row, _)| row.clone()).unwrap_or_default();
            allowance.confirm_limit(&row);
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

    /// Determines the outcome of the commit in progress from the rows that were read.
    fn resolve_pending(&mut self, now: Timestamp) {
        let Some(pending) = &self.pending else { return };
        if self.holdings.as_ref().is_some_and(|(row, _)| row.mark == pending.holdings.mark) {
            self.record_declaration(now);
            self.finish(true, now);
            return;
        }
        let is_replaced = pending.commit.preconditions.iter().any(|it| {
            let key = it.key().as_str();
            let revision = match name_from_key(key, ACCOUNT_PREFIX) {
                Some(name) => self.rows.get(name).map(|(_, revision)| *revision),
                None if *it.key() == RecoveryRow::key() => self.eras.revision(),
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
                allowance.confirm_limit(row);
            }
            self.rows.insert(name.clone(), (row.clone(), revision));
        }
        self.record_declaration(now);
        self.finish(true, now);
    }

    fn record_declaration(&mut self, now: Timestamp) {
        self.declared_at = Some(now);
    }

    fn finish(&mut self, is_applied: bool, now: Timestamp) {
        let Some(pending) = self.pending.take() else { return };
        let number = pending.holdings.mark.number;
        let (holds_back_draws, mut held_back) = (self.eras.number().is_some(), Vec::new());
        for (name, allowance) in &mut self.accounts {
            let change = pending.changes.iter().find(|(it, ..)| it == name);
            let change = change.map(|(_, change, _)| *change).unwrap_or_default();
            let is_held_back = holds_back_draws && is_applied && change.draw > 0;
            allowance.finish_commit(&change, number, is_applied, is_held_back);
            if is_held_back {
                let row = pending.changes.iter().find(|(it, ..)| it == name);
                let row = row.and_then(|(_, _, row)| row.clone());
                held_back.push((name.clone(), change.draw, row));
            }
        }
        for (name, tokens, row) in held_back {
            self.hold_back_draw(number, (&name, tokens), row.as_ref(), now);
        }
        if is_applied {
            for (name, tokens) in &pending.taken_over {
                if let Some(allowance) = self.accounts.get_mut(name) {
                    log::info!(account:% = name, tokens, commit = number; "tokens of the earlier process taken over");
                    allowance.take_over(*tokens, now);
                }
            }
        }
    }
}

/// Returns the time between two commits of a router that is no holder.
fn turn_interval(routers: usize) -> Duration {
    if routers <= HOLDERS_MAX {
        return Duration::ZERO;
    }
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    Duration::from_millis(1_000 / TURNS_PER_S) * routers
}

pub(super) fn precondition(key: Key, revision: Option<Revision>) -> Precondition {
    match revision {
        Some(revision) => Precondition::Revision(key, revision),
        None => Precondition::Absent(key),
    }
}

/// Returns the name that follows `prefix` in a key; `None` if the key has another prefix.
fn name_from_key<'a>(key: &'a str, prefix: &str) -> Option<&'a str> {
    key.strip_prefix(prefix)?.strip_prefix('/')
}
