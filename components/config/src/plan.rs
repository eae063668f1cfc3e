//! Plans: checked intents that an operator reviews and confirms.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::{AccountName, ConfigVersion, OperatorName, PlanId, UnixMillis};

use crate::{
    Caution, CautionKind, Change, Config, Deposit, Fault, Intent, PlanFacts, Resolution,
    apply_intent::apply_intent,
    describe_change, diff_configs,
    find_cautions::{find_cautions, find_config_cautions, find_insufficient_deposit},
};

/// Time within which a plan must be confirmed.
pub const PLAN_LIFETIME: Duration = Duration::from_secs(3_600);

/// Maximum number of deposits and resolutions in one plan. A commit holds at most 512
/// writes, and a deposit takes two of them.
pub const PLAN_MAX_ITEMS: usize = 200;

/// The changes that an intent makes to a base version. Takes effect when it is confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Id under which operators confirm it.
    pub id: PlanId,
    /// Configuration version that the changes are based on.
    pub base: ConfigVersion,
    /// Operator who made it.
    pub made_by: OperatorName,
    /// Time at which it was made.
    pub made_at: UnixMillis,
    /// Time from which it can no longer be confirmed.
    pub expires_at: UnixMillis,
    /// Changes to the configuration.
    pub changes: Vec<Change>,
    /// Deposits to budgets. A deposit whose id was already used for the same deposit is not
    /// made again.
    pub deposits: Vec<Deposit>,
    /// Resolutions of grants in doubt and of calls with unknown outcome.
    pub resolutions: Vec<Resolution>,
    /// Effects that the operator should review before confirming.
    pub cautions: Vec<Caution>,
    /// Lines that describe the whole plan in words.
    pub words: Vec<String>,
}

/// Why a plan no longer applies to the current configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StalePlan {
    /// Current version, which the plan was checked against.
    pub version: ConfigVersion,
    /// Descriptions of the differences that conflict with the plan.
    pub differences: Vec<String>,
}

impl Plan {
    /// Makes the plan that applies `intent` to `base`.
    ///
    /// # Errors
    /// All faults of the intent and of the configuration that results from it.
    pub fn new(
        id: PlanId,
        base: &Config,
        intent: &Intent,
        facts: &PlanFacts,
        made_by: OperatorName,
        now: UnixMillis,
    ) -> Result<Plan, Vec<Fault>> {
        let (after, mut faults) = apply_intent(base, intent);
        check_deposits(&after, &intent.deposits, facts, &mut faults);
        faults.extend(after.validate());
        if after.operators.is_empty() && !base.operators.is_empty() {
            let message = "the last operator with the role admin cannot be removed";
            faults.push(Fault::new("remove.operators", message));
        }
        let changes = diff_configs(base, &after);
        check_item_count(&changes, intent, &mut faults);
        check_resolutions(intent, &mut faults);
        if !faults.is_empty() {
            return Err(faults);
        }
        let mut cautions = find_cautions(&after, &changes, facts);
        cautions
            .extend(intent.deposits.iter().filter_map(|it| find_insufficient_deposit(it, facts)));
        cautions.extend(intent.resolutions.iter().map(resolution_caution));
        Ok(Plan {
            id,
            base: base.version,
            made_by,
            made_at: now,
            expires_at: now + PLAN_LIFETIME,
            words: describe_plan(&changes, intent, facts),
            changes,
            deposits: intent.deposits.clone(),
            resolutions: intent.resolutions.clone(),
            cautions,
        })
    }

    /// Returns whether the plan can no longer be confirmed.
    pub fn is_expired(&self, now: UnixMillis) -> bool {
        now >= self.expires_at
    }

    /// Returns whether the plan changes anything other than accounts, deposits and resolutions.
    pub fn changes_shared_entries(&self) -> bool {
        !self.changes.iter().all(|change| matches!(change, Change::Account(_)))
    }

    /// Returns the client accounts that the plan affects; may contain duplicates.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountName> {
        let changed = self.changes.iter().filter_map(|change| match change {
            Change::Account(it) => Some(&it.name),
            _ => None,
        });
        let deposits = self.deposits.iter().map(|deposit| &deposit.account);
        changed.chain(deposits).chain(self.resolutions.iter().map(Resolution::account))
    }

    /// Returns the configuration that results from applying the plan to `current`, which
    /// may be newer than the plan's base if nothing that the plan depends on has changed.
    ///
    /// # Errors
    /// The conflicting differences: an entry that the plan changes has a different value
    /// now, the result has faults, or it has an effect that the plan did not list.
    pub fn rebase(&self, current: &Config) -> Result<Config, StalePlan> {
        let mut differences = Vec::new();
        let mut after = current.clone();
        for change in &self.changes {
            if !change.matches_before(current) {
                differences.extend(describe_changed_entry(change, current));
            }
            change.apply(&mut after);
        }
        if differences.is_empty() && current.version != self.base {
            differences.extend(
                after
                    .validate()
                    .iter()
                    .map(|it| format!("fault in the resulting configuration: {it}")),
            );
            let cautions = find_config_cautions(&after, &self.changes);
            let is_listed = |caution: &Caution| {
                self.cautions.iter().any(|it| it.kind == caution.kind && it.path == caution.path)
            };
            let unlisted = cautions.iter().filter(|it| !is_listed(it));
            differences.extend(unlisted.map(|it| format!("effect not shown in the plan: {it}")));
        }
        if !differences.is_empty() {
            return Err(StalePlan { version: current.version, differences });
        }
        if !self.changes.is_empty() {
            after.version = ConfigVersion(current.version.0 + 1);
        }
        Ok(after)
    }
}

/// Describes the effect that the change would have on the entry in `current`, which is no
/// longer the one that the plan was based on.
fn describe_changed_entry(change: &Change, current: &Config) -> Vec<String> {
    let mut after = current.clone();
    change.apply(&mut after);
    let mut lines = vec![format!(
        "{} {} has changed since the plan was made; applied to its current state, the plan would:",
        change.kind(),
        change.name()
    )];
    let changes = diff_configs(current, &after);
    if changes.is_empty() {
        lines.push("  change nothing: the entry is already as planned".to_owned());
    }
    lines.extend(changes.iter().flat_map(describe_change).map(|line| format!("  {line}")));
    lines
}

fn check_deposits(cfg: &Config, deposits: &[Deposit], facts: &PlanFacts, faults: &mut Vec<Fault>) {
    for (index, deposit) in deposits.iter().enumerate() {
        let path = |field: &str| format!("deposits[{index}].{field}");
        if deposit.tokens.0 == 0 {
            faults.push(Fault::new(path("tokens"), "expected at least 1 token"));
        }
        if !cfg.accounts.contains_key(&deposit.account) {
            let message = format!("there is no account {}", deposit.account);
            faults.push(Fault::new(path("account"), message));
        }
        if deposits[..index].iter().any(|it| it.id == deposit.id) {
            let message = format!("id {} is given twice in this intent", deposit.id);
            faults.push(Fault::new(path("id"), message));
        }
        let earlier = facts.earlier_deposits.get(&deposit.id);
        if let Some(earlier) = earlier.filter(|it| *it != deposit) {
            let message = format!(
                "id {} was used for a deposit of {} tokens to account {}; use a new id",
                earlier.id, earlier.tokens, earlier.account
            );
            faults.push(Fault::new(path("id"), message));
        }
        let budget = facts.budgets.get(&deposit.account).copied().unwrap_or_default();
        if budget.deposited.checked_add(deposit.tokens).is_none() {
            faults.push(Fault::new(path("tokens"), "the budget would be larger than 2^64 tokens"));
        }
    }
}

fn check_item_count(changes: &[Change], intent: &Intent, faults: &mut Vec<Fault>) {
    let items = changes.len() + intent.deposits.len() + intent.resolutions.len();
    if items == 0 {
        faults.push(Fault::new(
            "intent",
            "it changes nothing: the configuration is already as requested",
        ));
    }
    // All changes are written to one row; each deposit and resolution needs its own writes.
    let row_items = intent.deposits.len() + intent.resolutions.len();
    if row_items > PLAN_MAX_ITEMS {
        let message = format!(
            "{row_items} deposits and resolutions; at most {PLAN_MAX_ITEMS} in one intent: split it"
        );
        faults.push(Fault::new("intent", message));
    }
}

/// Checks that an account with a resolution has neither a deposit nor another resolution in the
/// same intent. The plan's commit could write a row of the account twice, but a commit may write
/// each key only once.
fn check_resolutions(intent: &Intent, faults: &mut Vec<Fault>) {
    for (index, resolution) in intent.resolutions.iter().enumerate() {
        let account = resolution.account();
        let has_deposit = intent.deposits.iter().any(|it| it.account == *account);
        let is_second = intent.resolutions[..index].iter().any(|it| it.account() == account);
        if has_deposit || is_second {
            let message = format!(
                "account {account} has another deposit or resolution in this intent; split it"
            );
            faults.push(Fault::new(format!("resolutions[{index}]"), message));
        }
    }
}

fn resolution_caution(resolution: &Resolution) -> Caution {
    let path = format!("resolutions.{}", resolution.account());
    let message = "the fleet cannot check this statement; make sure that it is correct";
    Caution::new(CautionKind::Resolution, path, message)
}

fn describe_plan(changes: &[Change], intent: &Intent, facts: &PlanFacts) -> Vec<String> {
    let mut words: Vec<_> = changes.iter().flat_map(describe_change).collect();
    words.extend(intent.deposits.iter().map(|deposit| {
        let Deposit { id, account, tokens } = deposit;
        if facts.earlier_deposits.contains_key(id) {
            return format!("deposit {id} to account {account}: already made, not repeated");
        }
        let budget = facts.budgets.get(account).copied().unwrap_or_default();
        let deposited = budget.deposited.saturating_add(*tokens);
        format!(
            "deposit {tokens} tokens to account {account} (id {id}): deposited {} -> {deposited}",
            budget.deposited
        )
    }));
    words.extend(intent.resolutions.iter().map(Resolution::to_string));
    words
}
