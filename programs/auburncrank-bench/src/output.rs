//! Output of studies.

use serde::Serialize;

/// Prints the result of one run as one line of JSON.
///
/// # Panics
/// Where `row` has no JSON form; the rows of the studies all have one.
pub(crate) fn print_row<T: Serialize>(row: &T) {
    println!("{}", serde_json::to_string(row).expect("rows have a JSON form"));
}
