//! `explain`: prints the history of one request from log files.

use std::fs;

use telemetry::{LogLine, RequestTimeline};

use crate::{context::CommandContext, exit::CommandError};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] = &["explain REQUEST-ID FILE..."];

/// Description in the help text.
pub(super) const ABOUT: &str = "Prints the history of a request from routers' logs: its own lines, marked with \
     '*', and related changes at about the same time.";

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let Some((id, files)) = cx.arguments.split_first().filter(|(_, files)| !files.is_empty())
    else {
        return Err(CommandError::Usage(format!("usage: {}", USAGE[0])));
    };
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read(file)
            .map_err(|error| CommandError::Usage(format!("{file} cannot be read: {error}")))?;
        let text = String::from_utf8_lossy(&text);
        lines.extend(text.lines().filter_map(LogLine::parse).map(|mut line| {
            if line.source.is_empty() {
                line.source.clone_from(file);
            }
            line
        }));
    }
    let timeline = RequestTimeline::of_request(id, &lines);
    if timeline.request_lines.is_empty() {
        return Err(CommandError::Refused(format!(
            "no log line names request {id} ({} lines read)",
            lines.len()
        )));
    }
    print!("{}", timeline.render());
    Ok(())
}
