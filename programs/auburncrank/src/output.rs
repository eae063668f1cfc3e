//! Output as tables for people and as JSON for programs.

use std::time::SystemTime;

use serde::Serialize;
use types::UnixMillis;

/// Text table with a header.
pub(crate) struct Table {
    /// Rows, starting with the header; all have the same number of cells.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table that holds only the header.
    pub(crate) fn new(header: &[&str]) -> Table {
        Table { rows: vec![header.iter().map(|it| (*it).to_owned()).collect()] }
    }

    /// Appends a row, which must have as many cells as the header.
    pub(crate) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Returns the table as text with aligned columns.
    pub(crate) fn render(&self) -> String {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            self.rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

/// Prints `value` as indented JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).expect("results serialize to JSON"));
}

/// Formats a point in time as RFC 3339, in UTC, to the second.
pub(crate) fn format_time(time: UnixMillis) -> String {
    humantime::format_rfc3339_seconds(SystemTime::from(time)).to_string()
}

#[cfg(test)]
#[path = "output_tests.rs"]
mod tests;
