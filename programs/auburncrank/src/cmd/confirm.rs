//! `confirm`: confirms a plan.

use types::PlanId;

use crate::{context::CommandContext, exit::CommandError, review};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] = &["confirm PLAN"];

/// Description in the help text.
pub(super) const ABOUT: &str = "Confirms a plan; confirming it again changes nothing.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let [plan] = cx.expect_arguments("confirm PLAN")?;
    let plan = PlanId::new(plan).map_err(|error| CommandError::Usage(format!("PLAN: {error}")))?;
    review::confirm(cx, &cx.admin()?, &plan).await
}
