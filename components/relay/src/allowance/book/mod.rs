//! The tokens of all accounts on one router, and the commits that move them.

mod commits;
mod draws;
mod eras;
mod inheritance;
mod requests;
mod witnesses;

use std::{sync::Arc, time::Duration};

use platform::{Revision, StoreTime};
use types::Timestamp;
use utils::HashMap;

use self::{commits::PendingCommit, eras::EraState, inheritance::Takeover};
pub use self::{draws::DrawNotice, requests::LoanStep};
use super::{
    account::AccountAllowance,
    holders::{HOLDERS_MAX, Role, sole_holder},
    rows::{AllowanceRow, CommitId, HoldingsRow},
    witness::RouterProcess,
};
use crate::model::Account;

/// Interval at which the rows are read while the store's era is being recovered.
const RECOVERY_POLL: Duration = Duration::from_millis(150);

/// Why a request gets no tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The account has too few unspent tokens for the request.
    Exhausted,
    /// Other routers hold the tokens, or the store has not answered yet.
    OutOfReach,
    /// A request for as many tokens or fewer was refused recently, because neither the store nor
    /// another router had enough.
    RecentlyRefused,
}

/// Tokens reserved for one request; must be settled exactly once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation must be settled"]
pub struct Reservation {
    /// Account that the tokens belong to.
    pub account: Arc<str>,
    /// Number of reserved tokens.
    pub tokens: u64,
}

/// Shutdown stage of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It serves requests.
    Serving,
    /// It is leaving, but still serves callers that do not know this yet.
    Leaving,
    /// Its last request has ended.
    Ended,
}

/// External values that the next commit depends on.
#[derive(Debug, Clone, Copy)]
pub struct CommitInputs {
    /// Number of routers that share the accounts.
    pub routers: usize,
    /// Shutdown stage of this router.
    pub stage: Stage,
    /// Latest known time of the store.
    pub store_time: Option<StoreTime>,
    /// Current time.
    pub now: Timestamp,
}

/// The tokens of all accounts on one router.
#[derive(Debug)]
pub struct RouterAllowances {
    /// Name of this router.
    router: Arc<str>,
    /// Identifies the last commit of this process.
    last_commit_id: CommitId,
    /// Tokens by account.
    accounts: HashMap<Arc<str>, AccountAllowance>,
    /// Accounts' rows as last read or written, with their revisions.
    rows: HashMap<Arc<str>, (AllowanceRow, Revision)>,
    /// This router's row as last read or written, with its revision.
    holdings: Option<(HoldingsRow, Revision)>,
    /// Whether the rows were read since the start or the last conflict.
    is_loaded: bool,
    /// When the rows were last read.
    read_at: Option<Timestamp>,
    /// Whether the last call to the store failed.
    is_store_unavailable: bool,
    /// When this router's row was last written.
    declared_at: Option<Timestamp>,
    /// When this router may make its next commit if it is no holder.
    next_turn: Option<Timestamp>,
    /// Whether that commit follows a conflict.
    is_retry: bool,
    /// The commit in progress, of which there is at most one.
    pending: Option<PendingCommit>,
    /// Routers to which declarations are sent while the store is unavailable.
    witnesses: Vec<RouterProcess>,
    /// Number of the last declaration to the witnesses.
    witness_number: u64,
    /// Number of the last declaration that each witness has confirmed.
    confirmed_by: HashMap<RouterProcess, u64>,
    /// What this process takes over from the previous one.
    takeover: Takeover,
    /// Era of the store that the rows belong to.
    eras: EraState,
    /// How this router obtains the tokens that it lacks.
    role: Role,
    /// Holders, in the order in which this router asks them; it may be one itself.
    holders: Vec<Arc<str>>,
}

impl RouterAllowances {
    /// Creates the state of a router without tokens; `process` must differ between processes with
    /// the same router name.
    pub fn new(router: Arc<str>, process: u64) -> RouterAllowances {
        RouterAllowances {
            router,
            last_commit_id: CommitId { process, number: 0 },
            accounts: HashMap::default(),
            rows: HashMap::default(),
            holdings: None,
            is_loaded: false,
            read_at: None,
            is_store_unavailable: false,
            declared_at: None,
            next_turn: None,
            is_retry: false,
            pending: None,
            witnesses: Vec::new(),
            witness_number: 0,
            confirmed_by: HashMap::default(),
            takeover: Takeover::Unknown,
            eras: EraState::default(),
            role: Role::default(),
            holders: Vec::new(),
        }
    }

    /// Marks the role of this router as undecided until [`set_holders`](Self::set_holders) is
    /// called.
    pub fn set_role_undecided(&mut self) {
        self.role = Role::Undecided;
    }

    /// Sets the holders, in the order in which this router asks them. Returns this router's role if
    /// it has changed.
    pub fn set_holders(&mut self, holders: &[Arc<str>]) -> Option<Role> {
        let is_holder = holders.contains(&self.router);
        let role = if is_holder { Role::Holder } else { Role::Borrower };
        self.holders = holders.to_vec();
        let is_changed = self.role != role;
        self.role = role;
        is_changed.then_some(role)
    }

    /// Returns how this router obtains the tokens that it lacks.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns how this router obtains tokens of one account: a holder borrows them if few are left
    /// and another holder draws them.
    pub fn role_for(&self, account: &str) -> Role {
        let is_low = self.accounts.get(account).is_some_and(AccountAllowance::is_low);
        self.effective_role(account, is_low)
    }

    fn effective_role(&self, account: &str, is_low: bool) -> Role {
        let is_sole = || sole_holder(account, &self.holders).is_none_or(|it| *it == self.router);
        match self.role {
            Role::Holder if is_low && !is_sole() => Role::Borrower,
            role => role,
        }
    }

    /// Returns the holders other than this router, in the order in which it asks them for tokens of
    /// an account.
    pub fn lenders(&self, account: &str) -> Vec<Arc<str>> {
        let is_low = self.accounts.get(account).is_some_and(AccountAllowance::is_low);
        let mut lenders = self.holders.clone();
        if is_low && let Some(sole) = sole_holder(account, &self.holders) {
            lenders.sort_by_key(|it| it != sole);
        }
        lenders.retain(|it| *it != self.router);
        lenders
    }

    /// Returns how many routers draw an account's tokens: one if few are undrawn.
    fn drawing_routers(routers: usize, is_low: bool) -> u64 {
        if is_low { 1 } else { routers.clamp(1, HOLDERS_MAX) as u64 }
    }

    /// Sets the prepaid tokens of the accounts from a version of the desired state.
    pub fn set_accounts(&mut self, accounts: &HashMap<Arc<str>, Arc<Account>>, version: u64) {
        for account in accounts.values() {
            if let Some(limit) = account.prepaid_tokens {
                let allowance = self.accounts.entry(account.name.clone()).or_default();
                if allowance.limit() != limit {
                    log::info!(account:% = account.name, limit, before = allowance.limit(), version; "prepaid tokens set");
                }
                allowance.set_limit(limit, version);
            }
        }
    }

    /// Returns the row of an account as last read or written; an empty one if there is none.
    fn row(&self, account: &str) -> AllowanceRow {
        self.rows.get(account).map(|(row, _)| row.clone()).unwrap_or_default()
    }

    /// Returns all accounts with their tokens on this router.
    pub fn accounts(&self) -> impl Iterator<Item = (&Arc<str>, &AccountAllowance)> {
        self.accounts.iter()
    }

    /// Returns the tokens of an account; `None` if the account is unknown here.
    pub fn account(&self, name: &str) -> Option<&AccountAllowance> {
        self.accounts.get(name)
    }
}
