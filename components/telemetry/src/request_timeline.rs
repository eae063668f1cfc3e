//! Timeline of one request, built from the log lines of several routers.

use std::time::{Duration, SystemTime};

use crate::LogLine;

/// Time before and after a request within which other log lines count as its context.
const CONTEXT_WINDOW: Duration = Duration::from_millis(1_500);

/// Maximum number of context lines of a timeline; the latest ones are kept.
const CONTEXT_LINES_MAX: usize = 40;

/// Log lines that concern one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestTimeline {
    /// Lines that name the request, in order of time.
    pub request_lines: Vec<LogLine>,
    /// Lines logged around that time about the request's account, its endpoints and the state
    /// and dependencies of its router, and verdicts on its content at any time, in order of time.
    pub context_lines: Vec<LogLine>,
}

impl RequestTimeline {
    /// Selects the lines that concern request `id`. The timeline is empty if none names it.
    pub fn of_request(id: &str, lines: &[LogLine]) -> RequestTimeline {
        let is_own = |line: &&LogLine| line.field("request") == Some(id);
        let mut request_lines: Vec<LogLine> = lines.iter().filter(is_own).cloned().collect();
        request_lines.sort_by_key(|it| it.time);
        let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
            return RequestTimeline::default();
        };
        let total_ms = last_field(&request_lines, "total_ms").and_then(|it| it.parse().ok());
        let start = first.time.min(last.time - Duration::from_millis(total_ms.unwrap_or(0)));
        let (from, until) = (start - CONTEXT_WINDOW, last.time + CONTEXT_WINDOW);
        let account = last_field(&request_lines, "account");
        let endpoints: Vec<&str> =
            request_lines.iter().filter_map(|it| it.field("endpoint")).collect();
        let source = last.source.clone();
        let keys: Vec<&str> = request_lines.iter().filter_map(|it| it.field("key")).collect();
        let is_verdict = |line: &LogLine| line.field("key").is_some_and(|it| keys.contains(&it));
        let is_near = |time: SystemTime| time >= from && time <= until;
        let mut context_lines: Vec<LogLine> = lines
            .iter()
            .filter(|line| line.field("request").is_none())
            .filter(|line| is_near(line.time) || is_verdict(line))
            .filter(|line| {
                let about_account = account.is_some() && line.field("account") == account;
                let about_endpoint =
                    line.field("endpoint").is_some_and(|it| endpoints.contains(&it));
                let about_router = line.source == source
                    && (line.field("dependency").is_some()
                        || line.message.starts_with("router ")
                        || line.message.starts_with("desired state"));
                is_verdict(line)
                    || about_endpoint
                    || about_router
                    || (about_account && line.source == source)
            })
            .cloned()
            .collect();
        context_lines.sort_by_key(|it| it.time);
        let excess = context_lines.len().saturating_sub(CONTEXT_LINES_MAX);
        context_lines.drain(..excess);
        RequestTimeline { request_lines, context_lines }
    }

    /// Returns the timeline as text. Each line has its time relative to the end of the
    /// request, in milliseconds; `*` marks the lines that name the request.
    pub fn render(&self) -> String {
        let Some(end) = self.request_lines.last().map(|it| it.time) else { return String::new() };
        let request_lines = self.request_lines.iter().map(|line| (line, '*'));
        let context_lines = self.context_lines.iter().map(|line| (line, ' '));
        let mut all: Vec<(&LogLine, char)> = request_lines.chain(context_lines).collect();
        all.sort_by_key(|(line, _)| line.time);
        let lines = all.into_iter().map(|(line, mark)| {
            let millis = match line.time.duration_since(end) {
                Ok(after) => format!("+{}", after.as_millis()),
                Err(before) => format!("-{}", before.duration().as_millis()),
            };
            let fields = line.fields.iter().filter(|(name, _)| name != "request");
            let fields: String = fields.map(|(name, it)| format!(" {name}={it}")).collect();
            format!("{mark} {millis:>7} ms  {}  {}{fields}\n", line.source, line.message)
        });
        lines.collect()
    }
}

fn last_field<'a>(lines: &'a [LogLine], name: &str) -> Option<&'a str> {
    lines.iter().rev().find_map(|it| it.field(name)).filter(|it| !it.is_empty())
}
