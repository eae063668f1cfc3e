//! `requests`: lists the requests in progress on each router.

use std::time::Duration;

use admin_api::{RequestList, StateView};

use crate::{
    context::CommandContext,
    exit::CommandError,
    output::{Table, print_json},
};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] = &["requests"];

/// Description in the help text.
pub(super) const ABOUT: &str = "Shows the requests in progress on each router, oldest first.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let [] = cx.expect_arguments("requests")?;
    let state: StateView = cx.admin()?.get("/admin/v1/state").await?;
    let mut lists = Vec::new();
    for router in &state.routers {
        let admin = cx.admin_for(vec![router.address])?;
        match admin.get::<RequestList>("/admin/v1/requests").await {
            Ok(list) => lists.push(list),
            Err(error) => eprintln!("router {}: {error}", router.name),
        }
    }
    if cx.json {
        print_json(&lists);
        return Ok(());
    }
    let mut table = Table::new(&["ROUTER", "ACCOUNT", "REQUEST", "AGE"]);
    for list in &lists {
        for request in &list.requests {
            table.push(vec![
                list.router.to_string(),
                request.account.to_string(),
                request.request.to_string(),
                humantime::format_duration(Duration::from_millis(request.age_ms)).to_string(),
            ]);
        }
    }
    print!("{}", table.render());
    let total: usize = lists.iter().map(|list| list.in_progress).sum();
    println!("{total} requests are in progress on {} routers.", lists.len());
    Ok(())
}
