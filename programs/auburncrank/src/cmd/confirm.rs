//! `confirm`: confirms a plan.

use types::PlanId;

use crate::{context::CommandContext, exit::CommandError, review};

/// Forms of the arguments.
pub(super) const USAGE: &[&str] = &["confirm PLAN"];

/// What the command does.
pub(super) const ABOUT: &str = "Confirms a plan; once confirmed, confirming again changes nothing.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let [plan] = cx.expect_arguments("confirm PLAN")?;
    let plan = PlanId::new(plan).map_err(|error| CommandError::Usage(format!("PLAN: {error}")))?;
    review::confirm(cx, &cx.admin()?, &plan).await
}
