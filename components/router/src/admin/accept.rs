//! Confirms plans.
//!
//! One commit writes the changes, the version, the deposits, the audit record and the state of
//! the plan. Its preconditions are that no other version was accepted in between and that the plan
//! is still open. A plan therefore takes effect at most once, and after a lost answer the plan's
//! row tells whether the commit was applied.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use budget::{BudgetRow, budget_key};
use config::{
    AUDIT_PREFIX, AuditRow, CONFIG_HEAD_KEY, CONFIG_KEY, Config, ConfigHead, Deposit, DepositRow,
    Plan, PlanRow, PlanState, SNAPSHOT_INTERVAL, StalePlan, VersionRow,
};
use errors::{Error, ErrorKind};
use platform::{Commit, CommitOutcome, Key, PlatformError, Precondition, Table, Write};
use types::{AccountName, ConfigVersion, OperatorName, PlanId, UnixMillis};
use utils::{jitter, new_rng};

use super::{
    AdminError, Resolver,
    budget_rows::{ReadRow, deposit_key, read_budget, read_deposit},
    plan_rows::{plan_key, read_plan},
};
use crate::configuration::{StoredConfig, read_config, store_error, version_key};

/// Maximum number of commit attempts per confirmation. The rows of a busy budget change many
/// times a second, and each change makes an attempt conflict.
const CONFIRM_ATTEMPTS_MAX: u32 = 40;

/// Mean delay between two commit attempts.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(25);

/// A confirmed plan and the configuration that includes it.
#[derive(Debug, Clone)]
pub struct AcceptedPlan {
    /// Version that the plan created, or the unchanged version if it only has deposits or
    /// resolutions.
    pub version: ConfigVersion,
    /// Operator who first confirmed the plan.
    pub by: OperatorName,
    /// When the plan was first confirmed.
    pub at: UnixMillis,
    /// Accepted configuration, at `version` or a later one.
    pub cfg: Arc<Config>,
}

/// Confirms the plan `id`. Idempotent: confirming again returns the same result.
///
/// # Errors
/// `NotFound`, `PlanExpired`, `StalePlan` with the differences, or `StoreUnavailable`: nothing
/// was changed. `OutcomeUnknown`: the plan may have taken effect; confirming it again tells
/// whether it has.
pub async fn confirm_plan(
    table: &dyn Table,
    resolver: &dyn Resolver,
    cached: &Arc<Config>,
    id: &PlanId,
    operator: &OperatorName,
) -> Result<AcceptedPlan, AdminError> {
    let mut cached = cached.clone();
    // Set once the answer to a commit is lost: an error of a later attempt then no longer means
    // that nothing was changed.
    let mut is_outcome_unknown = false;
    for _ in 0..CONFIRM_ATTEMPTS_MAX {
        match try_confirm(table, resolver, &mut cached, id, operator).await {
            Ok(Attempt::Accepted(accepted)) => return Ok(accepted),
            Ok(Attempt::NotApplied) => {}
            Ok(Attempt::AnswerLost) => is_outcome_unknown = true,
            // The plan may already be in effect; the next attempt may be able to read its row.
            Err(error) if is_outcome_unknown && is_store_unavailable(&error) => {}
            Err(error) => return Err(error),
        }
        tokio::time::sleep(jitter(CONFIRM_RETRY_DELAY, &mut new_rng())).await;
    }
    if is_outcome_unknown {
        let message = "the table did not answer whether the plan took effect; confirm it again";
        return Err(AdminError::new(ErrorKind::OutcomeUnknown, message));
    }
    let message =
        "other commits kept changing the plan's rows; nothing was changed; confirm it again";
    Err(AdminError::new(ErrorKind::StoreUnavailable, message))
}

/// Outcome of one commit attempt.
enum Attempt {
    Accepted(AcceptedPlan),
    /// Another commit came first, or the table rejected the commit because of its rate limit.
    NotApplied,
    AnswerLost,
}

fn is_store_unavailable(error: &AdminError) -> bool {
    error.error.kind() == ErrorKind::StoreUnavailable
}

async fn try_confirm(
    table: &dyn Table,
    resolver: &dyn Resolver,
    cached: &mut Arc<Config>,
    id: &PlanId,
    operator: &OperatorName,
) -> Result<Attempt, AdminError> {
    // Reads the configuration before the plan, so that it cannot include a plan that is still open.
    let stored = read_config(table, cached).await?;
    cached.clone_from(&stored.cfg);
    let (row, unchanged_plan) = read_plan(table, id).await?;
    let now = UnixMillis::now();
    match row.state {
        PlanState::Confirmed { version, by, at } => {
            // The plan may have been confirmed after the configuration was read.
            let is_older = stored.cfg.version < version;
            let cfg = if is_older { read_config(table, cached).await?.cfg } else { stored.cfg };
            return Ok(Attempt::Accepted(AcceptedPlan { version, by, at, cfg }));
        }
        PlanState::Expired => return Err(expired_error()),
        PlanState::Open if row.plan.is_expired(now) => {
            return mark_expired(table, row.plan, unchanged_plan).await;
        }
        PlanState::Open => {}
    }
    let after = Arc::new(row.plan.rebase(&stored.cfg)?);
    let by = operator.clone();
    let mut commit = Commit::default();
    commit.preconditions.push(stored.unchanged.clone());
    commit.preconditions.push(unchanged_plan);
    add_version(&mut commit, &stored, &row.plan, &after, operator, now);
    add_deposits(&mut commit, table, &row.plan, &stored.cfg, now).await?;
    for resolution in &row.plan.resolutions {
        let writes = resolver.prepare(resolution, operator).await?;
        commit.preconditions.extend(writes.preconditions);
        commit.writes.extend(writes.writes);
    }
    add_records(&mut commit, row.plan, after.version, operator, now);
    match table.commit(&commit).await {
        CommitOutcome::Committed(_) => {
            let version = after.version;
            Ok(Attempt::Accepted(AcceptedPlan { version, by, at: now, cfg: after }))
        }
        CommitOutcome::Conflict(_) | CommitOutcome::NotApplied(PlatformError::RateLimited) => {
            Ok(Attempt::NotApplied)
        }
        CommitOutcome::Unknown => Ok(Attempt::AnswerLost),
        CommitOutcome::NotApplied(error) => Err(store_error(error).into()),
    }
}

/// Marks a plan as expired in its row, so that a delayed commit of the plan conflicts.
async fn mark_expired(
    table: &dyn Table,
    plan: Plan,
    unchanged: Precondition,
) -> Result<Attempt, AdminError> {
    let key = plan_key(&plan.id);
    let row = PlanRow { state: PlanState::Expired, plan };
    let commit = Commit { preconditions: vec![unchanged], writes: vec![Write::put(key, &row)] };
    match table.commit(&commit).await {
        CommitOutcome::Committed(_) => Err(expired_error()),
        CommitOutcome::Conflict(_) | CommitOutcome::Unknown => Ok(Attempt::NotApplied),
        CommitOutcome::NotApplied(error) => Err(store_error(error).into()),
    }
}

fn expired_error() -> AdminError {
    let message = "the plan has expired; nothing was changed; create a new plan";
    AdminError::new(ErrorKind::PlanExpired, message)
}

/// Adds the writes of the new version, if the plan changes the configuration.
fn add_version(
    commit: &mut Commit,
    stored: &StoredConfig,
    plan: &Plan,
    after: &Config,
    operator: &OperatorName,
    now: UnixMillis,
) {
    if plan.changes.is_empty() {
        return;
    }
    // A snapshot that was written by hand has no change rows before it.
    let snapshot = stored.head.map_or(stored.cfg.version, |head| head.snapshot);
    let is_due = after.version.0 >= snapshot.0 + SNAPSHOT_INTERVAL;
    let snapshot = if is_due { after.version } else { snapshot };
    if is_due {
        commit.writes.push(Write::put(Key::from_parts(&[CONFIG_KEY]), after));
    }
    let head = ConfigHead { version: after.version, snapshot };
    commit.writes.push(Write::put(Key::from_parts(&[CONFIG_HEAD_KEY]), &head));
    let key = version_key(after.version);
    commit.preconditions.push(Precondition::Absent(key.clone()));
    let row = VersionRow {
        version: after.version,
        plan: plan.id.clone(),
        confirmed_by: operator.clone(),
        confirmed_at: now,
        changes: plan.changes.clone(),
    };
    commit.writes.push(Write::put(key, &row));
}

/// Adds the writes of the deposits that have not been made yet.
async fn add_deposits(
    commit: &mut Commit,
    table: &dyn Table,
    plan: &Plan,
    cfg: &Config,
    now: UnixMillis,
) -> Result<(), AdminError> {
    let mut budgets: BTreeMap<AccountName, ReadRow<BudgetRow>> = BTreeMap::new();
    for deposit in &plan.deposits {
        let is_new_account = plan
            .changes
            .iter()
            .any(|change| change.kind() == "account" && change.name() == deposit.account.as_str());
        if !cfg.accounts.contains_key(&deposit.account) && !is_new_account {
            let line = format!("account {} has been removed", deposit.account);
            return Err(StalePlan { version: cfg.version, differences: vec![line] }.into());
        }
        let row = read_deposit(table, &deposit.id).await?;
        if let Some(earlier) = row.value {
            check_earlier_deposit(deposit, &earlier, cfg.version)?;
            continue;
        }
        commit.preconditions.push(row.unchanged);
        commit.writes.push(Write::put(deposit_key(&deposit.id), &deposit_row(deposit, plan, now)));
        let mut budget = match budgets.remove(&deposit.account) {
            Some(budget) => budget,
            None => read_budget(table, &deposit.account).await?,
        };
        credit_deposit(&mut budget, deposit)?;
        budgets.insert(deposit.account.clone(), budget);
    }
    for (account, budget) in budgets {
        commit.preconditions.push(budget.unchanged);
        commit.writes.push(Write::put(budget_key(&account), &budget.value.unwrap_or_default()));
    }
    Ok(())
}

fn credit_deposit(budget: &mut ReadRow<BudgetRow>, deposit: &Deposit) -> Result<(), AdminError> {
    let row = budget.value.get_or_insert_default();
    let deposited = row.deposited.checked_add(deposit.tokens);
    row.deposited = deposited.ok_or_else(|| {
        let message = format!("deposit {}: the budget would exceed 2^64 tokens", deposit.id);
        Error::new(ErrorKind::InvalidConfig, message)
    })?;
    Ok(())
}

fn check_earlier_deposit(
    deposit: &Deposit,
    earlier: &DepositRow,
    version: ConfigVersion,
) -> Result<(), StalePlan> {
    if earlier.account == deposit.account && earlier.tokens == deposit.tokens {
        return Ok(());
    }
    let line = format!(
        "deposit {} was made in the meantime with {} tokens to account {}",
        earlier.id, earlier.tokens, earlier.account
    );
    Err(StalePlan { version, differences: vec![line] })
}

fn deposit_row(deposit: &Deposit, plan: &Plan, now: UnixMillis) -> DepositRow {
    DepositRow {
        id: deposit.id.clone(),
        account: deposit.account.clone(),
        tokens: deposit.tokens,
        plan: plan.id.clone(),
        at: now,
    }
}

/// Adds the writes of the audit record and of the plan's state.
fn add_records(
    commit: &mut Commit,
    plan: Plan,
    version: ConfigVersion,
    operator: &OperatorName,
    now: UnixMillis,
) {
    let audit = AuditRow {
        at: now,
        operator: operator.clone(),
        made_by: plan.made_by.clone(),
        plan: plan.id.clone(),
        version,
        words: plan.words.clone(),
    };
    // Thirteen digits hold the milliseconds until the year 2286, so that keys sort by time.
    let key = Key::from_parts(&[&format!("{AUDIT_PREFIX}{:013}-{}", now.0, plan.id)]);
    commit.writes.push(Write::put(key, &audit));
    let state = PlanState::Confirmed { version, by: operator.clone(), at: now };
    commit.writes.push(Write::put(plan_key(&plan.id), &PlanRow { state, plan }));
}
