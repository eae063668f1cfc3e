//! `plan`: shows a plan.

use admin_api::PlanView;

use crate::{context::CommandContext, exit::CommandError, review::show_plan};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] = &["plan PLAN"];

/// Description in the help text.
pub(super) const ABOUT: &str = "Shows a plan and whether it is confirmed.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let [plan] = cx.expect_arguments("plan PLAN")?;
    let plan: PlanView = cx.admin()?.get(&format!("/admin/v1/plans/{plan}")).await?;
    show_plan(cx, &plan);
    Ok(())
}
