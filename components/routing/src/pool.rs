//! Pools: the endpoints of one model or service and the requests waiting for them.
//!
//! Normal and urgent requests are called interactive here. Some endpoints of a pool are
//! interactive endpoints: bulk requests prefer the other ones, so that long bulk prompts
//! do not delay the first tokens of interactive requests.

use std::{collections::VecDeque, time::Duration};

use types::{AccountName, ModelName, Priority, ServiceName};
use utils::{HashMap, HashSet};

use crate::{Target, endpoint_id::EndpointId, fair_queue::FairQueue, scheduler::WaiterId};

/// Weight of a new request duration in the moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Weight of a new share of interactive requests in the moving average.
const INTERACTIVE_SHARE_WEIGHT: f64 = 0.005;

/// Assumed share of interactive requests before the first request.
const INITIAL_INTERACTIVE_SHARE: f64 = 0.12;

/// Ratio of the share of interactive endpoints to the share of interactive requests.
const INTERACTIVE_ENDPOINTS_FACTOR: f64 = 1.8;

/// Bounds of the share of interactive endpoints. Above the upper bound, most requests are
/// interactive and no endpoints are set aside for them.
const INTERACTIVE_ENDPOINTS_SHARE_MIN: f64 = 0.1;
const INTERACTIVE_ENDPOINTS_SHARE_MAX: f64 = 0.6;

/// Size, in endpoints, of the smallest pool that sets some aside for interactive requests.
const SEPARATION_POOL_MIN: usize = 4;

/// Identifier of a pool within one scheduler. It is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct PoolId(pub(crate) u32);

/// Returns the level of a priority in the queue.
pub(crate) fn level_of(priority: Priority) -> u32 {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Bulk => 2,
    }
}

/// What a pool serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum PoolName {
    /// A model.
    Model(ModelName),
    /// A service that is not a model.
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
    /// Endpoints of the pool that this router uses.
    pub(crate) members: Vec<EndpointId>,
    /// The same endpoints, for look-ups.
    pub(crate) member_set: HashSet<EndpointId>,
    /// Index of each member in an order that is the same on all routers.
    pub(crate) ranks: HashMap<EndpointId, usize>,
    /// Number of interactive endpoints: the members of lowest rank.
    interactive_len: usize,
    /// Requests of this router in progress on the endpoints, by priority.
    pub(crate) in_progress: [u32; 3],
    /// Mean share of interactive requests.
    interactive_share: f64,
    /// Waiting requests, without the trials.
    pub(crate) queue: FairQueue<AccountName>,
    /// Requests with suspected content waiting for an endpoint to run alone on, oldest
    /// first.
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
            interactive_len: 0,
            in_progress: [0; 3],
            interactive_share: INITIAL_INTERACTIVE_SHARE,
            queue: FairQueue::default(),
            trials: VecDeque::new(),
            service_s: [0.0; 3],
        }
    }
}

impl Pool {
    /// Reports whether bulk requests prefer other endpoints to this one.
    pub(crate) fn is_interactive(&self, id: EndpointId) -> bool {
        self.ranks.get(&id).is_some_and(|&rank| rank < self.interactive_len)
    }

    /// Updates the mean share of interactive requests and the number of interactive
    /// endpoints. Must be called at regular intervals.
    pub(crate) fn update_interactive_share(&mut self) {
        // Waiting bulk requests are not counted: they use whatever capacity is left.
        let waiting = self.queue.level_len(level_of(Priority::Normal))
            + self.queue.level_len(level_of(Priority::Urgent));
        let bulk = f64::from(self.in_progress[Priority::Bulk as usize]);
        let interactive = f64::from(self.in_progress.iter().sum::<u32>()) - bulk + waiting as f64;
        if bulk + interactive == 0.0 {
            return;
        }
        let share = interactive / (bulk + interactive);
        self.interactive_share += (share - self.interactive_share) * INTERACTIVE_SHARE_WEIGHT;
        let wanted = self.interactive_share * INTERACTIVE_ENDPOINTS_FACTOR;
        let is_separated =
            wanted <= INTERACTIVE_ENDPOINTS_SHARE_MAX && self.members.len() >= SEPARATION_POOL_MIN;
        let wanted = wanted.max(INTERACTIVE_ENDPOINTS_SHARE_MIN) * self.members.len() as f64;
        // The number is positive and at most the number of members.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wanted = wanted.round() as usize;
        self.interactive_len = if is_separated { wanted } else { 0 };
    }

    /// Reports whether some endpoints are set aside for interactive requests.
    pub(crate) fn has_interactive_endpoints(&self) -> bool {
        self.interactive_len > 0
    }

    /// Updates the mean duration of requests of `priority`.
    pub(crate) fn on_completed(&mut self, priority: Priority, duration: Duration) {
        let mean = &mut self.service_s[priority as usize];
        let weight = if *mean == 0.0 { 1.0 } else { SERVICE_TIME_WEIGHT };
        *mean += (duration.as_secs_f64() - *mean) * weight;
    }

    /// Returns the mean time from placement to completion of requests of `priority`; zero
    /// before the first.
    pub(crate) fn service_time(&self, priority: Priority) -> Duration {
        Duration::from_secs_f64(self.service_s[priority as usize])
    }
}
