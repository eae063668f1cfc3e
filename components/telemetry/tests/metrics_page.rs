//! Checks that `docs/reference/metrics.md` lists exactly the metrics of `metric_names.rs`.

use std::collections::BTreeSet;

const PAGE: &str = include_str!("../../../docs/reference/metrics.md");
const SOURCE: &str = include_str!("../src/metric_names.rs");

/// Returns the metric names in `text` that are enclosed in `quote`.
fn metric_names(text: &str, quote: char) -> BTreeSet<&str> {
    text.split(quote).filter(|it| it.starts_with("auburncrank_") && !it.contains(' ')).collect()
}

#[test]
fn metrics_page_lists_exactly_the_defined_metrics() {
    let (documented, defined) = (metric_names(PAGE, '`'), metric_names(SOURCE, '"'));
    assert!(defined.len() > 30, "found {} names in the source", defined.len());
    assert_eq!(documented, defined);
}
