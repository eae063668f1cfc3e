//! `in-doubt`: lists and resolves the grants and calls whose outcome the fleet cannot determine.

use admin_api::{InDoubtGrant, InDoubtList, OutcomeUnknownList, UnresolvedCall};
use client::AdminClient;
use serde_json::json;

use crate::{
    context::CommandContext,
    exit::CommandError,
    output::{Table, format_time, print_json},
    review::post_and_review,
};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] = &[
    "in-doubt list",
    "in-doubt close ACCOUNT ROUTER INCARNATION SPENT",
    "in-doubt settle ACCOUNT REQUEST ran|not-run [--router-ended]",
];

/// Description in the help text.
pub(super) const ABOUT: &str =
    "Shows and resolves grants and calls whose outcome the fleet cannot determine.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let arguments: Vec<_> = cx.arguments.iter().map(String::as_str).collect();
    let resolution = match arguments[..] {
        [] | ["list"] => return list(cx).await,
        ["close", account, router, incarnation, spent] => json!({
            "kind": "close_grant", "account": account, "router": router,
            "incarnation": parse_number("INCARNATION", incarnation)?,
            "spent": parse_number("SPENT", spent)?,
        }),
        ["settle", account, request, outcome @ ("ran" | "not-run")] => json!({
            "kind": "settle_request", "account": account, "request": request,
            "ran": outcome == "ran", "router_ended": cx.router_ended,
        }),
        _ => {
            let usage = USAGE.join("\n   or: auburncrank ");
            return Err(CommandError::Usage(format!("usage: auburncrank {usage}")));
        }
    };
    let intent = json!({ "resolutions": [resolution] });
    post_and_review(cx, "/admin/v1/plans", intent.to_string().into()).await
}

fn parse_number(name: &str, text: &str) -> Result<u64, CommandError> {
    text.parse().map_err(|_| CommandError::Usage(format!("{name}: '{text}' is not a whole number")))
}

async fn list(cx: &CommandContext) -> Result<(), CommandError> {
    let admin = cx.admin()?;
    let (grants, calls) = (read_grants(&admin).await?, read_calls(&admin).await?);
    if cx.json {
        print_json(&json!({ "grants": grants, "calls": calls }));
        return Ok(());
    }
    let mut table = Table::new(&["ACCOUNT", "ROUTER", "INCARNATION", "TOKENS IN DOUBT", "SINCE"]);
    for grant in grants {
        table.push(vec![
            grant.account.to_string(),
            grant.router.name.to_string(),
            grant.router.incarnation.0.to_string(),
            grant.tokens.to_string(),
            grant.since.map_or_else(|| "unknown".to_owned(), format_time),
        ]);
    }
    println!("{}", table.render());
    let mut table = Table::new(&["ACCOUNT", "REQUEST", "ROUTER", "STATE"]);
    for call in calls {
        let state = match (call.outcome_unknown, call.router_is_known) {
            (true, _) => "outcome unknown",
            (false, true) => "its router may be running it now",
            (false, false) => "its router is gone",
        };
        table.push(vec![
            call.account.to_string(),
            call.request.to_string(),
            call.router.name.to_string(),
            state.to_owned(),
        ]);
    }
    print!("{}", table.render());
    Ok(())
}

async fn read_grants(admin: &AdminClient) -> Result<Vec<InDoubtGrant>, CommandError> {
    let mut grants = Vec::new();
    let mut query = String::new();
    loop {
        let list: InDoubtList = admin.get(&format!("/admin/v1/in-doubt{query}")).await?;
        grants.extend(list.grants);
        let Some(next) = list.next else { return Ok(grants) };
        eprintln!("grants read up to {next}");
        query = format!("?after={next}");
    }
}

async fn read_calls(admin: &AdminClient) -> Result<Vec<UnresolvedCall>, CommandError> {
    let mut calls = Vec::new();
    let mut query = String::new();
    loop {
        let list: OutcomeUnknownList =
            admin.get(&format!("/admin/v1/outcome-unknown{query}")).await?;
        calls.extend(list.calls);
        let Some(next) = list.next else { return Ok(calls) };
        eprintln!("calls read up to {next}");
        query = format!("?after={next}");
    }
}
