//! `apply`: creates a plan from the intent in a file.

use crate::{
    cmd::entries::read_file, context::CommandContext, exit::CommandError, review::post_and_review,
};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] = &["apply FILE"];

/// Description in the help text.
pub(super) const ABOUT: &str =
    "Creates a plan from FILE, which holds a complete intent as JSON; '-' is standard input.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let [file] = cx.expect_arguments("apply FILE")?;
    let text = read_file(file)?;
    post_and_review(cx, "/admin/v1/plans", text.into()).await
}
