//! Formats of log lines.

use std::str::FromStr;

/// Format of log lines, as selected by a setting.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text for human readers.
    #[default]
    Text,
    /// One JSON object per line, for log processing tools.
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
