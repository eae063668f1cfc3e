//! `apply`: makes a plan of an intent from a file.

use crate::{
    cmd::entries::read_file, context::CommandContext, exit::CommandError, review::post_and_review,
};

/// Forms of the arguments.
pub(super) const USAGE: &[&str] = &["apply FILE"];

/// What the command does.
pub(super) const ABOUT: &str =
    "Makes a plan of the whole intent in FILE (JSON; '-' is standard input) and has it confirmed.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let [file] = cx.expect_arguments("apply FILE")?;
    let text = read_file(file)?;
    post_and_review(cx, "/admin/v1/plans", text.into()).await
}
