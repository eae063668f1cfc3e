use super::*;

/// Answers of an endpoint whose times relative to the model are `factor(running)`, while the number
/// of requests there goes up and down up to the limit; returns the limits after each second.
fn limits_of(seconds: u64, factor: impl Fn(f64, u64) -> f64) -> Vec<u32> {
    let mut capacity = LearnedCapacity::default();
    let mut limits = Vec::new();
    for step in 0..seconds * 20 {
        let now = Timestamp::from_millis(step * 50);
        let limit = f64::from(capacity.get(16, now));
        let running = (step * 7 % 17) as f64 / 16.0 * limit;
        capacity.record(factor(running, step).ln(), 1.0, running, 16, now);
        if step % 20 == 19 {
            limits.push(capacity.get(16, now));
        }
    }
    limits
}

/// An engine that takes three times as long from half of its places on: the limit falls to about
/// that number within three seconds and stays there.
#[test]
fn engine_that_slows_at_half_of_its_places_gets_half() {
    let limits = limits_of(20, |running, _| if running >= 8.0 { 3.0 } else { 1.0 });
    assert!(limits[3..].iter().all(|it| (6..=12).contains(it)), "{limits:?}");
    let steps = limits[3..].windows(2).map(|it| it[0].abs_diff(it[1])).max();
    assert!(steps <= Some(3), "{limits:?}");
}

/// An engine that is slow at any load keeps its places.
#[test]
fn slow_engine_keeps_its_places() {
    let limits = limits_of(20, |_, _| 2.5);
    assert!(limits.iter().all(|it| *it == 16), "{limits:?}");
}

/// Slow phases of 0.6 s that fall on any load cost an engine at most a third of its places.
#[test]
fn slow_phases_cost_few_places() {
    let limits =
        limits_of(60, |_, step| if (step * 50 / 600).is_multiple_of(7) { 2.5 } else { 1.0 });
    assert!(limits.iter().all(|it| *it >= 11), "{limits:?}");
}

/// An engine that slows down with any number of requests keeps a quarter of its places.
#[test]
fn limit_has_a_floor() {
    let limits = limits_of(30, |running, _| 1.0 + running);
    assert!(limits.iter().all(|it| *it >= 4), "{limits:?}");
}
