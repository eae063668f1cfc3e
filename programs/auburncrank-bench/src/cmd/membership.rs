//! The failure detector on simulated time: its traffic and processor time a node, the
//! time until all notice a death, and deaths of live routers under loss.

use std::{thread, time::Duration};

use cpu_time::ThreadTime;
use hdrhistogram::Histogram;
use membership::MemberState;
use serde::Serialize;
use standins::{NodeTraffic, PeerNetwork, StateChange, router_name};
use types::Timestamp;

use super::StudyError;
use crate::{cli::StudyOptions, output::print_row};

/// Sizes of the fleet, with the simulated time without deaths.
const FLEETS: [(usize, Duration); 3] = [
    (8, Duration::from_secs(10_000)),
    (64, Duration::from_secs(300)),
    (512, Duration::from_secs(15)),
];

/// Shares of the messages that are lost.
const LOSSES: [f64; 3] = [0.0, 0.1, 0.3];

/// Routers that die, all at once.
const DEATHS: usize = 3;

/// Time for all others to notice the deaths.
const NOTICE_LIMIT: Duration = Duration::from_secs(15);

/// Time for all routers to find each other.
const JOIN_LIMIT: Duration = Duration::from_secs(300);

/// Result of one run.
#[derive(Debug, Serialize)]
struct MembershipRow {
    /// Number of routers.
    members: usize,
    /// Share of the messages that were lost.
    loss: f64,
    /// Simulated time until all routers that start at once know each other, in seconds.
    join_s: f64,
    /// Messages that one router sends a second, without deaths.
    sent_messages_per_s: f64,
    /// Bytes that one router sends a second, without deaths.
    sent_bytes_per_s: f64,
    /// Bytes that one router receives a second, without deaths.
    received_bytes_per_s: f64,
    /// Processor time of one router a second, in microseconds, without deaths; encoding
    /// and the simulated network are included.
    processor_us_per_s: f64,
    /// Median time until a router notices the death of another, in milliseconds.
    detection_p50_ms: f64,
    /// Longest time until a router notices the death of another, in milliseconds.
    detection_max_ms: f64,
    /// Deaths that a router had not noticed after 15 s.
    unnoticed_deaths: usize,
    /// Live routers that another router took for dead.
    false_deaths: usize,
    /// Simulated time in which false deaths were counted, in seconds.
    simulated_s: u64,
}

/// Runs the study.
pub(crate) fn run(options: &StudyOptions) -> Result<(), StudyError> {
    for (members, span) in FLEETS {
        if !options.includes(&members.to_string()) {
            continue;
        }
        let seed = options.seed;
        let runs = LOSSES.map(|loss| thread::spawn(move || measure(members, span, loss, seed)));
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
        return Err(StudyError(format!("{members} routers did not find each other")));
    }
    let join_s = seconds(network.now());
    // The last changes of the start are passed on before the traffic is measured.
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

/// Kills some routers at once; returns the times until the others noticed, in
/// microseconds, and how often one did not.
fn measure_detection(network: &mut PeerNetwork, members: usize) -> (Histogram<u64>, usize) {
    let mut detection_us = Histogram::new(3).expect("3 is a valid precision");
    let mut unnoticed = 0;
    let killed_at = network.now();
    (1..=DEATHS).for_each(|dead| network.kill(dead));
    network.run_for(NOTICE_LIMIT);
    let changes = network.take_changes();
    for dead in 1..=DEATHS {
        for observer in (0..members).filter(|it| *it == 0 || *it > DEATHS) {
            let noticed = changes.iter().find(|it| {
                it.observer == observer
                    && it.state == MemberState::Dead
                    && it.id.name == router_name(dead)
            });
            match noticed {
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
