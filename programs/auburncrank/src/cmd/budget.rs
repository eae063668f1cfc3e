//! `budget`: shows budgets and makes deposits.

use admin_api::BudgetList;
use config::{Deposit, Intent};
use types::{AccountName, DepositId, Tokens};

use crate::{
    context::CommandContext,
    exit::CommandError,
    output::{Table, print_json},
    review::review_intent,
};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] =
    &["budget show [ACCOUNT]", "budget deposit ACCOUNT TOKENS --id ID"];

/// Description in the help text.
pub(super) const ABOUT: &str = "Shows budgets, or makes a deposit; a deposit is made only once for \
     each id, such as an invoice number.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let arguments: Vec<_> = cx.arguments.iter().map(String::as_str).collect();
    match arguments[..] {
        [] | ["show"] => show(cx, None).await,
        ["show", account] => show(cx, Some(account)).await,
        ["deposit", account, tokens] => deposit(cx, account, tokens).await,
        _ => {
            Err(CommandError::Usage(format!("usage: auburncrank {}", USAGE.join("\n       or: "))))
        }
    }
}

async fn show(cx: &CommandContext, account: Option<&str>) -> Result<(), CommandError> {
    let admin = cx.admin()?;
    let mut budgets = Vec::new();
    let mut after = cx.after.clone();
    loop {
        let query = after.map_or_else(String::new, |after| format!("?after={after}"));
        let list: BudgetList = admin.get(&format!("/admin/v1/budgets{query}")).await?;
        budgets.extend(list.budgets);
        after = list.next;
        if after.is_none() {
            break;
        }
        eprintln!("{} budgets read so far", budgets.len());
    }
    budgets.retain(|budget| account.is_none_or(|account| budget.account.as_str() == account));
    if let (Some(account), true) = (account, budgets.is_empty()) {
        let message =
            format!("account {account} has no budget yet; create one with 'budget deposit'");
        return Err(CommandError::Refused(message));
    }
    if cx.json {
        print_json(&budgets);
        return Ok(());
    }
    let mut table = Table::new(&["ACCOUNT", "DEPOSITED", "SETTLED", "GRANTED", "AVAILABLE"]);
    for budget in budgets {
        table.push(vec![
            budget.account.to_string(),
            budget.deposited.to_string(),
            budget.settled.to_string(),
            budget.granted.to_string(),
            budget.available.to_string(),
        ]);
    }
    print!("{}", table.render());
    Ok(())
}

async fn deposit(cx: &CommandContext, account: &str, tokens: &str) -> Result<(), CommandError> {
    let usage_error =
        |name: &str, error: &dyn std::fmt::Display| CommandError::Usage(format!("{name}: {error}"));
    let Some(id) = &cx.id else {
        let message = "--id: missing; choose an id for the deposit, such as the invoice number, \
            so that repeating the command does not make the deposit twice";
        return Err(CommandError::Usage(message.to_owned()));
    };
    let deposit = Deposit {
        id: DepositId::new(id).map_err(|error| usage_error("--id", &error))?,
        account: AccountName::new(account).map_err(|error| usage_error("ACCOUNT", &error))?,
        tokens: Tokens(tokens.parse().map_err(|_| {
            usage_error("TOKENS", &format!("'{tokens}' is not a whole number of tokens"))
        })?),
    };
    let intent = Intent { deposits: vec![deposit], ..Intent::default() };
    review_intent(cx, &intent).await
}
