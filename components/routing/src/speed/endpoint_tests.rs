use super::*;

fn record_for(speed: &mut EndpointSpeed, factor: f64, millis: std::ops::Range<u64>) {
    for at in millis.step_by(200) {
        speed.record(factor, 1.0, 2.0, 16, Timestamp::from_millis(at));
    }
}

/// A usual slowness between two levels does not make the level go back and forth.
#[test]
fn level_changes_with_hysteresis() {
    let mut speed = EndpointSpeed::default();
    let mut changes = 0;
    let mut level = speed.level;
    for step in 0..600_u64 {
        let factor = if step % 2 == 0 { 1.35 } else { 1.05 };
        speed.record(factor, 1.0, 2.0, 16, Timestamp::from_millis(step * 100));
        changes += u32::from(speed.level != level);
        level = speed.level;
    }
    assert!(changes <= 1, "{changes}");
}

/// The estimate of an endpoint that gets no requests returns to the service's mean.
#[test]
fn estimate_ages_without_answers() {
    let mut speed = EndpointSpeed::default();
    record_for(&mut speed, 3.0, 0..10_000);
    assert!(speed.slowness(Timestamp::from_millis(10_000)) > 2.5);
    record_for(&mut speed, 1.0, 130_000..130_200);
    assert!(speed.slowness(Timestamp::from_millis(130_200)) < 1.7);
}

/// A single answer that took long has little effect.
#[test]
fn single_slow_answer_changes_little() {
    let mut speed = EndpointSpeed::default();
    record_for(&mut speed, 1.0, 0..5_000);
    speed.record(50.0, 1.0, 2.0, 16, Timestamp::from_millis(5_000));
    assert!(speed.slowness(Timestamp::from_millis(5_000)) < 1.5);
}
