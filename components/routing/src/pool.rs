//! Pools: the endpoints of one model or service, and the requests that wait for them.

use std::{collections::VecDeque, time::Duration};

use types::{ModelName, Priority, ServiceName};
use utils::HashSet;

use crate::{Target, endpoint_id::EndpointId, fair_queue::FairQueue, scheduler::WaiterId};

/// Weight of a new duration in the mean.
const SERVICE_WEIGHT: f64 = 0.05;

/// Number of a pool inside of one scheduler; kept for ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct PoolId(pub(crate) u32);

/// What a pool serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum PoolName {
    /// A model.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

impl PoolName {
    pub(crate) fn from_target(target: &Target) -> PoolName {
        match target {
            Target::Model { model, .. } => PoolName::Model(model.clone()),
            Target::Service(service) => PoolName::Service(service.clone()),
        }
    }
}

/// The endpoints of one model or service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Endpoints that this router uses.
    pub(crate) members: Vec<EndpointId>,
    /// The same, for look-ups.
    pub(crate) member_set: HashSet<EndpointId>,
    /// Requests that wait.
    pub(crate) queue: FairQueue,
    /// Suspected requests that wait for an endpoint of their own, oldest first.
    pub(crate) trials: VecDeque<WaiterId>,
    /// Mean duration of completed requests by priority, in seconds; zero before the
    /// first.
    service_s: [f64; 3],
}

impl Pool {
    /// Learns from a completed request.
    pub(crate) fn on_completed(&mut self, priority: Priority, duration: Duration) {
        let mean = &mut self.service_s[priority as usize];
        let weight = if *mean == 0.0 { 1.0 } else { SERVICE_WEIGHT };
        *mean += (duration.as_secs_f64() - *mean) * weight;
    }

    /// Returns the mean duration of a request once it is sent.
    pub(crate) fn service_time(&self, priority: Priority) -> Duration {
        Duration::from_secs_f64(self.service_s[priority as usize])
    }
}
