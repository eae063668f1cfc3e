//! Pools: the endpoints of one model or service, and the requests that wait for them.

use std::{collections::VecDeque, time::Duration};

use types::{ModelName, Priority, ServiceName};
use utils::{HashMap, HashSet};

use crate::{Target, endpoint_id::EndpointId, fair_queue::FairQueue, scheduler::WaiterId};

/// Weight of a new duration in the mean.
const SERVICE_WEIGHT: f64 = 0.05;

/// Weight of a new share of quick requests in the mean.
const QUICK_WEIGHT: f64 = 0.005;

/// Share of quick requests before any was seen.
const INITIAL_QUICK_SHARE: f64 = 0.12;

/// Share of the endpoints that are quick, over the share of quick requests.
const QUICK_FACTOR: f64 = 1.8;

/// Bounds of the share of endpoints that are quick. Above the upper one nothing is
/// kept apart: most requests are quick.
const QUICK_SHARE_MIN: f64 = 0.1;
const QUICK_SHARE_MAX: f64 = 0.6;

/// Smallest pool in which quick endpoints are kept apart.
const QUICK_POOL_MIN: usize = 4;

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
#[derive(Debug)]
pub(crate) struct Pool {
    /// Endpoints that this router uses.
    pub(crate) members: Vec<EndpointId>,
    /// The same, for look-ups.
    pub(crate) member_set: HashSet<EndpointId>,
    /// Place of each member in an order that is the same on all routers.
    pub(crate) ranks: HashMap<EndpointId, usize>,
    /// The members of lowest rank that bulk requests leave to the others where they can.
    quick_len: usize,
    /// Requests of this router on the endpoints, by priority.
    pub(crate) in_progress: [u32; 3],
    /// Mean share of requests that are not bulk.
    quick_share: f64,
    /// Requests that wait.
    pub(crate) queue: FairQueue,
    /// Suspected requests that wait for an endpoint of their own, oldest first.
    pub(crate) trials: VecDeque<WaiterId>,
    /// Mean duration of completed requests by priority, in seconds; zero before the
    /// first.
    service_s: [f64; 3],
}

impl Default for Pool {
    fn default() -> Pool {
        Pool {
            members: Vec::new(),
            member_set: HashSet::default(),
            ranks: HashMap::default(),
            quick_len: 0,
            in_progress: [0; 3],
            quick_share: INITIAL_QUICK_SHARE,
            queue: FairQueue::default(),
            trials: VecDeque::new(),
            service_s: [0.0; 3],
        }
    }
}

impl Pool {
    /// Tells whether bulk requests leave the endpoint to the others where they can.
    pub(crate) fn is_quick(&self, id: EndpointId) -> bool {
        self.ranks.get(&id).is_some_and(|&rank| rank < self.quick_len)
    }

    /// Learns the share of requests that are not bulk. To be called regularly.
    pub(crate) fn learn_quick_share(&mut self) {
        // Bulk requests that wait say nothing: they take whatever is left.
        let waiting = self.queue.band_len(Priority::Normal) + self.queue.band_len(Priority::Urgent);
        let bulk = f64::from(self.in_progress[Priority::Bulk as usize]);
        let quick = f64::from(self.in_progress.iter().sum::<u32>()) - bulk + waiting as f64;
        if bulk + quick == 0.0 {
            return;
        }
        let share = quick / (bulk + quick);
        self.quick_share += (share - self.quick_share) * QUICK_WEIGHT;
        let wanted = self.quick_share * QUICK_FACTOR;
        let is_apart = wanted <= QUICK_SHARE_MAX && self.members.len() >= QUICK_POOL_MIN;
        let wanted = wanted.max(QUICK_SHARE_MIN) * self.members.len() as f64;
        // The number is positive and at most the number of members.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wanted = wanted.round() as usize;
        self.quick_len = if is_apart { wanted } else { 0 };
    }

    /// Tells whether some endpoints are kept apart.
    pub(crate) fn has_quick(&self) -> bool {
        self.quick_len > 0
    }

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
