//! Changes in words.

use serde::Serialize;
use serde_json::Value;

use crate::{Change, change::EntryChange};

/// Digits of a key's hash that are shown.
const SHOWN_HASH_DIGITS: usize = 12;

/// Longest value that is shown whole, in characters.
const SHOWN_VALUE_CHARS: usize = 120;

/// Returns the change in words: one line for the entry, and one for each field.
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

/// Shortens the hashes of keys in the JSON form of a configuration, plan or change.
pub fn redact_key_hashes(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                match (name.as_str(), field) {
                    ("key", Value::String(hash)) => shorten_hash(hash),
                    ("keys" | "add_keys" | "remove_keys", field) => shorten_all(field),
                    (_, field) => redact_key_hashes(field),
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(redact_key_hashes),
        _ => {}
    }
}

fn shorten_all(value: &mut Value) {
    match value {
        Value::String(hash) => shorten_hash(hash),
        Value::Array(items) => items.iter_mut().for_each(shorten_all),
        Value::Object(fields) => fields.values_mut().for_each(shorten_all),
        _ => {}
    }
}

fn shorten_hash(hash: &mut String) {
    hash.truncate(SHOWN_HASH_DIGITS);
    hash.push('…');
}

fn describe_entry<N, V: Serialize>(change: &Change, entry: &EntryChange<N, V>) -> Vec<String> {
    let (kind, name) = (change.kind(), change.name());
    let before = entry.before.as_ref().map(to_shown_value);
    let after = entry.after.as_ref().map(to_shown_value);
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

fn to_shown_value<V: Serialize>(entry: &V) -> Value {
    let mut value = serde_json::to_value(entry).unwrap_or(Value::Null);
    redact_key_hashes(&mut value);
    value
}

/// Adds a line for each field that differs, below `path`.
fn describe_fields(path: &str, before: &Value, after: &Value, lines: &mut Vec<String>) {
    match (before, after) {
        _ if before == after => {}
        (Value::Object(old), Value::Object(new)) => {
            let removed = old.keys().filter(|name| !new.contains_key(*name));
            for name in removed.chain(new.keys()) {
                let field = |fields: &serde_json::Map<_, _>| fields.get(name).cloned();
                let (old, new) = (field(old), field(new));
                let (old, new) = (old.unwrap_or(Value::Null), new.unwrap_or(Value::Null));
                describe_fields(&join(path, name), &old, &new, lines);
            }
        }
        (Value::Null, Value::Object(new)) => {
            for (name, value) in new {
                describe_fields(&join(path, name), &Value::Null, value, lines);
            }
        }
        (Value::Array(old), Value::Array(new)) => describe_items(path, old, new, lines),
        (Value::Null, new) if is_empty(new) => {}
        (Value::Null, new) => lines.push(format!("  {path}: {}", shown(new))),
        (old, Value::Null) => lines.push(format!("  {path}: {} -> none", shown(old))),
        (old, new) => lines.push(format!("  {path}: {} -> {}", shown(old), shown(new))),
    }
}

fn describe_items(path: &str, old: &[Value], new: &[Value], lines: &mut Vec<String>) {
    let known = lines.len();
    for item in old.iter().filter(|item| !new.contains(item)) {
        lines.push(format!("  {path}: - {}", shown(item)));
    }
    for item in new.iter().filter(|item| !old.contains(item)) {
        lines.push(format!("  {path}: + {}", shown(item)));
    }
    if lines.len() == known {
        lines.push(format!("  {path}: other order"));
    }
}

fn is_empty(value: &Value) -> bool {
    matches!(value, Value::Array(items) if items.is_empty())
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn shown(value: &Value) -> String {
    let text = match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(shown).collect::<Vec<_>>().join(", "),
        value => value.to_string(),
    };
    if text.chars().count() <= SHOWN_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(SHOWN_VALUE_CHARS).collect();
    format!("{start}…")
}
