//! Parsing of intents from JSON.

use serde_json::{Deserializer, Value, json};
use serde_path_to_error::{Path, Segment};

use crate::{Fault, INTENT_MAX_BYTES, Intent};

/// Maximum number of parse errors that are reported together.
const PARSE_ERRORS_MAX: usize = 20;

/// Number of segments in the path of an entry, such as `set.accounts.school`.
const ENTRY_PATH_SEGMENTS: usize = 3;

impl Intent {
    /// Parses an intent from its JSON form.
    ///
    /// # Errors
    /// The first parse error of each entry, with its path.
    pub fn from_json(text: &[u8]) -> Result<Intent, Vec<Fault>> {
        if text.len() > INTENT_MAX_BYTES {
            let message = format!("longer than {INTENT_MAX_BYTES} bytes; split it into several");
            return Err(vec![Fault::new("intent", message)]);
        }
        let mut deserializer = Deserializer::from_slice(text);
        let first = match serde_path_to_error::deserialize(&mut deserializer) {
            Ok(intent) => match deserializer.end() {
                Ok(()) => return Ok(intent),
                Err(error) => return Err(vec![Fault::new("intent", error.to_string())]),
            },
            Err(error) => error,
        };
        let mut faults = vec![to_fault(&first)];
        // Parsing stops at the first error, so each invalid entry is removed and the rest
        // parsed again. If the text is not JSON, the first error is the only one reported. If
        // an object has the same key twice, `Value` keeps only one of the two entries.
        if let Ok(mut value) = serde_json::from_slice::<Value>(text) {
            let mut is_removed = remove_entry(&mut value, first.path());
            while is_removed && faults.len() < PARSE_ERRORS_MAX {
                let error = match serde_path_to_error::deserialize::<_, Intent>(value.clone()) {
                    Ok(_) => break,
                    Err(error) => error,
                };
                faults.push(to_fault(&error));
                is_removed = remove_entry(&mut value, error.path());
            }
        }
        Err(faults)
    }
}

fn to_fault(error: &serde_path_to_error::Error<serde_json::Error>) -> Fault {
    let path = error.path().to_string();
    let path = if path == "." { "intent".to_owned() } else { path };
    Fault::new(path, error.inner().to_string())
}

/// Removes the entry that contains `path`; returns false if there is none.
fn remove_entry(value: &mut Value, path: &Path) -> bool {
    let mut parent = value;
    let keys = path.iter().map_while(|segment| match segment {
        Segment::Map { key } => Some(key),
        Segment::Seq { .. } | Segment::Enum { .. } | Segment::Unknown => None,
    });
    let mut keys: Vec<_> = keys.take(ENTRY_PATH_SEGMENTS).collect();
    if let (&[list], Some(Segment::Seq { index })) = (&keys[..], path.iter().nth(1)) {
        return replace_item(parent, list, *index);
    }
    let Some(last) = keys.pop() else { return false };
    for key in keys {
        let Some(child) = parent.get_mut(key) else { return false };
        parent = child;
    }
    parent.as_object_mut().is_some_and(|fields| fields.remove(last).is_some())
}

/// Replaces an item of a list with a valid one, so that the indexes of the items after it do
/// not change. Returns false if there is no such item or it was replaced before.
fn replace_item(value: &mut Value, list: &str, index: usize) -> bool {
    let valid_item = match list {
        "deposits" => json!({ "id": "x", "account": "x", "tokens": 1 }),
        _ => json!({ "kind": "settle_request", "account": "x", "request": "x", "ran": false }),
    };
    let item = value.get_mut(list).and_then(|items| items.get_mut(index));
    item.is_some_and(|item| std::mem::replace(item, valid_item.clone()) != valid_item)
}

#[cfg(test)]
#[path = "read_intent_tests.rs"]
mod tests;
