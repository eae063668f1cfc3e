//! Descriptions of changes for operators.

use serde::Serialize;
use serde_json::Value;

use crate::{Change, change::EntryChange};

/// Number of digits of a key's hash that are shown.
const SHOWN_HASH_DIGITS: usize = 12;

/// Maximum length of a shown value, in characters; longer ones are truncated.
const SHOWN_VALUE_CHARS: usize = 120;

/// Describes the change: one line for the entry, and one for each changed field.
pub fn describe_change(change: &Change) -> Vec<String> {
    match change {
        Change::Account(it) => describe_entry(change, it),
        Change::Model(it) => describe_entry(change, it),
        Change::Endpoint(it) => describe_entry(change, it),
        Change::Service(it) => describe_entry(change, it),
        Change::Action(it) => describe_entry(change, it),
        Change::Operator(it) => describe_entry(change, it),
        Change::Quarantine(it) if it.listed => {
            vec![format!("quarantine content {}", it.fingerprint)]
        }
        Change::Quarantine(it) => vec![format!("end the quarantine of content {}", it.fingerprint)],
        Change::QuarantineReleased(it) if it.listed => {
            vec![format!("release content {} from the routers' quarantine", it.fingerprint)]
        }
        Change::QuarantineReleased(it) => {
            vec![format!("let routers quarantine content {} again", it.fingerprint)]
        }
    }
}

/// Truncates the key hashes in the JSON form of a configuration, plan or change.
pub fn redact_key_hashes(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                match (name.as_str(), field) {
                    ("key", Value::String(hash)) => truncate_hash(hash),
                    ("keys" | "add_keys" | "remove_keys", field) => truncate_hashes(field),
                    (_, field) => redact_key_hashes(field),
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(redact_key_hashes),
        _ => {}
    }
}

fn truncate_hashes(value: &mut Value) {
    match value {
        Value::String(hash) => truncate_hash(hash),
        Value::Array(items) => items.iter_mut().for_each(truncate_hashes),
        Value::Object(fields) => fields.values_mut().for_each(truncate_hashes),
        _ => {}
    }
}

fn truncate_hash(hash: &mut String) {
    hash.truncate(SHOWN_HASH_DIGITS);
    hash.push('…');
}

fn describe_entry<N, V: Serialize>(change: &Change, entry: &EntryChange<N, V>) -> Vec<String> {
    let (kind, name) = (change.kind(), change.name());
    let before = entry.before.as_ref().map(to_redacted_value);
    let after = entry.after.as_ref().map(to_redacted_value);
    match (before, after) {
        (Some(_), None) => vec![format!("remove {kind} {name}")],
        (None, Some(after)) => {
            let mut lines = vec![format!("add {kind} {name}")];
            describe_fields("", &Value::Null, &after, &mut lines);
            lines
        }
        (Some(before), Some(after)) => {
            let mut lines = vec![format!("change {kind} {name}")];
            describe_fields("", &before, &after, &mut lines);
            lines
        }
        (None, None) => Vec::new(),
    }
}

fn to_redacted_value<V: Serialize>(entry: &V) -> Value {
    let mut value = serde_json::to_value(entry).unwrap_or(Value::Null);
    redact_key_hashes(&mut value);
    value
}

/// Adds a line for each field below `path` that differs.
fn describe_fields(path: &str, before: &Value, after: &Value, lines: &mut Vec<String>) {
    match (before, after) {
        _ if before == after => {}
        (Value::Object(old), Value::Object(new)) => {
            let removed = old.keys().filter(|name| !new.contains_key(*name));
            for name in removed.chain(new.keys()) {
                let field = |fields: &serde_json::Map<_, _>| fields.get(name).cloned();
                let (old, new) = (field(old), field(new));
                let (old, new) = (old.unwrap_or(Value::Null), new.unwrap_or(Value::Null));
                describe_fields(&join_path(path, name), &old, &new, lines);
            }
        }
        (Value::Null, Value::Object(new)) => {
            for (name, value) in new {
                describe_fields(&join_path(path, name), &Value::Null, value, lines);
            }
        }
        (Value::Array(old), Value::Array(new)) => describe_items(path, old, new, lines),
        (Value::Null, new) if is_empty(new) => {}
        (Value::Null, new) => lines.push(format!("  {path}: {}", format_value(new))),
        (old, Value::Null) => lines.push(format!("  {path}: {} -> none", format_value(old))),
        (old, new) => {
            lines.push(format!("  {path}: {} -> {}", format_value(old), format_value(new)))
        }
    }
}

fn describe_items(path: &str, old: &[Value], new: &[Value], lines: &mut Vec<String>) {
    let lines_before = lines.len();
    for item in old.iter().filter(|item| !new.contains(item)) {
        lines.push(format!("  {path}: - {}", format_value(item)));
    }
    for item in new.iter().filter(|item| !old.contains(item)) {
        lines.push(format!("  {path}: + {}", format_value(item)));
    }
    if lines.len() == lines_before {
        lines.push(format!("  {path}: order changed"));
    }
}

fn is_empty(value: &Value) -> bool {
    matches!(value, Value::Array(items) if items.is_empty())
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn format_value(value: &Value) -> String {
    let text = match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(format_value).collect::<Vec<_>>().join(", "),
        value => value.to_string(),
    };
    if text.chars().count() <= SHOWN_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(SHOWN_VALUE_CHARS).collect();
    format!("{start}…")
}
