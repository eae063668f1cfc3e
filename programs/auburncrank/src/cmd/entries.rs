//! Commands that manage configuration entries: `account`, `endpoint`, `model` and so on.

use std::io::Read;

use config::INTENT_MAX_BYTES;
use serde::de::IgnoredAny;
use serde_json::Value;

use super::keys_of_account::change_key;
use crate::{
    context::CommandContext,
    exit::CommandError,
    output::{Table, print_json},
    review::post_and_review,
};

/// A kind of configuration entry.
pub(super) struct EntryKind {
    /// Name of the command.
    command: &'static str,
    /// Field of the configuration and of intents that holds the entries.
    field: &'static str,
    /// Usage lines of the command, without the program's name.
    usage: &'static [&'static str],
}

/// Usage lines of `account`.
pub(super) const ACCOUNT_USAGE: &[&str] = &[
    "account list",
    "account show NAME",
    "account set NAME FILE",
    "account remove NAME",
    "account add-key NAME HASH",
    "account remove-key NAME HASH",
];

/// Usage lines of `endpoint`.
pub(super) const ENDPOINT_USAGE: &[&str] = &[
    "endpoint list",
    "endpoint show NAME",
    "endpoint set NAME FILE",
    "endpoint remove NAME",
    "endpoint leave NAME",
    "endpoint return NAME",
];

/// Usage lines of `model`.
pub(super) const MODEL_USAGE: &[&str] =
    &["model list", "model show NAME", "model set NAME FILE", "model remove NAME"];

/// Usage lines of `service`.
pub(super) const SERVICE_USAGE: &[&str] =
    &["service list", "service show NAME", "service set NAME FILE", "service remove NAME"];

/// Usage lines of `action`.
pub(super) const ACTION_USAGE: &[&str] =
    &["action list", "action show NAME", "action set NAME FILE", "action remove NAME"];

/// Usage lines of `operator`.
pub(super) const OPERATOR_USAGE: &[&str] =
    &["operator list", "operator show NAME", "operator set NAME FILE", "operator remove NAME"];

/// Entries that the command `account` manages.
pub(super) const ACCOUNTS: EntryKind =
    EntryKind { command: "account", field: "accounts", usage: ACCOUNT_USAGE };

/// Entries that the command `endpoint` manages.
pub(super) const ENDPOINTS: EntryKind =
    EntryKind { command: "endpoint", field: "endpoints", usage: ENDPOINT_USAGE };

/// Entries that the command `model` manages.
pub(super) const MODELS: EntryKind =
    EntryKind { command: "model", field: "models", usage: MODEL_USAGE };

/// Entries that the command `service` manages.
pub(super) const SERVICES: EntryKind =
    EntryKind { command: "service", field: "services", usage: SERVICE_USAGE };

/// Entries that the command `action` manages.
pub(super) const ACTIONS: EntryKind =
    EntryKind { command: "action", field: "actions", usage: ACTION_USAGE };

/// Entries that the command `operator` manages.
pub(super) const OPERATORS: EntryKind =
    EntryKind { command: "operator", field: "operators", usage: OPERATOR_USAGE };

/// Runs the command that manages entries of `kind`.
pub(super) async fn run(cx: &CommandContext, kind: &EntryKind) -> Result<(), CommandError> {
    let arguments: Vec<_> = cx.arguments.iter().map(String::as_str).collect();
    match (kind.command, &arguments[..]) {
        (_, [] | ["list"]) => list(cx, kind).await,
        (_, ["show", name]) => {
            print_json(&fetch_entry(cx, kind, name).await?);
            Ok(())
        }
        (_, ["set", name, file]) => set(cx, kind, name, &read_file(file)?).await,
        (_, ["remove", name]) => {
            let intent = serde_json::json!({ "remove": { kind.field: [name] } });
            post_and_review(cx, "/admin/v1/plans", intent.to_string().into()).await
        }
        ("account", ["add-key", name, hash]) => change_key(cx, "add_keys", name, hash).await,
        ("account", ["remove-key", name, hash]) => change_key(cx, "remove_keys", name, hash).await,
        ("endpoint", ["leave", name]) => set_leaving(cx, kind, name, true).await,
        ("endpoint", ["return", name]) => set_leaving(cx, kind, name, false).await,
        _ => {
            let usage = kind.usage.join("\n   or: auburncrank ");
            Err(CommandError::Usage(format!("usage: auburncrank {usage}")))
        }
    }
}

/// Reads a file, or standard input if `file` is `-`.
///
/// Fails if it holds more than [`INTENT_MAX_BYTES`].
pub(super) fn read_file(file: &str) -> Result<Vec<u8>, CommandError> {
    let fail = |error: std::io::Error| CommandError::Usage(format!("{file}: {error}"));
    let limit = INTENT_MAX_BYTES as u64 + 1;
    let mut text = Vec::new();
    if file == "-" {
        std::io::stdin().lock().take(limit).read_to_end(&mut text).map_err(fail)?;
    } else {
        let f = std::fs::File::open(file).map_err(fail)?;
        f.take(limit).read_to_end(&mut text).map_err(fail)?;
    }
    if text.len() > INTENT_MAX_BYTES {
        let message =
            format!("{file}: longer than {INTENT_MAX_BYTES} bytes; split it into several files");
        return Err(CommandError::Invalid(message));
    }
    Ok(text)
}

async fn set(
    cx: &CommandContext,
    kind: &EntryKind,
    name: &str,
    text: &[u8],
) -> Result<(), CommandError> {
    serde_json::from_slice::<IgnoredAny>(text)
        .map_err(|error| CommandError::Invalid(format!("FILE is not valid JSON: {error}")))?;
    // The text is inserted unchanged, so that the router can report every fault in it.
    let name = Value::from(name).to_string();
    let mut intent = format!("{{\"set\":{{\"{}\":{{{name}:", kind.field).into_bytes();
    intent.extend_from_slice(text);
    intent.extend_from_slice(b"}}}");
    post_and_review(cx, "/admin/v1/plans", intent.into()).await
}

async fn set_leaving(
    cx: &CommandContext,
    kind: &EntryKind,
    name: &str,
    leaving: bool,
) -> Result<(), CommandError> {
    let mut endpoint = fetch_entry(cx, kind, name).await?;
    endpoint["leaving"] = Value::Bool(leaving);
    set(cx, kind, name, endpoint.to_string().as_bytes()).await
}

async fn fetch_entry(
    cx: &CommandContext,
    kind: &EntryKind,
    name: &str,
) -> Result<Value, CommandError> {
    let cfg: Value = cx.admin()?.get("/admin/v1/config").await?;
    let entry = cfg.get(kind.field).and_then(|entries| entries.get(name));
    entry.cloned().ok_or_else(|| {
        let command = kind.command;
        let advice = format!("see 'auburncrank {command} list'");
        CommandError::Refused(format!("there is no {command} {name}; {advice}"))
    })
}

async fn list(cx: &CommandContext, kind: &EntryKind) -> Result<(), CommandError> {
    let cfg: Value = cx.admin()?.get("/admin/v1/config").await?;
    let entries = cfg.get(kind.field).cloned().unwrap_or_default();
    if cx.json {
        print_json(&entries);
        return Ok(());
    }
    let mut table = Table::new(&["NAME", "VALUE"]);
    for (name, entry) in entries.as_object().into_iter().flatten() {
        table.push(vec![name.clone(), summarize(entry)]);
    }
    print!("{}", table.render());
    Ok(())
}

/// Returns the fields of an entry on one line. Lists of at most 4 short strings are shown in full,
/// other lists by their length, maps by their keys. Omits empty lists, long strings and nulls.
fn summarize(entry: &Value) -> String {
    let fields = entry.as_object().into_iter().flatten();
    let cells = fields.filter_map(|(name, value)| match value {
        Value::Array(items) if items.len() > 4 => Some(format!("{name}: {}", items.len())),
        Value::Array(items) if items.iter().all(|item| item.as_str().is_some_and(is_short)) => {
            let items: Vec<_> = items.iter().filter_map(Value::as_str).collect();
            (!items.is_empty()).then(|| format!("{name}: {}", items.join(" ")))
        }
        Value::Array(items) => Some(format!("{name}: {}", items.len())),
        Value::Object(fields) => {
            let names: Vec<_> = fields.keys().map(String::as_str).collect();
            Some(format!("{name}: {}", names.join(" ")))
        }
        Value::String(text) if is_short(text) => Some(format!("{name}: {text}")),
        Value::String(_) | Value::Null => None,
        value => Some(format!("{name}: {value}")),
    });
    cells.collect::<Vec<_>>().join(", ")
}

fn is_short(text: &str) -> bool {
    const SHORT_MAX_CHARS: usize = 40;
    text.chars().count() <= SHORT_MAX_CHARS
}
