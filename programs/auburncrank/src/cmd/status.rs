//! `status`: shows the state of the fleet.

use admin_api::{LocalState, StateView};

use crate::{
    context::CommandContext,
    exit::CommandError,
    output::{Table, print_json},
};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] = &["status"];

/// Description in the help text.
pub(super) const ABOUT: &str =
    "Shows the routers, the endpoints and the configuration version in force.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let [] = cx.expect_arguments("status")?;
    let state: StateView = cx.admin()?.get("/admin/v1/state").await?;
    if cx.json {
        print_json(&state);
        return Ok(());
    }
    println!("{}\n", describe_version(&state.local));
    print!("{}", router_table(&state).render());
    println!();
    print!("{}", endpoint_table(&state).render());
    if let Some(controller) = &state.controller {
        println!("\nThis router is the controller (fencing number {}).", controller.fencing);
        controller.progress.iter().for_each(|line| println!("  {line}"));
        controller.halted.iter().for_each(|line| println!("  ! {line}"));
        controller.leftovers.iter().for_each(|line| println!("  unload manually: {line}"));
    }
    let quarantined = state.quarantine.len() + state.crashing.len();
    if quarantined > 0 {
        println!("\n{quarantined} contents are quarantined; see 'quarantine list'.");
    }
    Ok(())
}

fn describe_version(local: &LocalState) -> String {
    let name = &local.name;
    let version = local.config_version;
    match (local.accepted_version, local.config_is_confirmed) {
        (Some(accepted), _) if accepted == version => {
            format!("Router {name} has configuration version {version}, which is the accepted one.")
        }
        (Some(accepted), _) => {
            format!(
                "Router {name} has configuration version {version}; version {accepted} is accepted."
            )
        }
        (None, true) => format!(
            "Router {name} has configuration version {version}; the platform's table does not \
             answer now, but recently confirmed this version as the accepted one."
        ),
        (None, false) => format!(
            "Router {name} has configuration version {version}; the platform's table does not \
             answer, so a later version may be accepted."
        ),
    }
}

fn router_table(state: &StateView) -> Table {
    let mut table =
        Table::new(&["ROUTER", "FAILURE DOMAIN", "ADDRESS", "STATE", "REQUESTS", "VERSION"]);
    for router in &state.routers {
        table.push(vec![
            router.name.to_string(),
            router.failure_domain.to_string(),
            router.address.to_string(),
            router.state.clone(),
            router.load.to_string(),
            router.config_version.to_string(),
        ]);
    }
    table
}

fn endpoint_table(state: &StateView) -> Table {
    let mut table =
        Table::new(&["ENDPOINT", "FAILURE DOMAIN", "ADDRESS", "STATE", "REQUESTS", "SERVES"]);
    for endpoint in &state.endpoints {
        let state = match &endpoint.state {
            _ if endpoint.leaving => "leaving",
            Some(state) => state,
            None => "not used",
        };
        table.push(vec![
            endpoint.name.to_string(),
            endpoint.failure_domain.to_string(),
            endpoint.address.to_string(),
            state.to_owned(),
            endpoint.requests.to_string(),
            endpoint.serves.join(", "),
        ]);
    }
    table
}
