//! Parsing of the log lines that this crate writes.

use std::time::SystemTime;

use serde_json::Value;

/// A parsed log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Time at which the line was logged.
    pub time: SystemTime,
    /// Text before the time, such as the name of the router; empty if there is none.
    pub source: String,
    /// Message, without the fields.
    pub message: String,
    /// Names and values of the fields, in the order in which they appear.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line in either format; returns `None` if it has neither.
    pub fn parse(line: &str) -> Option<LogLine> {
        match line.find('{') {
            Some(at) if line[at..].starts_with("{\"") => parse_json(&line[..at], &line[at..]),
            _ => parse_text(line),
        }
    }

    /// Returns the value of the field `name`.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }
}

fn parse_json(source: &str, text: &str) -> Option<LogLine> {
    let Value::Object(object) = serde_json::from_str(text).ok()? else { return None };
    let text_of = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let standard_names = ["time", "level", "target", "message"];
    let fields = object.iter().filter(|(name, _)| !standard_names.contains(&name.as_str()));
    Some(LogLine {
        time: humantime::parse_rfc3339(object.get("time")?.as_str()?).ok()?,
        source: source.trim().to_owned(),
        message: object.get("message")?.as_str()?.to_owned(),
        fields: fields.map(|(name, value)| (name.clone(), text_of(value))).collect(),
    })
}

fn parse_text(line: &str) -> Option<LogLine> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let time_index = words.iter().position(|word| humantime::parse_rfc3339(word).is_ok())?;
    let time = humantime::parse_rfc3339(words[time_index]).ok()?;
    // The word after the time is the level.
    let rest = words.get(time_index + 2..)?;
    let is_field = |word: &str| {
        word.split_once('=').is_some_and(|(name, _)| {
            !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
        })
    };
    let fields_start = rest.iter().position(|word| is_field(word)).unwrap_or(rest.len());
    let mut fields: Vec<(String, String)> = Vec::new();
    for word in &rest[fields_start..] {
        match word.split_once('=') {
            Some((name, value)) if is_field(word) => fields.push((name.into(), value.into())),
            // The word continues a value that contains spaces.
            _ => {
                if let Some((_, value)) = fields.last_mut() {
                    value.push(' ');
                    value.push_str(word);
                }
            }
        }
    }
    Some(LogLine {
        time,
        source: words[..time_index].last().copied().unwrap_or_default().to_owned(),
        message: rest[..fields_start].join(" "),
        fields,
    })
}
