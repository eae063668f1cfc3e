//! Detection of effects that operators should review before they confirm a plan.

use std::collections::BTreeSet;

use types::{EndpointName, Tokens};

use crate::{
    Account, Action, Caution, CautionKind, Change, Config, Deposit, Endpoint, Operator, PlanFacts,
    change::EntryChange,
};

/// Returns the cautions about `changes`, which result in the configuration `after`.
pub(crate) fn find_cautions(after: &Config, changes: &[Change], facts: &PlanFacts) -> Vec<Caution> {
    let mut cautions = find_config_cautions(after, changes);
    for change in changes {
        match change {
            Change::Account(it) if it.after.is_none() => {
                cautions.extend(find_abandoned_budget(it, facts));
            }
            Change::Endpoint(it) => cautions.extend(find_busy_endpoint(it, facts)),
            _ => {}
        }
    }
    cautions
}

/// Returns the cautions that follow from the configuration alone, without budgets and load.
pub(crate) fn find_config_cautions(after: &Config, changes: &[Change]) -> Vec<Caution> {
    let mut cautions = Vec::new();
    for change in changes {
        match change {
            Change::Account(it) => cautions.extend(find_removed_keys(it)),
            Change::Operator(it) => cautions.extend(find_changed_operator(it)),
            Change::Action(it) => cautions.extend(find_repeatable_action(it)),
            _ => {}
        }
    }
    cautions.extend(find_unserved_models(after));
    cautions.extend(find_unserved_services(after));
    cautions
}

/// Returns a caution if, even with the deposit, no more tokens are deposited than are already
/// spent or granted.
pub(crate) fn find_insufficient_deposit(deposit: &Deposit, facts: &PlanFacts) -> Option<Caution> {
    let budget = facts.budgets.get(&deposit.account).copied().unwrap_or_default();
    let used = budget.settled.saturating_add(budget.granted);
    let deposited = budget.deposited.saturating_add(deposit.tokens);
    if used < deposited {
        return None;
    }
    let message = format!(
        "no tokens will be available after the deposit: {used} are spent or granted and {deposited} \
         deposited"
    );
    Some(Caution::new(CautionKind::BudgetInUse, format!("budgets.{}", deposit.account), message))
}

fn find_abandoned_budget(
    change: &EntryChange<types::AccountName, Account>,
    facts: &PlanFacts,
) -> Option<Caution> {
    let budget = facts.budgets.get(&change.name)?;
    let unspent = budget.deposited.saturating_sub(budget.settled);
    if unspent == Tokens::ZERO && budget.granted == Tokens::ZERO {
        return None;
    }
    let message = format!(
        "{unspent} unspent tokens stay in the budget row, {} of them granted to routers",
        budget.granted
    );
    Some(Caution::new(CautionKind::BudgetInUse, format!("accounts.{}", change.name), message))
}

fn find_busy_endpoint(
    change: &EntryChange<EndpointName, Endpoint>,
    facts: &PlanFacts,
) -> Option<Caution> {
    let was_serving = change.before.as_ref().is_some_and(|it| !it.leaving);
    let is_serving = change.after.as_ref().is_some_and(|it| !it.leaving);
    let running = facts.busy_endpoints.get(&change.name).copied().unwrap_or(0);
    if !was_serving || is_serving || running == 0 {
        return None;
    }
    let message = format!(
        "{running} requests are in progress on it; they can finish, but no new ones are sent to it"
    );
    Some(Caution::new(CautionKind::EndpointBusy, format!("endpoints.{}", change.name), message))
}

fn find_removed_keys(change: &EntryChange<types::AccountName, Account>) -> Option<Caution> {
    let before = &change.before.as_ref()?.keys;
    let after = change.after.as_ref().map(|account| account.keys.as_slice()).unwrap_or_default();
    let removed = before.iter().filter(|key| !after.contains(key)).count();
    if removed == 0 {
        return None;
    }
    let message = format!("{removed} keys are removed; requests that use them will be refused");
    Some(Caution::new(CautionKind::KeyRemoved, format!("accounts.{}.keys", change.name), message))
}

fn find_changed_operator(change: &EntryChange<types::OperatorName, Operator>) -> Option<Caution> {
    let before = change.before.as_ref()?;
    let message = match &change.after {
        None => "the operator loses all access",
        Some(after) if after.role != before.role => "the operator's role changes",
        Some(_) => "the operator's key is replaced",
    };
    let path = format!("operators.{}", change.name);
    Some(Caution::new(CautionKind::OperatorChanged, path, message))
}

fn find_repeatable_action(change: &EntryChange<types::ActionName, Action>) -> Option<Caution> {
    let (before, after) = (change.before.as_ref()?, change.after.as_ref()?);
    if before.idempotent || !after.idempotent {
        return None;
    }
    let message = "it becomes idempotent: one request may run it more than once";
    let path = format!("actions.{}.idempotent", change.name);
    Some(Caution::new(CautionKind::ActionRepeatable, path, message))
}

fn find_unserved_models(after: &Config) -> impl Iterator<Item = Caution> + '_ {
    let used: BTreeSet<_> = after
        .accounts
        .values()
        .flat_map(|account| account.models.values().map(|access| &access.model))
        .collect();
    after.models.iter().filter_map(move |(name, model)| {
        if !used.contains(name) || has_endpoint(after, &model.endpoints) {
            return None;
        }
        let message = "accounts use it and no endpoint can load it";
        let path = format!("models.{name}.endpoints");
        Some(Caution::new(CautionKind::ModelWithoutEndpoint, path, message))
    })
}

fn find_unserved_services(after: &Config) -> impl Iterator<Item = Caution> + '_ {
    after.services.iter().filter_map(|(name, service)| {
        let is_used = after.actions.values().any(|action| action.service == *name);
        if !is_used || has_endpoint(after, &service.endpoints) {
            return None;
        }
        let message = "actions use it and it has no endpoint in service";
        let path = format!("services.{name}.endpoints");
        Some(Caution::new(CautionKind::ServiceWithoutEndpoint, path, message))
    })
}

fn has_endpoint(cfg: &Config, endpoints: &BTreeSet<EndpointName>) -> bool {
    endpoints.iter().any(|name| cfg.endpoints.get(name).is_some_and(|it| !it.leaving))
}
