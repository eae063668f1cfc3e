//! Tests of `process`.

use std::time::Duration;

use super::*;

#[tokio::test(start_paused = true)]
async fn cache_events_are_delayed_by_the_report_lag() {
    let settings =
        EngineSettings { report_lag: Duration::from_secs(1), ..EngineSettings::default() };
    let mut engine = EngineProcess::new(settings, Vec::new(), EngineLog::default());
    engine.core.import_blocks(&[1, 2]);
    engine.record_report(0);
    engine.core.import_blocks(&[3]);
    assert_eq!(engine.lagging_events(0), (0, Vec::new()));
    tokio::time::advance(Duration::from_secs(1)).await;
    let expected = vec![CacheEvent::Stored(1), CacheEvent::Stored(2)];
    assert_eq!(engine.lagging_events(0), (0, expected));
    assert_eq!(engine.lagging_events(2), (2, Vec::new()));
}
