//! All accounts' tokens on one router, and the commits that move them.

mod commits;
mod inheritance;
mod requests;
mod witnesses;

use std::sync::Arc;

use platform::{Revision, StoreTime};
use types::Timestamp;
use utils::HashMap;

pub use self::requests::LoanStep;
use self::{commits::Pending, inheritance::Inheritance};
use super::{
    account::AccountAllowance,
    holders::{HOLDERS_MAX, Role, last_holder},
    rows::{AllowanceRow, HoldingsRow, Mark},
    witness::RouterProcess,
};
use crate::model::Account;

/// Why a request gets no tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The account has spent so much that the request does not fit any more.
    Exhausted,
    /// Other routers hold the tokens, or the store did not answer yet.
    OutOfReach,
    /// A moment ago neither the store nor another router had as many.
    RecentlyRefused,
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

/// How far a router is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It serves.
    Serving,
    /// It serves callers that have not learned yet that it is leaving.
    Leaving,
    /// Its last request has ended.
    Ended,
}

/// What the next commit depends on.
#[derive(Debug, Clone, Copy)]
pub struct CommitInputs {
    /// Routers that share the accounts.
    pub routers: usize,
    /// Whether this router serves, leaves or has ended its requests.
    pub stage: Stage,
    /// Latest known time of the store.
    pub store_time: Option<StoreTime>,
    /// Present time.
    pub now: Timestamp,
}

/// All accounts' tokens on one router.
#[derive(Debug)]
pub struct RouterAllowances {
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
    /// When the rows were last read.
    read_at: Option<Timestamp>,
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
    /// What this router does about tokens that it lacks.
    role: Role,
    /// Holders, in the order in which this router asks them; it may be one itself.
    holders: Vec<Arc<str>>,
}

impl RouterAllowances {
    /// Creates the book of a router; `process` differs in each process of its name.
    pub fn new(router: Arc<str>, process: u64) -> RouterAllowances {
        RouterAllowances {
            router,
            mark: Mark { process, number: 0 },
            accounts: HashMap::default(),
            rows: HashMap::default(),
            holdings: None,
            is_loaded: false,
            read_at: None,
            is_store_lost: false,
            declared_at: None,
            pending: None,
            witnesses: Vec::new(),
            witness_number: 0,
            inheritance: Inheritance::Unknown,
            role: Role::default(),
            holders: Vec::new(),
        }
    }

    /// Leaves the role of this router open until [`set_holders`](Self::set_holders).
    pub fn set_role_undecided(&mut self) {
        self.role = Role::Undecided;
    }

    /// Sets the holders, in the order in which this router asks them. Returns its role where
    /// that has changed.
    pub fn set_holders(&mut self, holders: &[Arc<str>]) -> Option<Role> {
        let is_holder = holders.contains(&self.router);
        let role = if is_holder { Role::Holder } else { Role::Borrower };
        self.holders = holders.to_vec();
        let is_changed = self.role != role;
        self.role = role;
        is_changed.then_some(role)
    }

    /// Returns what this router does about tokens that it lacks.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns what this router does about tokens of an account that it lacks.
    pub fn role_for(&self, account: &str) -> Role {
        let is_low = self.accounts.get(account).is_some_and(AccountAllowance::is_low);
        self.role_where(account, is_low)
    }

    fn role_where(&self, account: &str, is_low: bool) -> Role {
        let is_last = || last_holder(account, &self.holders).is_none_or(|it| *it == self.router);
        match self.role {
            Role::Holder if is_low && !is_last() => Role::Borrower,
            role => role,
        }
    }

    /// Returns the holders other than this router, in the order in which it asks them for
    /// tokens of an account.
    pub fn lenders(&self, account: &str) -> Vec<Arc<str>> {
        let is_low = self.accounts.get(account).is_some_and(AccountAllowance::is_low);
        let mut lenders = self.holders.clone();
        if is_low && let Some(last) = last_holder(account, &self.holders) {
            lenders.sort_by_key(|it| it != last);
        }
        lenders.retain(|it| *it != self.router);
        lenders
    }

    /// Returns the number of routers that draw an account's tokens.
    fn drawers(routers: usize, is_low: bool) -> u64 {
        if is_low { 1 } else { routers.clamp(1, HOLDERS_MAX) as u64 }
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

    /// Returns the row of an account as it was last read or written; an empty one where there
    /// is none.
    fn row(&self, account: &str) -> AllowanceRow {
        self.rows.get(account).map(|(row, _)| row.clone()).unwrap_or_default()
    }

    /// Returns each account's tokens that are held, and those of them that are reserved.
    pub fn holdings(&self) -> impl Iterator<Item = (&Arc<str>, u64, u64)> {
        self.accounts.iter().map(|(name, it)| (name, it.held(), it.reserved()))
    }

    /// Returns the tokens of an account.
    pub fn account(&self, name: &str) -> Option<&AccountAllowance> {
        self.accounts.get(name)
    }
}
