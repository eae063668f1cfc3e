//! Output of the studies.

use serde::Serialize;

/// Prints the result of one run as one line of JSON.
///
/// # Panics
/// Panics if `row` cannot be serialized as JSON, which the rows of all studies can.
pub(crate) fn print_row<T: Serialize>(row: &T) {
    println!("{}", serde_json::to_string(row).expect("rows can be serialized as JSON"));
}
