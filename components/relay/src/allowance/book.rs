//! All accounts' tokens on one router, and the commits that move them.

use std::{sync::Arc, time::Duration};

use platform::{Commit, CommitOutcome, Precondition, Revision, Row, StoreTime, Write};
use types::Timestamp;
use utils::HashMap;

use super::{
    account::{AccountAllowance, Change, changed_row},
    ceiling::{BINDING_TIME, binds_until},
    rows::{ACCOUNT_PREFIX, AllowanceRow, HoldingsRow, Mark},
    witness::{RouterProcess, WitnessDeclaration, WitnessWord},
};
use crate::model::Account;

/// Time between two declarations: what was spent since the last one need not be feared
/// lost.
const DECLARATION_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a request is refused at once after one that asked for no more tokens was
/// refused for want of them.
const SHORTAGE_TIME: Duration = Duration::from_millis(250);

/// Age of the last declaration to the store from which the witnesses are told too.
const WITNESS_AFTER: Duration = Duration::from_millis(1_000);

/// Witnesses of a router: with two, one of them may be lost while the store is away.
const WITNESSES: usize = 2;

/// Longest time for which a new process waits for the words of its predecessor's witnesses.
const WORD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Accounts in one commit at most; the store takes a hundred rows.
const COMMIT_ACCOUNTS_MAX: usize = 40;

/// Why a request gets no tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The account has spent so much that the request does not fit any more.
    Exhausted,
    /// Other routers hold the tokens, or the store did not answer yet.
    OutOfReach,
    /// A moment ago neither the store nor another router had as many.
    NoneInSight,
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

/// What the next commit depends on.
#[derive(Debug, Clone, Copy)]
pub struct CommitInputs {
    /// Routers that share the accounts.
    pub routers: usize,
    /// Whether this router is ending.
    pub is_leaving: bool,
    /// Latest known time of the store.
    pub store_time: Option<StoreTime>,
    /// Present time.
    pub now: Timestamp,
}

/// A commit whose outcome is not known yet.
#[derive(Debug, Clone)]
struct Pending {
    /// The commit.
    commit: Commit,
    /// The row of this router that it writes.
    holdings: HoldingsRow,
    /// Changes by account, with the accounts' rows after them.
    changes: Vec<(Arc<str>, Change, Option<AllowanceRow>)>,
    /// Tokens to take over from an earlier process, by account.
    adopted: Vec<(Arc<str>, u64)>,
}

/// What is known of the tokens that the predecessor of this process held.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Inheritance {
    /// Its row was not looked at yet.
    Unknown,
    /// Its witnesses are asked.
    Asked {
        /// Witnesses that have not answered.
        silent: Vec<RouterProcess>,
        /// What is kept by the words so far.
        kept: Vec<(Arc<str>, u64)>,
        /// Since when they are asked.
        since: Timestamp,
    },
    /// These are certainly unspent.
    Certain(Vec<(Arc<str>, u64)>),
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
    /// Accounts' rows as they were last read or written, with their revisions.
    rows: HashMap<Arc<str>, (AllowanceRow, Revision)>,
    /// This router's row as it was last read or written.
    holdings: Option<(HoldingsRow, Revision)>,
    /// Whether the rows are known.
    is_loaded: bool,
    /// Whether the last call to the store failed.
    is_store_lost: bool,
    /// When this router's row was last written.
    declared_at: Option<Timestamp>,
    /// The commit in progress; there is one at most.
    pending: Option<Pending>,
    /// Routers that take declarations while the store is away.
    witnesses: Vec<RouterProcess>,
    /// Number of the last declaration to the witnesses.
    witness_number: u64,
    /// What the predecessor of this process left.
    inheritance: Inheritance,
}

impl AllowanceBook {
    /// Creates the book of a router; `process` differs in each process of its name.
    pub fn new(router: Arc<str>, process: u64) -> AllowanceBook {
        AllowanceBook {
            router,
            mark: Mark { process, number: 0 },
            accounts: HashMap::default(),
            rows: HashMap::default(),
            holdings: None,
            is_loaded: false,
            is_store_lost: false,
            declared_at: None,
            pending: None,
            witnesses: Vec::new(),
            witness_number: 0,
            inheritance: Inheritance::Unknown,
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
    pub fn reserve(
        &mut self,
        account: &Arc<str>,
        tokens: u64,
        now: Timestamp,
    ) -> Result<Reservation, Shortage> {
        let row = self.rows.get(account).map(|(row, _)| row);
        let allowance = self.accounts.entry(account.clone()).or_default();
        if allowance.reserve(tokens, now) {
            return Ok(Reservation { account: account.clone(), tokens });
        }
        match row {
            Some(row) if allowance.is_exhausted(row, tokens) => Err(Shortage::Exhausted),
            _ if allowance.is_short(tokens, now) => Err(Shortage::NoneInSight),
            _ => Err(Shortage::OutOfReach),
        }
    }

    /// Notes that a request was refused that neither the store nor other routers had enough
    /// tokens for. Returns whether the account has undrawn tokens, which may come in reach.
    pub fn note_refusal(&mut self, account: &str, tokens: u64, now: Timestamp) -> bool {
        let Some(allowance) = self.accounts.get_mut(account) else { return false };
        let row = self.rows.get(account).map(|(row, _)| row);
        let is_in_sight = row.is_none_or(|row| allowance.undrawn(row) >= tokens);
        if !is_in_sight {
            allowance.note_shortage(tokens, now + SHORTAGE_TIME);
        }
        is_in_sight
    }

    /// Ends a reservation of which `used` tokens were spent.
    pub fn settle(&mut self, reservation: Reservation, used: u64) {
        if let Some(allowance) = self.accounts.get_mut(&reservation.account) {
            allowance.settle(reservation.tokens, used);
        }
    }

    /// Tells whether the store will not give `tokens` of `account` soon: it does not answer,
    /// or the account has too few undrawn ones.
    pub fn needs_loan(&self, account: &str, tokens: u64) -> bool {
        let known = self.rows.get(account).zip(self.accounts.get(account));
        let undrawn = known.map_or(0, |((row, _), it)| it.undrawn(row));
        self.is_store_lost || undrawn < tokens
    }

    /// Tells whether a request of `account` waits for tokens that are held but must not
    /// leave before the next declaration.
    pub fn needs_declaration(&self, account: &str, now: Timestamp) -> bool {
        self.accounts.get(account).is_some_and(|it| it.needs_declaration(now))
    }

    /// Tells whether more of `wanted` tokens can be lent after a declaration to the witness,
    /// which it then allows for.
    pub fn is_bound_below(&mut self, account: &str, wanted: u64, now: Timestamp) -> bool {
        let is_witnessed = self.declares_to_witness(now);
        let allowance = self.accounts.get_mut(account);
        is_witnessed && allowance.is_some_and(|it| it.want_to_lend(wanted, now))
    }

    /// Tells whether declarations go to the witness now.
    fn declares_to_witness(&self, now: Timestamp) -> bool {
        let is_old = self.declared_at.is_some_and(|at| now.since(at) >= WITNESS_AFTER);
        is_old && self.holdings.as_ref().is_some_and(|(row, _)| !row.witnesses.is_empty())
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
        let now = inputs.now;
        let is_old = self.declared_at.is_none_or(|at| now.since(at) >= DECLARATION_INTERVAL);
        let is_due = is_old || self.accounts.values().any(|it| it.needs_declaration(now));
        if changes.is_empty() && !is_due {
            return None;
        }
        let pending = self.prepare(changes, adopted, inputs);
        let commit = pending.commit.clone();
        self.pending = Some(pending);
        Some(commit)
    }

    fn plan(&mut self, inputs: &CommitInputs) -> Vec<(Arc<str>, Change)> {
        let mut changes = Vec::new();
        for (name, allowance) in &self.accounts {
            let row = self.rows.get(name).map(|(row, _)| row.clone()).unwrap_or_default();
            let routers = inputs.routers as u64;
            let change = allowance.plan(&row, routers, inputs.is_leaving, inputs.now);
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
            witnesses: self.witnesses.clone(),
            ..HoldingsRow::default()
        };
        for (name, allowance) in &mut self.accounts {
            let change = changes.iter().find(|(it, _)| it == name).map(|(_, it)| *it);
            let change = change.unwrap_or_default();
            let mut declared = allowance.declare(&change, now);
            let has_witness = !holdings.witnesses.is_empty();
            allowance.start(&change, declared, number, binds_until, has_witness);
            let taken_over = adopted.iter().find(|(it, _)| it == name).map_or(0, |(_, it)| *it);
            declared.held += taken_over;
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

    /// Returns the tokens that the predecessor of this process has certainly not spent;
    /// `None` while its witness is asked.
    fn inherited(&mut self, inputs: &CommitInputs) -> Option<Vec<(Arc<str>, u64)>> {
        let row = self.holdings.as_ref().map(|(row, _)| row);
        let Some(row) = row.filter(|it| it.mark.process != self.mark.process) else {
            return Some(Vec::new());
        };
        match &self.inheritance {
            Inheritance::Certain(tokens) => return Some(tokens.clone()),
            Inheritance::Asked { since, .. } if inputs.now.since(*since) < WORD_TIMEOUT => {
                return None;
            }
            Inheritance::Asked { silent, .. } => {
                log::warn!(silent:? = silent; "tokens of the earlier process count as spent: no word of its witnesses");
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
        log::warn!(age_ms = age_ms.unwrap_or_default(), accounts = row.accounts.len(); "tokens of the earlier process count as spent: its row is old");
        Some(self.settle_inheritance(Vec::new()))
    }

    fn settle_inheritance(&mut self, tokens: Vec<(Arc<str>, u64)>) -> Vec<(Arc<str>, u64)> {
        let mut tokens = tokens;
        tokens.retain(|(name, it)| *it > 0 && self.accounts.contains_key(name));
        self.inheritance = Inheritance::Certain(tokens.clone());
        tokens
    }

    /// Returns the witnesses to ask, and about which process.
    pub fn witness_question(&self) -> Option<(Vec<RouterProcess>, RouterProcess)> {
        let Inheritance::Asked { silent, .. } = &self.inheritance else { return None };
        let (row, _) = self.holdings.as_ref()?;
        let about = RouterProcess { router: self.router.clone(), process: row.mark.process };
        Some((silent.clone(), about))
    }

    /// Takes the word of `witness` about `about`.
    pub fn on_witness_word(
        &mut self,
        witness: &RouterProcess,
        about: &RouterProcess,
        word: &WitnessWord,
    ) {
        let is_asked = self
            .witness_question()
            .is_some_and(|(silent, asked_about)| silent.contains(witness) && asked_about == *about);
        let Some((row, _)) = self.holdings.as_ref().filter(|_| is_asked) else { return };
        let last_commit = row.mark.number;
        let Inheritance::Asked { silent, kept, .. } = &mut self.inheritance else { return };
        silent.retain(|it| it != witness);
        match word {
            WitnessWord::Nothing => {}
            WitnessWord::Declared(it) if it.last_commit < last_commit => {}
            WitnessWord::Declared(it) => {
                for (name, tokens) in kept.iter_mut() {
                    *tokens = (*tokens).min(it.kept.get(name).copied().unwrap_or_default());
                }
            }
            WitnessWord::Forgotten => kept.clear(),
        }
        if silent.is_empty() {
            let tokens = std::mem::take(kept);
            log::info!(witness:% = witness.router, accounts = tokens.len(); "tokens of the earlier process taken over by the word of its witnesses");
            self.settle_inheritance(tokens);
        }
    }

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
        let number = self.witness_number;
        let kept = self
            .accounts
            .iter_mut()
            .map(|(name, it)| (name.clone(), it.declare_to_witness(number, now)))
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

    /// Takes the outcome of the commit that [`next_commit`](Self::next_commit) returned.
    /// `is_resent` says that an earlier copy of it may have taken effect or may still do so.
    pub fn on_outcome(&mut self, outcome: &CommitOutcome, is_resent: bool, now: Timestamp) {
        match outcome {
            CommitOutcome::Committed(revision) => self.apply(*revision, now),
            CommitOutcome::NotApplied(_) if !is_resent => self.finish(false),
            // The rows tell which one it is with; it may be a copy of this commit.
            CommitOutcome::Conflict(_) => self.is_loaded = false,
            CommitOutcome::NotApplied(_) | CommitOutcome::Unknown => {}
        }
    }

    /// Takes over all accounts' rows and routers' rows as they were read.
    pub fn apply_rows(&mut self, accounts: &[Row], holdings: &[Row], now: Timestamp) {
        self.is_loaded = true;
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
            self.finish(true);
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
            self.finish(false);
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
        self.finish(true);
    }

    fn note_declared(&mut self, now: Timestamp) {
        self.declared_at = Some(now);
    }

    fn finish(&mut self, is_applied: bool) {
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
                    allowance.adopt(*tokens);
                }
            }
        }
    }
}

fn expect(key: platform::Key, revision: Option<Revision>) -> Precondition {
    match revision {
        Some(revision) => Precondition::Revision(key, revision),
        None => Precondition::Absent(key),
    }
}

/// Returns the name in a key that starts with `prefix`.
fn name_in<'a>(key: &'a str, prefix: &str) -> Option<&'a str> {
    key.strip_prefix(prefix)?.strip_prefix('/')
}
