//! Creates plans, shows them, and asks to confirm them.

use std::io::{self, BufRead, IsTerminal, Write};

use admin_api::{Confirmation, PlanStatus, PlanView};
use bytes::Bytes;
use client::AdminClient;
use config::Intent;
use serde_json::json;
use types::PlanId;

use crate::{
    context::CommandContext,
    exit::CommandError,
    output::{format_time, print_json},
};

/// Creates a plan from `intent` and handles it like [`post_and_review`].
pub(crate) async fn review_intent(
    cx: &CommandContext,
    intent: &Intent,
) -> Result<(), CommandError> {
    let json = serde_json::to_vec(intent).expect("an intent serializes to JSON");
    post_and_review(cx, "/admin/v1/plans", json.into()).await
}

/// Posts `body` to `path`, which creates a plan from it, and shows the plan. Confirms it if `--yes`
/// is given and the plan has no cautions, or if the operator agrees at the prompt.
///
/// With `--confirm`, shows and confirms the given plan instead and does not post `body`.
pub(crate) async fn post_and_review(
    cx: &CommandContext,
    path: &str,
    body: Bytes,
) -> Result<(), CommandError> {
    let admin = cx.admin()?;
    if let Some(id) = &cx.confirm {
        let plan: PlanView = admin.get(&format!("/admin/v1/plans/{id}")).await?;
        return show_and_confirm(cx, &admin, &plan).await;
    }
    let plan: PlanView = admin.post(path, body).await?;
    if cx.yes && plan.cautions.is_empty() {
        return show_and_confirm(cx, &admin, &plan).await;
    }
    show_plan(cx, &plan);
    let id = &plan.plan;
    let may_ask = !cx.yes && io::stdin().is_terminal();
    if may_ask && ask_yes_or_no(&format!("Confirm {id}? [y/N] "))? {
        return confirm(cx, &admin, id).await;
    }
    let reason = if cx.yes { "it has cautions, so --yes does not confirm it; " } else { "" };
    let message = format!(
        "plan {id} is not confirmed, nothing has changed; {reason}to confirm it, run: \
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
    let confirmation = post_confirmation(admin, id).await?;
    if cx.json {
        print_json(&confirmation);
    } else {
        print_confirmation(&confirmation);
    }
    Ok(())
}

/// Prints a plan, confirms it and prints the result. The JSON output is a single object with both.
async fn show_and_confirm(
    cx: &CommandContext,
    admin: &AdminClient,
    plan: &PlanView,
) -> Result<(), CommandError> {
    if !cx.json {
        show_plan(cx, plan);
    }
    let confirmation = post_confirmation(admin, &plan.plan).await?;
    if cx.json {
        print_json(&json!({ "plan": plan, "confirmation": confirmation }));
    } else {
        print_confirmation(&confirmation);
    }
    Ok(())
}

async fn post_confirmation(admin: &AdminClient, id: &PlanId) -> Result<Confirmation, CommandError> {
    let path = format!("/admin/v1/plans/{id}/confirm");
    admin.post(&path, Bytes::new()).await.map_err(|error| match CommandError::from(error) {
        CommandError::NoAnswer(text) => CommandError::NoAnswer(format!(
            "{text}\nit is unknown whether the plan is confirmed; repeat 'auburncrank confirm \
             {id}', which confirms it at most once"
        )),
        error => error,
    })
}

fn print_confirmation(confirmation: &Confirmation) {
    let Confirmation { plan, version, confirmed_by, confirmed_at } = confirmation;
    let at = format_time(*confirmed_at);
    println!("{plan} was confirmed by {confirmed_by} at {at}; version {version} is accepted.");
}

/// Prints a plan, as JSON or as text.
pub(crate) fn show_plan(cx: &CommandContext, plan: &PlanView) {
    if cx.json {
        return print_json(plan);
    }
    println!("{} against version {}, created by {}:", plan.plan, plan.base, plan.made_by);
    for line in &plan.words {
        println!("  {line}");
    }
    if !plan.cautions.is_empty() {
        println!("Cautions:");
    }
    for caution in &plan.cautions {
        println!("  ! {caution}");
    }
    match (plan.status, plan.version) {
        (PlanStatus::Confirmed, Some(version)) => println!("Confirmed as version {version}."),
        (PlanStatus::Confirmed, None) => println!("Confirmed."),
        (PlanStatus::Expired, _) => println!("Expired; create a new plan."),
        (PlanStatus::Open, _) => println!("Open until {}.", format_time(plan.expires_at)),
    }
}

fn ask_yes_or_no(question: &str) -> Result<bool, CommandError> {
    // A program may read standard output, so the prompt goes to standard error.
    eprint!("{question}");
    let _ = io::stderr().flush();
    let mut line = String::new();
    let read = io::stdin().lock().read_line(&mut line);
    read.map_err(|error| CommandError::NotConfirmed(format!("cannot read the answer: {error}")))?;
    Ok(matches!(line.trim(), "y" | "Y" | "yes"))
}
