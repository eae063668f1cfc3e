//! `version`: lists, compares and undoes versions of the configuration.

use admin_api::{VersionDiff, VersionList};
use bytes::Bytes;

use crate::{
    context::CommandContext,
    exit::CommandError,
    output::{Table, format_time, print_json},
    review::post_and_review,
};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] =
    &["version list [--after VERSION]", "version diff FROM TO", "version undo VERSION"];

/// Description in the help text.
pub(super) const ABOUT: &str = "Shows accepted configuration versions and their differences; \
     'undo' creates a plan that reverts one.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let arguments: Vec<_> = cx.arguments.iter().map(String::as_str).collect();
    match arguments[..] {
        [] | ["list"] => list(cx).await,
        ["diff", from, to] => diff(cx, from, to).await,
        ["undo", version] => {
            let path = format!("/admin/v1/versions/{version}/undo");
            post_and_review(cx, &path, Bytes::new()).await
        }
        _ => {
            let usage = USAGE.join("\n   or: auburncrank ");
            Err(CommandError::Usage(format!("usage: auburncrank {usage}")))
        }
    }
}

async fn list(cx: &CommandContext) -> Result<(), CommandError> {
    let query = cx.after.as_ref().map_or_else(String::new, |after| format!("?after={after}"));
    let list: VersionList = cx.admin()?.get(&format!("/admin/v1/versions{query}")).await?;
    if cx.json {
        print_json(&list);
        return Ok(());
    }
    let mut table = Table::new(&["VERSION", "CONFIRMED", "BY", "PLAN", "CHANGES"]);
    for version in &list.versions {
        let entries = version.words.iter().filter(|line| !line.starts_with(' '));
        table.push(vec![
            version.version.to_string(),
            format_time(version.confirmed_at),
            version.confirmed_by.to_string(),
            version.plan.to_string(),
            entries.cloned().collect::<Vec<_>>().join("; "),
        ]);
    }
    print!("{}", table.render());
    if let Some(next) = list.next {
        eprintln!("there are more versions; continue with --after {next}");
    }
    Ok(())
}

async fn diff(cx: &CommandContext, from: &str, to: &str) -> Result<(), CommandError> {
    let diff: VersionDiff =
        cx.admin()?.get(&format!("/admin/v1/versions/{from}/diff/{to}")).await?;
    if cx.json {
        print_json(&diff);
    } else {
        diff.words.iter().for_each(|line| println!("{line}"));
    }
    Ok(())
}
