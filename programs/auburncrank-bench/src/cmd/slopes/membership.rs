//! Cost of the failure detector against the number of routers.

use std::time::Duration;

use cpu_time::ThreadTime;
use standins::{NodeTraffic, PeerNetwork};

use super::fit::Slope;
use crate::{cmd::StudyError, memory::AllocationMeter};

/// Numbers of routers.
const ROUTER_COUNTS: [usize; 4] = [32, 64, 128, 256];

/// Longest time for all routers to discover each other.
const JOIN_LIMIT: Duration = Duration::from_secs(120);

/// Time for the last membership changes of the start to propagate.
const SETTLE_TIME: Duration = Duration::from_secs(60);

/// Simulated time that is measured.
const MEASURED_TIME: Duration = Duration::from_secs(30);

/// Measures traffic, processor time and memory of one router.
pub(super) fn measure(seed: u64) -> Result<Vec<Slope>, StudyError> {
    let (mut messages, mut bytes) = (Vec::new(), Vec::new());
    let (mut processor, mut memory) = (Vec::new(), Vec::new());
    for routers in ROUTER_COUNTS {
        let size = routers as f64;
        let meter = AllocationMeter::start();
        let mut network = PeerNetwork::new(routers, seed);
        if !network.run_until_converged(JOIN_LIMIT) {
            return Err(StudyError(format!(
                "{routers} routers did not discover each other in time"
            )));
        }
        network.run_for(SETTLE_TIME);
        network.take_changes();
        memory.push((size, meter.net_bytes() / size));
        let before = sent_traffic(&network, routers);
        let started = ThreadTime::now();
        network.run_for(MEASURED_TIME);
        let micros = started.elapsed().as_micros() as f64;
        let after = sent_traffic(&network, routers);
        let node_seconds = size * MEASURED_TIME.as_secs_f64();
        let rate = |before: u64, after: u64| (after - before) as f64 / node_seconds;
        messages.push((size, rate(before.sent_messages, after.sent_messages)));
        bytes.push((size, rate(before.sent_bytes, after.sent_bytes)));
        processor.push((size, micros / node_seconds));
    }
    Ok(vec![
        Slope::fit("membership messages sent by a router, 1/s", "routers", messages)?,
        Slope::fit("membership bytes sent by a router, B/s", "routers", bytes)?,
        Slope::fit("membership processor time of a router, us/s", "routers", processor)?,
        Slope::fit("membership memory of a router, B", "routers", memory)?,
    ])
}

fn sent_traffic(network: &PeerNetwork, routers: usize) -> NodeTraffic {
    let mut total = NodeTraffic::default();
    for node in 0..routers {
        let traffic = network.traffic(node);
        total.sent_messages += traffic.sent_messages;
        total.sent_bytes += traffic.sent_bytes;
    }
    total
}
