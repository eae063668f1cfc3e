//! `audit`: lists who confirmed which changes.

use admin_api::AuditList;

use crate::{
    context::CommandContext,
    exit::CommandError,
    output::{Table, format_time, print_json},
};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] = &["audit [--after ENTRY]"];

/// Description in the help text.
pub(super) const ABOUT: &str = "Shows who confirmed what and when, oldest first.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let [] = cx.expect_arguments("audit [--after ENTRY]")?;
    let query = cx.after.as_ref().map_or_else(String::new, |after| format!("?after={after}"));
    let list: AuditList = cx.admin()?.get(&format!("/admin/v1/audit{query}")).await?;
    if cx.json {
        print_json(&list);
        return Ok(());
    }
    let mut table = Table::new(&["TIME", "OPERATOR", "VERSION", "PLAN", "CHANGES"]);
    for entry in &list.entries {
        let entries = entry.words.iter().filter(|line| !line.starts_with(' '));
        table.push(vec![
            format_time(entry.at),
            entry.operator.to_string(),
            entry.version.to_string(),
            entry.plan.to_string(),
            entries.cloned().collect::<Vec<_>>().join("; "),
        ]);
    }
    print!("{}", table.render());
    if let Some(next) = list.next {
        eprintln!("there are more entries; continue with --after {next}");
    }
    Ok(())
}
