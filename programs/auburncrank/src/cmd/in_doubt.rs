//! `in-doubt`: what only an operator can resolve.

use admin_api::InDoubtList;
use client::AdminClient;
use serde_json::json;

use crate::{
    context::CommandContext,
    exit::CommandError,
    output::{Table, print_json},
    review::review_json,
};

/// Forms of the arguments.
pub(super) const USAGE: &[&str] = &[
    "in-doubt list",
    "in-doubt release ACCOUNT ROUTER INCARNATION TOKENS",
    "in-doubt settle ACCOUNT REQUEST ran|not-run [--router-ended]",
];

/// What the command does.
pub(super) const ABOUT: &str =
    "Shows grants and calls whose outcome the fleet cannot know, and resolves them.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let arguments: Vec<_> = cx.arguments.iter().map(String::as_str).collect();
    let resolution = match arguments[..] {
        [] | ["list"] => return list(cx).await,
        ["release", account, router, incarnation, tokens] => json!({
            "kind": "release_grant", "account": account, "router": router,
            "incarnation": number("INCARNATION", incarnation)?,
            "tokens": number("TOKENS", tokens)?,
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
    review_json(cx, "/admin/v1/plans", intent.to_string().into()).await
}

fn number(name: &str, text: &str) -> Result<u64, CommandError> {
    text.parse().map_err(|_| CommandError::Usage(format!("{name}: '{text}' is not a number")))
}

async fn list(cx: &CommandContext) -> Result<(), CommandError> {
    let admin = cx.admin()?;
    let mut rows = read_all(&admin, "in-doubt").await?;
    rows.extend(read_all(&admin, "outcome-unknown").await?);
    if cx.json {
        print_json(&rows);
        return Ok(());
    }
    let mut table = Table::new(&["ROW", "STATE"]);
    for row in rows {
        table.push(vec![row.key, row.value.to_string()]);
    }
    print!("{}", table.render());
    Ok(())
}

async fn read_all(
    admin: &AdminClient,
    resource: &str,
) -> Result<Vec<admin_api::InDoubtRow>, CommandError> {
    let mut rows = Vec::new();
    let mut query = String::new();
    loop {
        let list: InDoubtList = admin.get(&format!("/admin/v1/{resource}{query}")).await?;
        rows.extend(list.rows);
        let Some(next) = list.next else { return Ok(rows) };
        eprintln!("{} rows read", rows.len());
        query = format!("?after={next}");
    }
}
