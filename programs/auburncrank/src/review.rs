//! Makes plans, shows them, and has them confirmed.

use std::io::{self, BufRead, IsTerminal, Write};

use admin_api::{Confirmation, PlanStatus, PlanView};
use bytes::Bytes;
use client::AdminClient;
use config::Intent;
use types::PlanId;

use crate::{
    context::CommandContext,
    exit::CommandError,
    output::{format_time, print_json},
};

/// Makes the plan of `intent`, shows it and has it confirmed.
pub(crate) async fn review_intent(
    cx: &CommandContext,
    intent: &Intent,
) -> Result<(), CommandError> {
    let json = serde_json::to_vec(intent).expect("an intent has a JSON form");
    review_json(cx, "/admin/v1/plans", json.into()).await
}

/// Posts `body` to `path`, which makes a plan of it; shows the plan and has it confirmed.
pub(crate) async fn review_json(
    cx: &CommandContext,
    path: &str,
    body: Bytes,
) -> Result<(), CommandError> {
    let admin = cx.admin()?;
    if let Some(plan) = &cx.confirm {
        return confirm(cx, &admin, plan).await;
    }
    let plan: PlanView = admin.post(path, body).await?;
    show_plan(cx, &plan);
    let id = &plan.plan;
    let is_confirmed = match (cx.yes, io::stdin().is_terminal()) {
        (true, _) if plan.cautions.is_empty() => true,
        (true, _) | (false, false) => false,
        (false, true) => ask(&format!("Confirm {id}? [y/N] "))?,
    };
    if is_confirmed {
        return confirm(cx, &admin, id).await;
    }
    let reason =
        if cx.yes { "it has effects that need care, so --yes does not confirm it; " } else { "" };
    let message = format!(
        "plan {id} is not confirmed, nothing has changed; {reason}to confirm it: \
         auburncrank confirm {id}"
    );
    Err(CommandError::NotConfirmed(message))
}

/// Confirms a plan and prints the result.
pub(crate) async fn confirm(
    cx: &CommandContext,
    admin: &AdminClient,
    id: &PlanId,
) -> Result<(), CommandError> {
    let path = format!("/admin/v1/plans/{id}/confirm");
    let confirmation: Confirmation = admin.post(&path, Bytes::new()).await?;
    if cx.json {
        print_json(&confirmation);
        return Ok(());
    }
    let Confirmation { plan, version, confirmed_by, confirmed_at } = confirmation;
    let at = format_time(confirmed_at);
    println!("{plan} was confirmed by {confirmed_by} at {at}; version {version} is accepted.");
    Ok(())
}

/// Prints a plan.
pub(crate) fn show_plan(cx: &CommandContext, plan: &PlanView) {
    if cx.json {
        return print_json(plan);
    }
    println!("{} against version {}, made by {}:", plan.plan, plan.base, plan.made_by);
    for line in &plan.words {
        println!("  {line}");
    }
    if !plan.cautions.is_empty() {
        println!("Take care:");
    }
    for caution in &plan.cautions {
        println!("  ! {caution}");
    }
    match (plan.status, plan.version) {
        (PlanStatus::Confirmed, Some(version)) => println!("Confirmed as version {version}."),
        (PlanStatus::Confirmed, None) => println!("Confirmed."),
        (PlanStatus::Expired, _) => println!("Expired; make it anew."),
        (PlanStatus::Open, _) => println!("Open until {}.", format_time(plan.expires_at)),
    }
}

fn ask(question: &str) -> Result<bool, CommandError> {
    // Standard output may be read by a program, so the question goes to standard error.
    eprint!("{question}");
    let _ = io::stderr().flush();
    let mut line = String::new();
    let read = io::stdin().lock().read_line(&mut line);
    read.map_err(|error| CommandError::NotConfirmed(format!("no answer read: {error}")))?;
    Ok(matches!(line.trim(), "y" | "Y" | "yes"))
}
