//! Reads the rows that a plan depends on, apart from the configuration.

use config::{BudgetFacts, Deposit, Intent, PlanFacts};
use errors::Result;
use platform::Table;

use super::budget_rows::{read_budget, read_deposit};

/// Reads the budgets and earlier deposits that `intent` affects.
///
/// # Errors
/// `StoreUnavailable`, or `Internal` if a row is corrupt.
pub(super) async fn gather_facts(table: &dyn Table, intent: &Intent) -> Result<PlanFacts> {
    let mut facts = PlanFacts::default();
    let deposits = intent.deposits.iter().map(|deposit| &deposit.account);
    for account in deposits.chain(&intent.remove.accounts) {
        if facts.budgets.contains_key(account) {
            continue;
        }
        let row = read_budget(table, account).await?.value.unwrap_or_default();
        let (deposited, settled, granted) = (row.deposited, row.settled, row.granted);
        facts.budgets.insert(account.clone(), BudgetFacts { deposited, settled, granted });
    }
    for deposit in &intent.deposits {
        if let Some(row) = read_deposit(table, &deposit.id).await?.value {
            let earlier = Deposit { id: row.id, account: row.account, tokens: row.tokens };
            facts.earlier_deposits.insert(deposit.id.clone(), earlier);
        }
    }
    Ok(facts)
}
