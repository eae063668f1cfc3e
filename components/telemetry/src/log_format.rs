//! Formats of log lines.

use std::str::FromStr;

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text, for people.
    #[default]
    Text,
    /// One line of JSON, for programs.
    Json,
}

impl FromStr for LogFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<LogFormat, Self::Err> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err("expected `text` or `json`"),
        }
    }
}
