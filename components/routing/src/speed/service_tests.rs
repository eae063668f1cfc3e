use utils::{Rng, seeded_rng};

use super::*;
use rand::Rng as _;

/// Observations of endpoints whose true slowness is given, under random load.
struct Fleet {
    service: ServiceSpeed,
    speeds: Vec<(EndpointSpeed, u32)>,
    rng: Rng,
}

impl Fleet {
    fn new(endpoints: usize, seed: u64) -> Fleet {
        Fleet {
            service: ServiceSpeed::default(),
            speeds: vec![(EndpointSpeed::default(), 16); endpoints],
            rng: seeded_rng(seed),
        }
    }

    /// One router reports an answer of each of `count` random endpoints, whose slowness is
    /// `slowness(index)`, as `distortion` times what it took.
    fn report(
        &mut self,
        millis: u64,
        count: usize,
        distortion: f64,
        slowness: &dyn Fn(usize) -> f64,
    ) {
        let mut report = Vec::new();
        for _ in 0..count {
            let index = self.rng.random_range(0..self.speeds.len());
            let running = f64::from(self.rng.random_range(0..8_u32));
            let tokens = f64::from(self.rng.random_range(100..6_000_u32));
            let noise = self.rng.random_range(0.7..1.3) * slowness(index) * distortion;
            let time = if self.rng.random_bool(0.5) {
                AnswerTime::First((25.0 + tokens / 90.0 + running) * noise)
            } else {
                AnswerTime::Gap((20.0 + running) * noise)
            };
            let tokens = if matches!(time, AnswerTime::Gap(_)) { 0.0 } else { tokens };
            report.push((index, SpeedObservation { time, running, tokens, count: 1 }));
        }
        self.service.record(&mut self.speeds, &report, Timestamp::from_millis(millis));
    }

    fn slowness(&self, index: usize, millis: u64) -> f64 {
        self.speeds[index].0.slowness(Timestamp::from_millis(millis))
    }
}

/// Three speeds in one fleet: 0.7, 0.7 and 1.7 times the usual time, 40 reports of ten answers a
/// second on 112 endpoints. Nearly all endpoints are told apart within three seconds.
#[test]
fn three_speeds_in_one_fleet_are_told_apart() {
    let mut fleet = Fleet::new(112, 1);
    let true_slowness = |index: usize| if index % 3 == 2 { 1.7 } else { 0.7 };
    for step in 0..120 {
        fleet.report(step * 25, 10, 1.0, &true_slowness);
    }
    let slow: Vec<f64> =
        (0..112).filter(|it| it % 3 == 2).map(|it| fleet.slowness(it, 3_000)).collect();
    let fast: Vec<f64> =
        (0..112).filter(|it| it % 3 != 2).map(|it| fleet.slowness(it, 3_000)).collect();
    let mean = |it: &[f64]| it.iter().sum::<f64>() / it.len() as f64;
    let ratio = mean(&slow) / mean(&fast);
    assert!((1.9..2.9).contains(&ratio), "{ratio}");
    let confused = slow.iter().filter(|it| **it <= mean(&fast) * 1.3).count();
    assert!(confused <= 1, "{confused}");
}

/// All endpoints are equally fast: none gets another weight, and few a different cost.
#[test]
fn equal_endpoints_are_treated_alike() {
    let mut fleet = Fleet::new(40, 2);
    for step in 0..1_200 {
        fleet.report(step * 25, 10, 1.0, &|_| 1.0);
        let unequal = (0..40).filter(|it| fleet.slowness(*it, step * 25) != 1.0).count();
        assert!(unequal <= 2, "{unequal} at step {step}");
    }
    assert!(fleet.speeds.iter().all(|(it, _)| it.usual_slowness() == 1.0));
}

/// One endpoint in seven is slow by a factor of 2.5 for 0.6 s at a time: the distribution of prompt
/// parts does not follow.
#[test]
fn short_slow_phases_move_no_prompt_parts() {
    let mut fleet = Fleet::new(42, 3);
    let mut changes = 0;
    let mut before: Vec<f64> = vec![1.0; 42];
    for step in 0..800_u64 {
        let phase = step * 25 / 600;
        let is_slow = |index: usize| (index as u64 * 31 + phase * 17).is_multiple_of(7);
        fleet.report(step * 25, 10, 1.0, &|it| if is_slow(it) { 2.5 } else { 1.0 });
        let weights: Vec<f64> = fleet.speeds.iter().map(|it| it.0.usual_slowness()).collect();
        changes += weights.iter().zip(&before).filter(|(a, b)| a != b).count();
        before = weights;
    }
    assert!(changes <= 42, "{changes}");
}

/// An endpoint turns slow by a factor of three for 6 s and recovers: its cost follows within two
/// seconds each time, and changes side only then.
#[test]
fn degraded_endpoint_is_followed_and_forgiven() {
    let mut fleet = Fleet::new(20, 4);
    let mut crossings = Vec::new();
    let mut was_slow = false;
    for step in 0..800_u64 {
        let millis = step * 25;
        let is_degraded = (8_000..14_000).contains(&millis);
        fleet.report(millis, 5, 1.0, &|it| if it == 7 && is_degraded { 3.0 } else { 1.0 });
        let is_slow = fleet.slowness(7, millis) > if was_slow { 1.3 } else { 1.8 };
        if is_slow != was_slow {
            crossings.push(millis);
            was_slow = is_slow;
        }
    }
    assert_eq!(crossings.len(), 2, "{crossings:?}");
    assert!((8_000..10_000).contains(&crossings[0]), "{crossings:?}");
    assert!((14_000..16_500).contains(&crossings[1]), "{crossings:?}");
}

/// 300 routers report ten answers a second each, of 500 endpoints, of which a router hears 47
/// reports a second: two speeds are told apart within three seconds.
#[test]
fn three_hundred_routers_learn_from_ten_answers_a_second() {
    let mut fleet = Fleet::new(500, 5);
    for step in 0..141 {
        fleet.report(step * 1_000 / 47, 10, 1.0, &|it| if it % 2 == 0 { 0.7 } else { 1.5 });
    }
    let right = (0..500).filter(|it| {
        let slowness = fleet.slowness(*it, 3_000);
        if it % 2 == 0 { slowness <= 1.0 } else { slowness >= 1.0 }
    });
    let right = right.count();
    assert!(right >= 475, "{right}");
}

/// One router of 40 measures ten times the time for all of its answers: no endpoint looks slow.
#[test]
fn one_slow_router_does_not_make_endpoints_look_slow() {
    let mut fleet = Fleet::new(20, 6);
    for step in 0..400 {
        let distortion = if step % 40 == 0 { 10.0 } else { 1.0 };
        fleet.report(step * 25, 10, distortion, &|_| 1.0);
        let worst = (0..20).map(|it| fleet.slowness(it, step * 25)).fold(0.0, f64::max);
        assert!(worst <= 1.6, "{worst} at step {step}");
    }
}

/// One router of 40 reports that a single endpoint takes 100 times as long, three times a second.
#[test]
fn one_wrong_router_cannot_condemn_an_endpoint() {
    let mut fleet = Fleet::new(20, 7);
    for step in 0..400 {
        fleet.report(step * 25, 10, 1.0, &|_| 1.0);
        if step % 13 == 0 {
            let time = AnswerTime::Gap(2_500.0);
            let wrong = SpeedObservation { time, running: 1.0, tokens: 0.0, count: 1_000 };
            fleet.service.record(
                &mut fleet.speeds,
                &[(3, wrong)],
                Timestamp::from_millis(step * 25),
            );
        }
    }
    let slowness = fleet.slowness(3, 10_000);
    assert!(slowness < 2.2, "{slowness}");
    let others =
        (0..20).filter(|it| *it != 3).map(|it| fleet.slowness(it, 10_000)).fold(0.0, f64::max);
    assert!(others < 1.4, "{others}");
}
