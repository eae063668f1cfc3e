//! `quarantine`: contents that are not run.

use admin_api::StateView;
use serde_json::json;

use crate::{context::CommandContext, exit::CommandError, output::print_json, review::review_json};

/// Forms of the arguments.
pub(super) const USAGE: &[&str] =
    &["quarantine list", "quarantine add FINGERPRINT", "quarantine remove FINGERPRINT"];

/// What the command does.
pub(super) const ABOUT: &str = "Shows and changes the contents that no endpoint may run.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let arguments: Vec<_> = cx.arguments.iter().map(String::as_str).collect();
    let intent = match arguments[..] {
        [] | ["list"] => return list(cx).await,
        ["add", fingerprint] => json!({ "set": { "quarantine": [fingerprint] } }),
        ["remove", fingerprint] => json!({ "remove": { "quarantine": [fingerprint] } }),
        _ => {
            let usage = USAGE.join("\n   or: auburncrank ");
            return Err(CommandError::Usage(format!("usage: auburncrank {usage}")));
        }
    };
    review_json(cx, "/admin/v1/plans", intent.to_string().into()).await
}

async fn list(cx: &CommandContext) -> Result<(), CommandError> {
    let state: StateView = cx.admin()?.get("/admin/v1/state").await?;
    if cx.json {
        print_json(&state.quarantine);
    } else {
        state.quarantine.iter().for_each(|fingerprint| println!("{fingerprint}"));
    }
    Ok(())
}
