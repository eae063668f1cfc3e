//! A simulated router.

use std::sync::Arc;

use platform::{Commit, Era, Row};
use relay::{
    allowance::{HoldingsRow, Reservation, RouterAllowances, RouterProcess, Stage, WitnessRecords},
    model::Account,
};
use utils::HashMap;

use crate::{ACCOUNT, ROUTERS};

/// A router: its allowances, the declarations that it stores as a witness, and its running requests
/// with the tokens that they have used.
pub(crate) struct Router {
    pub(crate) name: Arc<str>,
    pub(crate) process: u64,
    pub(crate) allowances: RouterAllowances,
    pub(crate) records: WitnessRecords,
    pub(crate) running: Vec<(Reservation, u64)>,
    /// Time of the store, in milliseconds, and the step in which the router learned it.
    pub(crate) store_time: Option<(u64, u64)>,
    /// Step in which the router restarts after a crash.
    pub(crate) down_until: Option<u64>,
    pub(crate) last_taken_over: u64,
    /// Era of the store when it began to read rows.
    pub(crate) era_at_read: Option<Era>,
    /// Version of the limit that it knows.
    pub(crate) version: u64,
    /// How far its call to the store has come.
    pub(crate) sync: SyncStep,
    pub(crate) stage: Stage,
    /// Step in which the process ends at the latest, once it is shutting down.
    pub(crate) ends_at: Option<u64>,
}

impl Router {
    pub(crate) fn start(name: Arc<str>, process: u64, account: &ConfiguredAccount) -> Router {
        let mut allowances = RouterAllowances::new(name.clone(), process);
        allowances.set_accounts(&account.by_key(), account.version);
        let holders: Vec<Arc<str>> = (0..ROUTERS).map(|it| format!("router-{it}").into()).collect();
        allowances.set_holders(&holders);
        Router {
            name,
            process,
            allowances,
            records: WitnessRecords::default(),
            running: Vec::new(),
            store_time: None,
            down_until: None,
            last_taken_over: 0,
            era_at_read: None,
            version: account.version,
            sync: SyncStep::Idle,
            stage: Stage::Serving,
            ends_at: None,
        }
    }

    /// Ends all requests with the tokens that they have used.
    pub(crate) fn end_requests(&mut self) {
        for (reservation, used) in std::mem::take(&mut self.running) {
            self.allowances.settle(reservation, used);
        }
    }

    pub(crate) fn held(&self) -> u64 {
        self.allowances.account(ACCOUNT).map_or(0, |it| it.held())
    }

    /// Returns how many tokens a commit takes over: those that it declares beyond the held ones.
    pub(crate) fn taken_over(&self, commit: &Commit) -> u64 {
        let (true, Some(value)) = (commit.writes.len() == 1, &commit.writes[0].value) else {
            return 0;
        };
        let Ok(row) = serde_json::from_str::<HoldingsRow>(value) else { return 0 };
        let declared = row.accounts.get(ACCOUNT).map_or(0, |it| it.held);
        declared.saturating_sub(self.held())
    }

    pub(crate) fn identity(&self) -> RouterProcess {
        RouterProcess { router: self.name.clone(), process: self.process }
    }
}

/// Steps in which a router reads its rows and then commits. Other commits may take effect in between.
#[derive(Debug, Clone, Default)]
pub(crate) enum SyncStep {
    /// It has read nothing since its last commit.
    #[default]
    Idle,
    /// It has read the accounts' rows, but not the holdings rows.
    AccountsRead(Vec<Row>),
    /// It has read all rows and commits next.
    RowsRead,
}

/// The account as the operator has configured it.
pub(crate) struct ConfiguredAccount {
    pub(crate) limit: u64,
    pub(crate) version: u64,
}

impl ConfiguredAccount {
    pub(crate) fn by_key(&self) -> HashMap<Arc<str>, Arc<Account>> {
        let account =
            Account { name: ACCOUNT.into(), priority: None, prepaid_tokens: Some(self.limit) };
        [(Arc::from("key"), Arc::new(account))].into_iter().collect()
    }
}
