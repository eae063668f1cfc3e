//! The story of one request, from the log lines of several routers.

use std::time::{Duration, SystemTime};

use crate::LogLine;

/// Time before and after a request within which changes of belief are part of its story.
const AROUND: Duration = Duration::from_millis(1_500);

/// Lines about beliefs in one story at most, the latest before the request's end first.
const BELIEFS_MAX: usize = 40;

/// The story of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestTimeline {
    /// The request's own lines, in the order of their time.
    pub request_lines: Vec<LogLine>,
    /// Lines about its account, its endpoints and its router's dependencies around that time.
    pub beliefs: Vec<LogLine>,
}

impl RequestTimeline {
    /// Picks the lines that concern request `id`.
    pub fn of_request(id: &str, lines: &[LogLine]) -> RequestTimeline {
        let is_own = |line: &&LogLine| line.field("request") == Some(id);
        let mut request_lines: Vec<LogLine> = lines.iter().filter(is_own).cloned().collect();
        request_lines.sort_by_key(|it| it.time);
        let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
            return RequestTimeline::default();
        };
        let total_ms = last_field(&request_lines, "total_ms").and_then(|it| it.parse().ok());
        let start = first.time.min(last.time - Duration::from_millis(total_ms.unwrap_or(0)));
        let (from, until) = (start - AROUND, last.time + AROUND);
        let account = last_field(&request_lines, "account");
        let endpoints: Vec<&str> =
            request_lines.iter().filter_map(|it| it.field("endpoint")).collect();
        let source = last.source.clone();
        let is_near = |time: SystemTime| time >= from && time <= until;
        let mut beliefs: Vec<LogLine> = lines
            .iter()
            .filter(|line| line.field("request").is_none() && is_near(line.time))
            .filter(|line| {
                let about_account = account.is_some() && line.field("account") == account;
                let about_endpoint =
                    line.field("endpoint").is_some_and(|it| endpoints.contains(&it));
                let about_router = line.source == source
                    && (line.field("dependency").is_some()
                        || line.message.starts_with("router ")
                        || line.message.starts_with("desired state"));
                about_endpoint || about_router || (about_account && line.source == source)
            })
            .cloned()
            .collect();
        beliefs.sort_by_key(|it| it.time);
        let excess = beliefs.len().saturating_sub(BELIEFS_MAX);
        beliefs.drain(..excess);
        RequestTimeline { request_lines, beliefs }
    }

    /// Returns the story as text, each line with its time relative to the request's end.
    pub fn render(&self) -> String {
        let Some(end) = self.request_lines.last().map(|it| it.time) else { return String::new() };
        let request_lines = self.request_lines.iter().map(|line| (line, '*'));
        let beliefs = self.beliefs.iter().map(|line| (line, ' '));
        let mut all: Vec<(&LogLine, char)> = request_lines.chain(beliefs).collect();
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
