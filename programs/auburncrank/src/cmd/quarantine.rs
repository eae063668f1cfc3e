//! `quarantine`: lists and changes the contents that no endpoint may run.

use admin_api::StateView;
use serde_json::json;

use crate::{
    context::CommandContext,
    exit::CommandError,
    output::{Table, print_json},
    review::post_and_review,
};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] = &[
    "quarantine list",
    "quarantine add FINGERPRINT",
    "quarantine remove FINGERPRINT",
    "quarantine release FINGERPRINT",
    "quarantine unrelease FINGERPRINT",
];

/// Description in the help text.
pub(super) const ABOUT: &str = "Shows and changes quarantined contents, which no endpoint may run; \
     'remove' undoes 'add', 'release' overrides a quarantine by the routers, 'unrelease' undoes \
     'release'.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let arguments: Vec<_> = cx.arguments.iter().map(String::as_str).collect();
    let intent = match arguments[..] {
        [] | ["list"] => return list(cx).await,
        ["add", fingerprint] => json!({ "set": { "quarantine": [fingerprint] } }),
        ["remove", fingerprint] => json!({ "remove": { "quarantine": [fingerprint] } }),
        ["release", fingerprint] => json!({ "set": { "quarantine_released": [fingerprint] } }),
        ["unrelease", fingerprint] => json!({ "remove": { "quarantine_released": [fingerprint] } }),
        _ => {
            let usage = USAGE.join("\n   or: auburncrank ");
            return Err(CommandError::Usage(format!("usage: auburncrank {usage}")));
        }
    };
    post_and_review(cx, "/admin/v1/plans", intent.to_string().into()).await
}

async fn list(cx: &CommandContext) -> Result<(), CommandError> {
    let state: StateView = cx.admin()?.get("/admin/v1/state").await?;
    if cx.json {
        print_json(&json!({ "quarantine": state.quarantine, "crashing": state.crashing }));
        return Ok(());
    }
    let mut table = Table::new(&["CONTENT", "QUARANTINED BY"]);
    for fingerprint in state.quarantine {
        table.push(vec![fingerprint, "an operator".to_owned()]);
    }
    for content in state.crashing {
        let endpoints: Vec<_> = content.endpoints.iter().map(|it| it.as_str()).collect();
        let reason = format!("routers, after losing {}", endpoints.join(", "));
        table.push(vec![content.fingerprint, reason]);
    }
    print!("{}", table.render());
    Ok(())
}
