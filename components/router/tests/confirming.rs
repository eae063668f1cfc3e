//! Confirmation of plans on a table with injected faults, with Tokio time paused.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use async_trait::async_trait;
use budget::{BudgetRow, budget_key};
use config::{
    AUDIT_PREFIX, Account, CONFIG_CHANGES_PREFIX, Config, Deposit, Intent, Plan, VersionRow,
};
use errors::ErrorKind;
use platform::{Commit, CommitOutcome, Key, PlatformError, Precondition, Row, Table, Write};
use rand::{Rng as _, seq::SliceRandom as _};
use router::{
    admin::{AdminError, BusyEndpoints, NoResolver, confirm_plan, make_plan},
    configuration::read_config,
};
use standins::{CallLimits, MemoryTable, TableFaults};
use types::{AccountName, ConfigVersion, DepositId, OperatorName, Tokens};

const SEEDS: std::ops::Range<u64> = 0..40;

fn table(seed: u64) -> MemoryTable {
    MemoryTable::new(CallLimits::new(100_000, 100_000), seed)
}

fn operator(name: &str) -> OperatorName {
    OperatorName::new(name).unwrap()
}

fn account(name: &str) -> AccountName {
    AccountName::new(name).unwrap()
}

fn weight_intent(name: &str, weight: u32) -> Intent {
    let mut intent = Intent::default();
    intent.set.accounts.insert(account(name), Account { weight, ..Account::default() });
    intent
}

fn deposit(id: &str, name: &str, tokens: u64) -> Deposit {
    Deposit { id: DepositId::new(id).unwrap(), account: account(name), tokens: Tokens(tokens) }
}

async fn plan(table: &dyn Table, intent: &Intent) -> Plan {
    let base = read_config(table, &Arc::default()).await.unwrap().cfg;
    make_plan(table, &BusyEndpoints::new(), &base, intent, &operator("ada")).await.unwrap()
}

async fn confirm(table: &dyn Table, plan: &Plan, who: &str) -> Result<ConfigVersion, AdminError> {
    let known = Arc::default();
    let accepted = confirm_plan(table, &NoResolver, &known, &plan.id, &operator(who)).await?;
    Ok(accepted.version)
}

fn versions(table: &MemoryTable) -> Vec<VersionRow> {
    table.inspect(CONFIG_CHANGES_PREFIX).iter().map(|row| row.decode().unwrap()).collect()
}

async fn current(table: &dyn Table) -> Arc<Config> {
    read_config(table, &Arc::default()).await.unwrap().cfg
}

#[tokio::test(start_paused = true)]
async fn lost_answers_leave_one_version_one_deposit_and_the_same_result() {
    for seed in SEEDS {
        let table = table(seed);
        confirm(&table, &plan(&table, &weight_intent("coop", 1)).await, "ada").await.unwrap();
        let mut intent = weight_intent("coop", 2);
        intent.deposits.push(deposit("inv-1", "coop", 70));
        let plan = plan(&table, &intent).await;
        table.set_faults(TableFaults { lost_answers: 0.7, ..TableFaults::default() });
        let first = confirm(&table, &plan, "ada").await.unwrap();
        let second = confirm(&table, &plan, "bob").await.unwrap();
        assert_eq!((first, second), (ConfigVersion(2), ConfigVersion(2)), "seed {seed}");
        assert_eq!(versions(&table).len(), 2, "seed {seed}");
        assert_eq!(table.inspect(AUDIT_PREFIX).len(), 2, "seed {seed}");
        let budget: BudgetRow = table.inspect("budget/coop")[0].decode().unwrap();
        assert_eq!(budget.deposited, Tokens(70), "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn exactly_one_of_racing_operators_on_one_entry_wins() {
    for seed in SEEDS {
        let table = table(seed);
        confirm(&table, &plan(&table, &weight_intent("coop", 1)).await, "ada").await.unwrap();
        let mut plans = Vec::new();
        for weight in 2..22 {
            plans.push(plan(&table, &weight_intent("coop", weight)).await);
        }
        plans.shuffle(&mut utils::seeded_rng(seed));
        table.set_faults(TableFaults { lost_answers: 0.2, ..TableFaults::default() });
        let confirmations = plans.iter().map(|plan| confirm(&table, plan, "bob"));
        let results = futures::future::join_all(confirmations).await;
        let winners: Vec<_> = results.iter().filter(|it| it.is_ok()).collect();
        assert_eq!(winners.len(), 1, "seed {seed}");
        for error in results.iter().filter_map(|it| it.as_ref().err()) {
            assert_eq!(error.error.kind(), ErrorKind::StalePlan, "seed {seed}: {error}");
            assert!(!error.differences.is_empty());
        }
        assert_eq!(versions(&table).len(), 2, "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn racing_operators_on_different_entries_all_win_and_no_change_is_lost() {
    for seed in SEEDS {
        let table = table(seed);
        let mut plans = Vec::new();
        for number in 0..20 {
            plans
                .push(plan(&table, &weight_intent(&format!("account-{number}"), number + 1)).await);
        }
        table.set_faults(TableFaults { lost_answers: 0.1, ..TableFaults::default() });
        let confirmations = plans.iter().map(|plan| async {
            // `StoreUnavailable` from busy rows is not a conflict: like the operator's tool, this
            // confirms again.
            for _ in 0..20 {
                match confirm(&table, plan, "bob").await {
                    Err(error) if error.error.kind() == ErrorKind::StoreUnavailable => {}
                    result => return result,
                }
            }
            panic!("the rows were still busy after 20 confirmations");
        });
        let results = futures::future::join_all(confirmations).await;
        assert!(results.iter().all(Result::is_ok), "seed {seed}: {results:?}");
        let cfg = current(&table).await;
        assert_eq!(cfg.accounts.len(), 20, "seed {seed}");
        assert_eq!(cfg.version, ConfigVersion(20), "seed {seed}");
        let numbers: Vec<_> = versions(&table).iter().map(|row| row.version.0).collect();
        assert_eq!(numbers, (1..=20).collect::<Vec<_>>(), "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn deposit_in_two_plans_is_made_once_and_another_amount_conflicts() {
    let table = table(1);
    confirm(&table, &plan(&table, &weight_intent("coop", 1)).await, "ada").await.unwrap();
    let pay =
        |tokens| Intent { deposits: vec![deposit("inv-1", "coop", tokens)], ..Intent::default() };
    let plans =
        [plan(&table, &pay(70)).await, plan(&table, &pay(70)).await, plan(&table, &pay(80)).await];
    assert_eq!(confirm(&table, &plans[0], "ada").await.unwrap(), ConfigVersion(1));
    assert_eq!(confirm(&table, &plans[1], "ada").await.unwrap(), ConfigVersion(1));
    let error = confirm(&table, &plans[2], "ada").await.unwrap_err();
    insta::assert_snapshot!(error, @"
    the plan conflicts with configuration version 1; nothing was changed; create a new plan
      deposit inv-1 was made in the meantime with 70 tokens to account coop
    ");
    let budget: BudgetRow = table.inspect("budget/coop")[0].decode().unwrap();
    assert_eq!(budget.deposited, Tokens(70));
}

#[tokio::test(start_paused = true)]
async fn deposit_keeps_what_is_settled_and_granted_in_the_meantime() {
    let table = table(1);
    confirm(&table, &plan(&table, &weight_intent("coop", 1)).await, "ada").await.unwrap();
    let intent = Intent { deposits: vec![deposit("inv-1", "coop", 70)], ..Intent::default() };
    let plan = plan(&table, &intent).await;
    let busy = BudgetRow { deposited: Tokens(100), settled: Tokens(60), granted: Tokens(30) };
    let writes = vec![Write::put(budget_key(&account("coop")), &busy)];
    table.commit_directly(&Commit { writes, ..Commit::default() });
    confirm(&table, &plan, "ada").await.unwrap();
    let budget: BudgetRow = table.inspect("budget/coop")[0].decode().unwrap();
    assert_eq!(budget, BudgetRow { deposited: Tokens(170), ..busy });
}

#[tokio::test(start_paused = true)]
async fn plan_that_depends_on_a_removed_entry_is_stale() {
    let table = table(1);
    let mut base = weight_intent("coop", 1);
    let action = serde_json::json!({ "service": "portal", "path": "/x", "idempotent": true,
        "price": 1, "timeout_ms": 5 });
    base.set.services.insert("portal".parse().unwrap(), config::Service::default());
    base.set.actions.insert("order".parse().unwrap(), serde_json::from_value(action).unwrap());
    confirm(&table, &plan(&table, &base).await, "ada").await.unwrap();
    let mut allow = weight_intent("guild", 1);
    let guild = allow.set.accounts.get_mut(&account("guild")).unwrap();
    guild.actions.insert("order".parse().unwrap());
    let allow = plan(&table, &allow).await;
    let mut remove = Intent::default();
    remove.remove.actions.insert("order".parse().unwrap());
    confirm(&table, &plan(&table, &remove).await, "bob").await.unwrap();
    let error = confirm(&table, &allow, "ada").await.unwrap_err();
    insta::assert_snapshot!(error.differences.join("\n"), @"fault in the resulting configuration: accounts.guild.actions.order: there is no such action");
}

#[tokio::test(start_paused = true)]
async fn plan_expires() {
    let table = table(1);
    let mut made = plan(&table, &weight_intent("coop", 1)).await;
    made.expires_at = types::UnixMillis(1);
    let row = config::PlanRow { state: config::PlanState::Open, plan: made.clone() };
    let key = Key::new(&format!("plan/{}", made.id)).unwrap();
    table.commit_directly(&Commit {
        writes: vec![Write::put(key.clone(), &row)],
        ..Commit::default()
    });
    // The commit of an earlier confirmation is delayed and its answer lost.
    let mut open = made.clone();
    open.expires_at = types::UnixMillis(u64::MAX);
    let delayed = DelayedCommitTable { inner: table.clone(), pending: std::sync::Mutex::default() };
    let row_of = |plan: &Plan| {
        let state = config::PlanState::Open;
        Write::put(key.clone(), &config::PlanRow { state, plan: plan.clone() })
    };
    table.commit_directly(&Commit { writes: vec![row_of(&open)], ..Commit::default() });
    let lost =
        tokio::time::timeout(std::time::Duration::from_millis(1), confirm(&delayed, &open, "ada"));
    assert!(lost.await.is_err());
    let mut delayed_commit = delayed.pending.lock().unwrap().take().unwrap();
    // The plan expires while its row still matches the precondition of that commit.
    table.commit_directly(&Commit { writes: vec![row_of(&made)], ..Commit::default() });
    let revision = table.inspect(key.as_str())[0].revision;
    for precondition in &mut delayed_commit.preconditions {
        if *precondition.key() == key {
            *precondition = Precondition::Revision(key.clone(), revision);
        }
    }
    for _ in 0..2 {
        let error = confirm(&table, &made, "ada").await.unwrap_err();
        assert_eq!(error.error.kind(), ErrorKind::PlanExpired);
    }
    assert!(matches!(table.commit_directly(&delayed_commit), CommitOutcome::Conflict(_)));
    assert!(versions(&table).is_empty());
}

#[tokio::test(start_paused = true)]
async fn versions_and_snapshots_give_the_same_configuration_to_every_reader() {
    let table = table(3);
    let mut follower: Arc<Config> = Arc::default();
    let mut rng = utils::seeded_rng(3);
    for step in 0..150_u32 {
        let name = format!("account-{}", rng.random_range(0..20));
        let plan = plan(&table, &weight_intent(&name, step + 1)).await;
        confirm(&table, &plan, "ada").await.unwrap();
        if rng.random_bool(0.3) {
            follower = read_config(&table, &follower).await.unwrap().cfg;
            assert_eq!(follower, current(&table).await, "step {step}");
        }
    }
    assert_eq!(current(&table).await.version, ConfigVersion(150));
}

/// A table that ignores the preconditions on some rows, to verify that the tests of this file
/// detect a missing precondition.
struct UncheckedTable {
    inner: MemoryTable,
    ignored_prefixes: &'static [&'static str],
}

#[async_trait]
impl Table for UncheckedTable {
    async fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, PlatformError> {
        let rows = self.inner.read(keys).await;
        // Lets other operators commit between the read and the commit.
        tokio::time::sleep(std::time::Duration::from_millis(3)).await;
        rows
    }

    async fn scan(&self, prefix: &str, after: Option<&Key>) -> Result<Vec<Row>, PlatformError> {
        self.inner.scan(prefix, after).await
    }

    async fn commit(&self, commit: &Commit) -> CommitOutcome {
        let mut commit = commit.clone();
        commit.preconditions.retain(|precondition| {
            !self
                .ignored_prefixes
                .iter()
                .any(|prefix| precondition.key().as_str().starts_with(prefix))
        });
        self.inner.commit(&commit).await
    }
}

/// Lets two operators confirm plans for the same entry concurrently, each with a deposit of
/// the same id. Returns how many succeeded and the deposited tokens.
async fn race_without_preconditions(ignored_prefixes: &'static [&'static str]) -> (usize, Tokens) {
    let inner = table(1);
    confirm(&inner, &plan(&inner, &weight_intent("coop", 1)).await, "ada").await.unwrap();
    let mut plans = Vec::new();
    for weight in [2, 3] {
        let deposits = vec![deposit("inv-1", "coop", 70)];
        plans.push(plan(&inner, &Intent { deposits, ..weight_intent("coop", weight) }).await);
    }
    let table = UncheckedTable { inner: inner.clone(), ignored_prefixes };
    let confirmations = plans.iter().map(|plan| confirm(&table, plan, "bob"));
    let results = futures::future::join_all(confirmations).await;
    let budget: BudgetRow = inner.inspect("budget/coop")[0].decode().unwrap();
    (results.iter().filter(|result| result.is_ok()).count(), budget.deposited)
}

#[tokio::test(start_paused = true)]
async fn checks_find_a_missing_precondition() {
    assert_eq!(race_without_preconditions(&[]).await, (1, Tokens(70)));
    // Without the preconditions on the version both succeed, and one change is lost.
    assert_eq!(race_without_preconditions(&["config/", "deposit/", "budget/"]).await.0, 2);
    // The precondition on the deposit row alone still prevents a second deposit.
    assert_eq!(race_without_preconditions(&["config/", "budget/"]).await.1, Tokens(70));
}

/// A table that delays commits: the first answer is lost, and the commit is applied just
/// before the next one.
struct DelayedCommitTable {
    inner: MemoryTable,
    pending: std::sync::Mutex<Option<Commit>>,
}

#[async_trait]
impl Table for DelayedCommitTable {
    async fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, PlatformError> {
        self.inner.read(keys).await
    }

    async fn scan(&self, prefix: &str, after: Option<&Key>) -> Result<Vec<Row>, PlatformError> {
        self.inner.scan(prefix, after).await
    }

    async fn commit(&self, commit: &Commit) -> CommitOutcome {
        let pending = self.pending.lock().unwrap().take();
        if let Some(pending) = pending {
            self.inner.commit(&pending).await;
            return self.inner.commit(commit).await;
        }
        *self.pending.lock().unwrap() = Some(commit.clone());
        CommitOutcome::Unknown
    }
}

#[tokio::test(start_paused = true)]
async fn commit_that_lands_after_its_retry_was_decided_takes_effect_once() {
    let inner = table(1);
    confirm(&inner, &plan(&inner, &weight_intent("coop", 1)).await, "ada").await.unwrap();
    let intent =
        Intent { deposits: vec![deposit("inv-1", "coop", 70)], ..weight_intent("coop", 2) };
    let plan = plan(&inner, &intent).await;
    let delayed = DelayedCommitTable { inner: inner.clone(), pending: std::sync::Mutex::default() };
    assert_eq!(confirm(&delayed, &plan, "ada").await.unwrap(), ConfigVersion(2));
    let budget: BudgetRow = inner.inspect("budget/coop")[0].decode().unwrap();
    assert_eq!(budget.deposited, Tokens(70));
    assert_eq!(versions(&inner).len(), 2);
}
