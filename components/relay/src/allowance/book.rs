//! All accounts' tokens on one router, and the commits that move them.

use std::sync::Arc;

use platform::{Commit, CommitOutcome, Precondition, Revision, Row, Write};
use types::Timestamp;
use utils::HashMap;

use super::{
    account::{AccountAllowance, Change, changed_row},
    row::{AllowanceRow, KEY_PREFIX, Mark},
};
use crate::model::Account;

/// Why a request gets no tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The account has spent so much that the request does not fit any more.
    Exhausted,
    /// Other routers hold the tokens, or the store did not answer yet.
    OutOfReach,
}

/// Tokens reserved for one request; to be settled exactly once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation is to be settled"]
pub struct Reservation {
    /// Account.
    pub account: Arc<str>,
    /// Tokens.
    pub tokens: u64,
}

/// A commit whose outcome is not known yet.
#[derive(Debug, Clone)]
struct Pending {
    /// The commit.
    commit: Commit,
    /// Its mark in the rows.
    mark: Mark,
    /// Changes by account.
    changes: Vec<(Arc<str>, Change)>,
}

/// All accounts' tokens on one router.
#[derive(Debug)]
pub struct AllowanceBook {
    /// Name of this router.
    router: Arc<str>,
    /// Mark of the last commit.
    mark: Mark,
    /// Tokens by account.
    accounts: HashMap<Arc<str>, AccountAllowance>,
    /// Rows as they were last read or written, with their revisions.
    rows: HashMap<Arc<str>, (AllowanceRow, Option<Revision>)>,
    /// Whether the rows were ever read.
    is_loaded: bool,
    /// Whether the last call to the store failed.
    is_store_lost: bool,
    /// The commit in progress; there is one at most.
    pending: Option<Pending>,
}

impl AllowanceBook {
    /// Creates the book of a router; `process` differs in each process of its name.
    pub fn new(router: Arc<str>, process: u64) -> AllowanceBook {
        AllowanceBook {
            router,
            mark: Mark { process, number: 0 },
            accounts: HashMap::default(),
            rows: HashMap::default(),
            is_loaded: false,
            is_store_lost: false,
            pending: None,
        }
    }

    /// Takes over the accounts of a version of the desired state.
    pub fn set_accounts(&mut self, accounts: &HashMap<Arc<str>, Arc<Account>>, version: u64) {
        for account in accounts.values() {
            if let Some(limit) = account.prepaid_tokens {
                let allowance = self.accounts.entry(account.name.clone()).or_default();
                allowance.set_limit(limit, version);
            }
        }
    }

    /// Reserves tokens of `account`.
    ///
    /// # Errors
    /// Where they are not available on this router.
    pub fn reserve(&mut self, account: &Arc<str>, tokens: u64) -> Result<Reservation, Shortage> {
        let row = self.rows.get(account).map(|(row, _)| row);
        let allowance = self.accounts.entry(account.clone()).or_default();
        if allowance.reserve(tokens) {
            return Ok(Reservation { account: account.clone(), tokens });
        }
        match row {
            Some(row) if allowance.is_exhausted(row, tokens) => Err(Shortage::Exhausted),
            _ => Err(Shortage::OutOfReach),
        }
    }

    /// Ends a reservation of which `used` tokens were spent.
    pub fn settle(&mut self, reservation: Reservation, used: u64, now: Timestamp) {
        if let Some(allowance) = self.accounts.get_mut(&reservation.account) {
            allowance.settle(reservation.tokens, used, now);
        }
    }

    /// Tells whether the store will not give `tokens` of `account` soon: it does not answer,
    /// or the account has too few undrawn ones.
    pub fn needs_loan(&self, account: &str, tokens: u64) -> bool {
        let undrawn = self.rows.get(account).zip(self.accounts.get(account));
        let undrawn = undrawn.map_or(0, |((row, _), it)| it.undrawn(row));
        self.is_store_lost || undrawn < tokens
    }

    /// Notes whether the store answers.
    pub fn note_store(&mut self, is_answering: bool) {
        self.is_store_lost = !is_answering;
    }

    /// Takes out tokens of `account` to lend them; returns how many. They count as drawn by
    /// the borrower from here on: if it never gets them, they count as spent.
    pub fn lend(&mut self, account: &str, wanted: u64, now: Timestamp) -> u64 {
        self.accounts.get_mut(account).map_or(0, |it| it.lend(wanted, now))
    }

    /// Takes in tokens that another router lent.
    pub fn borrow(&mut self, account: &str, tokens: u64) {
        if let Some(allowance) = self.accounts.get_mut(account) {
            allowance.borrow(tokens);
        }
    }

    /// Returns the tokens of an account.
    pub fn account(&self, name: &str) -> Option<&AccountAllowance> {
        self.accounts.get(name)
    }

    /// Returns all accounts' names and the tokens held.
    pub fn holdings(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.accounts.iter().map(|(name, it)| (name, it.held()))
    }

    /// Tells whether the rows are to be read before a commit can be made.
    pub fn needs_read(&self) -> bool {
        let is_unsure = self.accounts.values().any(|it| !it.is_confirmed());
        !self.is_loaded || self.pending.is_some() || is_unsure
    }

    /// Tells whether the outcome of a commit is not known.
    pub fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the next commit; `None` where no row needs a change. A commit whose outcome
    /// is unknown is returned again: only one of its copies can take effect.
    pub fn next_commit(
        &mut self,
        routers: usize,
        is_leaving: bool,
        now: Timestamp,
    ) -> Option<Commit> {
        if let Some(pending) = &self.pending {
            return Some(pending.commit.clone());
        }
        if !self.is_loaded {
            return None;
        }
        let mark = Mark { number: self.mark.number + 1, ..self.mark };
        let (mut commit, mut changes) = (Commit::default(), Vec::new());
        for (name, allowance) in &mut self.accounts {
            let (row, revision) = self.rows.entry(name.clone()).or_default();
            let Some(change) = allowance.plan(row, routers as u64, is_leaving, now) else {
                continue;
            };
            allowance.start(&change);
            log::info!(account:% = name, draw = change.draw, give_back = change.give_back, report = change.spent, held = allowance.held(), drawn = row.drawn, limit = allowance.limit(); "allowance to change");
            let key = AllowanceRow::key(name);
            let mut next = changed_row(row, &change, allowance.limit_version());
            next.marks.insert(self.router.clone(), mark);
            commit.preconditions.push(match revision {
                Some(revision) => Precondition::Revision(key.clone(), *revision),
                None => Precondition::Absent(key.clone()),
            });
            commit.writes.push(Write::put(key, &next));
            changes.push((name.clone(), change));
        }
        if changes.is_empty() {
            return None;
        }
        self.mark = mark;
        self.pending = Some(Pending { commit: commit.clone(), mark, changes });
        Some(commit)
    }

    /// Takes the outcome of the commit that [`next_commit`](Self::next_commit) returned.
    /// `was_sent_before` says that an earlier copy of it may still take effect.
    pub fn on_outcome(&mut self, outcome: &CommitOutcome, was_sent_before: bool) {
        match outcome {
            CommitOutcome::Committed(revision) => self.apply(*revision),
            CommitOutcome::NotApplied(_) if !was_sent_before => self.finish(false),
            // A conflict of a copy may be with the copy before: the rows tell.
            CommitOutcome::Conflict(_) => self.is_loaded = false,
            CommitOutcome::NotApplied(_) | CommitOutcome::Unknown => {}
        }
    }

    /// Takes over the rows as they were read.
    pub fn apply_rows(&mut self, rows: &[Row]) {
        self.is_loaded = true;
        for row in rows {
            let Some(name) = row.key.as_str().strip_prefix(KEY_PREFIX) else { continue };
            let name = name.trim_start_matches('/');
            match row.decode::<AllowanceRow>() {
                Ok(read) => {
                    if let Some(allowance) = self.accounts.get_mut(name) {
                        allowance.confirm(&read);
                    }
                    self.rows.insert(name.into(), (read, Some(row.revision)));
                }
                Err(error) => log::error!("{error}"),
            }
        }
        let (accounts, known) = (&mut self.accounts, &self.rows);
        for (name, allowance) in accounts.iter_mut() {
            match known.get(name) {
                Some((row, _)) => allowance.confirm(row),
                None => allowance.confirm(&AllowanceRow::default()),
            }
        }
        self.resolve_pending();
    }

    /// Decides the commit in progress by the rows that were read.
    fn resolve_pending(&mut self) {
        let Some(pending) = &self.pending else { return };
        let Some((first, _)) = pending.changes.first() else { return };
        let read = self.rows.get(first);
        let found = read.and_then(|(row, _)| row.marks.get(&self.router));
        if found == Some(&pending.mark) {
            self.finish(true);
            return;
        }
        let is_replaced = pending.commit.preconditions.iter().any(|it| {
            let name = it.key().as_str().trim_start_matches(KEY_PREFIX).trim_start_matches('/');
            let revision = self.rows.get(name).and_then(|(_, revision)| *revision);
            match it {
                Precondition::Absent(_) => revision.is_some(),
                Precondition::Revision(_, expected) => revision != Some(*expected),
            }
        });
        // While all rows are as the commit expects, it may still take effect.
        if is_replaced {
            self.finish(false);
        }
    }

    fn apply(&mut self, revision: Revision) {
        let Some(pending) = &self.pending else { return };
        for ((name, _), write) in pending.changes.iter().zip(&pending.commit.writes) {
            let value = write.value.as_deref().unwrap_or_default();
            match serde_json::from_str::<AllowanceRow>(value) {
                Ok(row) => {
                    if let Some(allowance) = self.accounts.get_mut(name) {
                        allowance.confirm(&row);
                    }
                    self.rows.insert(name.clone(), (row, Some(revision)));
                }
                Err(error) => log::error!("own row of {name} cannot be read: {error}"),
            }
        }
        self.finish(true);
    }

    fn finish(&mut self, is_applied: bool) {
        let Some(pending) = self.pending.take() else { return };
        for (name, change) in &pending.changes {
            if let Some(allowance) = self.accounts.get_mut(name) {
                allowance.finish(change, is_applied);
            }
        }
    }
}
