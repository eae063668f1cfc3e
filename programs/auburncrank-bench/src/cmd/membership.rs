//! The failure detector on simulated time: traffic and processor time per router, the time until
//! all routers detect a death, and false deaths under message loss.

use std::{thread, time::Duration};

use cpu_time::ThreadTime;
use hdrhistogram::Histogram;
use membership::MemberState;
use serde::Serialize;
use standins::{NodeTraffic, PeerNetwork, StateChange, router_name};
use types::Timestamp;

use super::StudyError;
use crate::{cli::StudyOptions, output::print_row};

/// Numbers of routers, each with the simulated time that is measured without deaths.
const FLEET_SIZES: [(usize, Duration); 3] = [
    (8, Duration::from_secs(10_000)),
    (64, Duration::from_secs(300)),
    (512, Duration::from_secs(15)),
];

/// Fractions of the messages that are lost.
const LOSS_RATIOS: [f64; 3] = [0.0, 0.1, 0.3];

/// Number of routers that are killed at the same time.
const KILLED_ROUTERS: usize = 3;

/// Longest time for all other routers to detect the deaths.
const DETECTION_LIMIT: Duration = Duration::from_secs(15);

/// Longest time for all routers to discover each other.
const JOIN_LIMIT: Duration = Duration::from_secs(300);

/// Result of one run.
#[derive(Debug, Serialize)]
struct MembershipRow {
    /// Number of routers.
    members: usize,
    /// Fraction of the messages that were lost.
    loss: f64,
    /// Simulated time until all routers, started at the same time, know each other, in seconds.
    join_s: f64,
    /// Messages sent per router and second, without deaths.
    sent_messages_per_s: f64,
    /// Bytes sent per router and second, without deaths.
    sent_bytes_per_s: f64,
    /// Bytes received per router and second, without deaths.
    received_bytes_per_s: f64,
    /// Processor time per router and second, in microseconds, without deaths. Includes encoding and
    /// the simulated network.
    processor_us_per_s: f64,
    /// Median time until a router detects the death of another, in milliseconds.
    detection_p50_ms: f64,
    /// Longest time until a router detects the death of another, in milliseconds.
    detection_max_ms: f64,
    /// Deaths that a router had not detected after 15 s, summed over the routers.
    unnoticed_deaths: usize,
    /// Number of times that a router declared a live router dead.
    false_deaths: usize,
    /// Simulated time during which false deaths were counted, in seconds.
    simulated_s: u64,
}

/// Runs the study.
pub(crate) fn run(options: &StudyOptions) -> Result<(), StudyError> {
    for (members, span) in FLEET_SIZES {
        if !options.includes(&members.to_string()) {
            continue;
        }
        let seed = options.seed;
        let runs =
            LOSS_RATIOS.map(|loss| thread::spawn(move || measure(members, span, loss, seed)));
        for run in runs {
            let row = run.join().map_err(|_| StudyError("a run panicked".to_owned()))?;
            print_row(&row?);
        }
    }
    Ok(())
}

fn measure(
    members: usize,
    span: Duration,
    loss: f64,
    seed: u64,
) -> Result<MembershipRow, StudyError> {
    let mut network = PeerNetwork::new(members, seed);
    if !network.run_until_converged(JOIN_LIMIT) {
        return Err(StudyError(format!("{members} routers did not discover each other in time")));
    }
    let join_s = seconds(network.now());
    // Lets the last membership changes of the start propagate before measuring the traffic.
    network.run_for(JOIN_LIMIT / 10);
    network.set_loss(loss);
    network.take_changes();

    let before = total_traffic(&network, members);
    let started = ThreadTime::now();
    network.run_for(span);
    let processor_us = started.elapsed().as_micros() as f64;
    let after = total_traffic(&network, members);
    let false_deaths = count_deaths(&network.take_changes());

    let node_seconds = members as f64 * span.as_secs_f64();
    let per_node_second = |before: u64, after: u64| (after - before) as f64 / node_seconds;
    let (detection_us, unnoticed_deaths) = measure_detection(&mut network, members);
    Ok(MembershipRow {
        members,
        loss,
        join_s,
        sent_messages_per_s: per_node_second(before.sent_messages, after.sent_messages),
        sent_bytes_per_s: per_node_second(before.sent_bytes, after.sent_bytes),
        received_bytes_per_s: per_node_second(before.received_bytes, after.received_bytes),
        processor_us_per_s: processor_us / node_seconds,
        detection_p50_ms: detection_us.value_at_quantile(0.5) as f64 / 1_000.0,
        detection_max_ms: detection_us.max() as f64 / 1_000.0,
        unnoticed_deaths,
        false_deaths,
        simulated_s: span.as_secs(),
    })
}

/// Kills [`KILLED_ROUTERS`] routers at the same time. Returns the times until the others detected
/// each death, in microseconds, and the number of deaths that a router did not detect.
fn measure_detection(network: &mut PeerNetwork, members: usize) -> (Histogram<u64>, usize) {
    let mut detection_us = Histogram::new(3).expect("3 is a valid precision");
    let mut unnoticed = 0;
    let killed_at = network.now();
    (1..=KILLED_ROUTERS).for_each(|dead| network.kill(dead));
    network.run_for(DETECTION_LIMIT);
    let changes = network.take_changes();
    for dead in 1..=KILLED_ROUTERS {
        for observer in (0..members).filter(|it| *it == 0 || *it > KILLED_ROUTERS) {
            let detected = changes.iter().find(|it| {
                it.observer == observer
                    && it.state == MemberState::Dead
                    && it.id.name == router_name(dead)
            });
            match detected {
                Some(change) => {
                    let micros = change.at.since(killed_at).as_micros();
                    detection_us += u64::try_from(micros).unwrap_or(u64::MAX);
                }
                None => unnoticed += 1,
            }
        }
    }
    (detection_us, unnoticed)
}

fn count_deaths(changes: &[StateChange]) -> usize {
    changes.iter().filter(|it| it.state == MemberState::Dead).count()
}

fn total_traffic(network: &PeerNetwork, members: usize) -> NodeTraffic {
    (0..members).map(|node| network.traffic(node)).fold(NodeTraffic::default(), |sum, it| {
        NodeTraffic {
            sent_messages: sum.sent_messages + it.sent_messages,
            sent_bytes: sum.sent_bytes + it.sent_bytes,
            received_messages: sum.received_messages + it.received_messages,
            received_bytes: sum.received_bytes + it.received_bytes,
        }
    })
}

fn seconds(time: Timestamp) -> f64 {
    time.since(Timestamp::ZERO).as_secs_f64()
}
