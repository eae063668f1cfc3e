//! Plans.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::{AccountName, ConfigVersion, OperatorName, PlanId, UnixMillis};

use crate::{
    Caution, CautionKind, Change, Config, Deposit, Fault, Intent, PlanFacts, Resolution,
    apply_intent::apply_intent,
    describe_change, diff_configs,
    find_cautions::{find_cautions, find_config_cautions, find_short_deposit},
};

/// Time within which a plan is confirmed.
pub const PLAN_LIFETIME: Duration = Duration::from_secs(3_600);

/// Most changes, deposits and resolutions of one plan together. A commit holds 512
/// writes, and a deposit takes two.
pub const PLAN_MAX_ITEMS: usize = 200;

/// What an intent changes, against a base version. Takes effect once it is confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Id.
    pub id: PlanId,
    /// Version that it was made against.
    pub base: ConfigVersion,
    /// Operator who made it.
    pub made_by: OperatorName,
    /// When it was made.
    pub made_at: UnixMillis,
    /// When it can no longer be confirmed.
    pub expires_at: UnixMillis,
    /// Changes of the configuration.
    pub changes: Vec<Change>,
    /// Deposits. One whose id was used before for the same deposit is not made again.
    pub deposits: Vec<Deposit>,
    /// Resolutions.
    pub resolutions: Vec<Resolution>,
    /// Effects that need care.
    pub cautions: Vec<Caution>,
    /// All of it in words, one line each.
    pub words: Vec<String>,
}

/// Why a plan no longer fits the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StalePlan {
    /// Version that the plan was checked against.
    pub version: ConfigVersion,
    /// What changed since the plan was made and matters to it, in words.
    pub differences: Vec<String>,
}

impl Plan {
    /// Makes the plan of `intent` against `base`.
    ///
    /// # Errors
    /// All faults of the intent and of the configuration that it would lead to.
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
        check_size(&changes, intent, &mut faults);
        check_resolutions(intent, &mut faults);
        if !faults.is_empty() {
            return Err(faults);
        }
        let mut cautions = find_cautions(&after, &changes, facts);
        cautions.extend(intent.deposits.iter().filter_map(|it| find_short_deposit(it, facts)));
        cautions.extend(intent.resolutions.iter().map(caution_of_resolution));
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

    /// Tells whether the plan can no longer be confirmed.
    pub fn is_expired(&self, now: UnixMillis) -> bool {
        now >= self.expires_at
    }

    /// Tells whether it changes anything beside accounts, deposits and resolutions.
    pub fn changes_shared_entries(&self) -> bool {
        !self.changes.iter().all(|change| matches!(change, Change::Account(_)))
    }

    /// Returns the client accounts that it concerns, some more than once.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountName> {
        let changed = self.changes.iter().filter_map(|change| match change {
            Change::Account(it) => Some(&it.name),
            _ => None,
        });
        let deposits = self.deposits.iter().map(|deposit| &deposit.account);
        changed.chain(deposits).chain(self.resolutions.iter().map(Resolution::account))
    }

    /// Returns the configuration after the plan, on top of `current`, which may be
    /// newer than the plan's base as long as the difference does not matter.
    ///
    /// # Errors
    /// What has changed where it matters: an entry that the plan changes is another
    /// now, the result has faults, or it has an effect that the plan did not show.
    pub fn rebase(&self, current: &Config) -> Result<Config, StalePlan> {
        let mut differences = Vec::new();
        let mut after = current.clone();
        for change in &self.changes {
            if !change.fits(current) {
                differences.extend(describe_moved_entry(change, current));
            }
            change.apply(&mut after);
        }
        if differences.is_empty() && current.version != self.base {
            differences.extend(after.validate().iter().map(|it| format!("then at fault: {it}")));
            let cautions = find_config_cautions(&after, &self.changes);
            let shown = |caution: &Caution| {
                self.cautions.iter().any(|it| it.kind == caution.kind && it.path == caution.path)
            };
            let new = cautions.iter().filter(|it| !shown(it));
            differences.extend(new.map(|it| format!("effect not shown in the plan: {it}")));
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

/// Describes how the entry in `current` differs from what the plan was made against.
fn describe_moved_entry(change: &Change, current: &Config) -> Vec<String> {
    let mut planned_base = current.clone();
    change.apply(&mut planned_base);
    let mut lines = vec![format!(
        "{} {} has changed since the plan was made; from what it is now, the plan would:",
        change.kind(),
        change.name()
    )];
    let changes = diff_configs(current, &planned_base);
    if changes.is_empty() {
        lines.push("  change nothing: it is already so".to_owned());
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

fn check_size(changes: &[Change], intent: &Intent, faults: &mut Vec<Fault>) {
    let items = changes.len() + intent.deposits.len() + intent.resolutions.len();
    if items == 0 {
        faults.push(Fault::new("intent", "it changes nothing: everything is already so"));
    }
    // Changes share one row; deposits and resolutions are written one by one.
    let written = intent.deposits.len() + intent.resolutions.len();
    if written > PLAN_MAX_ITEMS {
        let message = format!(
            "{written} deposits and resolutions; at most {PLAN_MAX_ITEMS} in one intent: split it"
        );
        faults.push(Fault::new("intent", message));
    }
}

/// Checks that no row would be written twice in the commit of the plan.
fn check_resolutions(intent: &Intent, faults: &mut Vec<Fault>) {
    for (index, resolution) in intent.resolutions.iter().enumerate() {
        let account = resolution.account();
        let has_deposit = intent.deposits.iter().any(|it| it.account == *account);
        let is_second = intent.resolutions[..index].iter().any(|it| it.account() == account);
        if has_deposit || is_second {
            let message = format!("account {account} has another in this intent: split it");
            faults.push(Fault::new(format!("resolutions[{index}]"), message));
        }
    }
}

fn caution_of_resolution(resolution: &Resolution) -> Caution {
    let path = format!("resolutions.{}", resolution.account());
    let message = "your word replaces what the fleet cannot know; be certain of it";
    Caution::new(CautionKind::Resolution, path, message)
}

fn describe_plan(changes: &[Change], intent: &Intent, facts: &PlanFacts) -> Vec<String> {
    let mut words: Vec<_> = changes.iter().flat_map(describe_change).collect();
    words.extend(intent.deposits.iter().map(|deposit| {
        let Deposit { id, account, tokens } = deposit;
        if facts.earlier_deposits.contains_key(id) {
            return format!("deposit {id} to account {account}: made before, not made again");
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
