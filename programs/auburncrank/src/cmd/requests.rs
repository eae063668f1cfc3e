//! `requests`: requests in progress.

use admin_api::RequestList;

use crate::{context::CommandContext, exit::CommandError, output::print_json};

/// Forms of the arguments.
pub(super) const USAGE: &[&str] = &["requests"];

/// What the command does.
pub(super) const ABOUT: &str = "Shows the requests in progress on the router that answers.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let [] = cx.expect("requests")?;
    let list: RequestList = cx.admin()?.get("/admin/v1/requests").await?;
    if cx.json {
        print_json(&list);
    } else {
        println!("{} requests are in progress on router {}.", list.in_progress, list.router);
    }
    Ok(())
}
