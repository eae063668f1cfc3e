//! The page of metrics names exactly those that the programs know.

use std::collections::BTreeSet;

const PAGE: &str = include_str!("../../../docs/reference/metrics.md");
const SOURCE: &str = include_str!("../src/metric_names.rs");

/// Returns the names between `quote`s that start as all metrics do.
fn names(text: &str, quote: char) -> BTreeSet<&str> {
    text.split(quote).filter(|it| it.starts_with("auburncrank_") && !it.contains(' ')).collect()
}

#[test]
fn page_of_metrics_names_all_and_no_others() {
    let (listed, known) = (names(PAGE, '`'), names(SOURCE, '"'));
    assert!(known.len() > 30, "{} names found in the source", known.len());
    assert_eq!(listed, known);
}
