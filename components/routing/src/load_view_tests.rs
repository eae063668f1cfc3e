//! Tests of `load_view`.

use super::*;

#[test]
fn own_load_since_the_reported_time_is_added() {
    let lag = Duration::from_millis(500);
    let mut view = LoadView::default();
    view.add(100, Timestamp::from_millis(0));
    view.add(300, Timestamp::from_millis(800));
    let report = LoadReport {
        running: 4,
        max_batch: 16,
        pending_prompt_tokens: 150,
        ..LoadReport::default()
    };
    view.apply_report(&report, lag, Timestamp::from_millis(1_000));
    // One of the four reported requests was sent by this router, so three belong to
    // other routers.
    assert_eq!((view.requests(), view.prompt_tokens()), (5, 450));
    view.remove(Timestamp::from_millis(1_100));
    assert_eq!(view.requests(), 4);
}
