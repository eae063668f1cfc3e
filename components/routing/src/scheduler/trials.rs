//! Trials: a request with suspected content runs alone on a reserved endpoint, so that a
//! crash is not attributed to unrelated requests.

use std::time::Duration;

use types::Timestamp;

use super::{ResolvedWaiter, Scheduler, WaiterId, admission::quarantined};
use crate::{EndpointState, Verdict, endpoint::Readiness, endpoint_id::EndpointId, pool::PoolId};

/// Number of endpoints that a pool needs for each endpoint that it may reserve for trials. A
/// smaller pool may reserve one.
const ENDPOINTS_PER_TRIAL: usize = 8;

/// Longest time for which a trial waits for other routers' requests on its endpoint to
/// finish.
const OTHER_REQUESTS_WAIT_MAX: Duration = Duration::from_secs(5);

impl Scheduler {
    /// Reserves endpoints for the waiting trials of a pool and starts the trials whose
    /// endpoint is idle.
    pub(super) fn poll_trials(
        &mut self,
        pool: PoolId,
        now: Timestamp,
        resolved: &mut Vec<ResolvedWaiter>,
    ) {
        let waiting: Vec<WaiterId> = self.table.pool(pool).trials.iter().copied().collect();
        for id in waiting {
            let fingerprint = self.waiters[&id].need.fingerprint;
            if self.quarantine.verdict(&fingerprint) == Verdict::Quarantined {
                self.cancel(id);
                resolved.push(ResolvedWaiter { waiter: id, result: Err(quarantined()) });
                continue;
            }
            self.drop_lost_reservation(id, now);
            if self.waiters[&id].reserved.is_none() {
                self.reserve(pool, id, now);
            }
            resolved.extend(self.start_trial(pool, id, now));
        }
    }

    /// Drops a reservation whose endpoint no longer accepts new requests.
    fn drop_lost_reservation(&mut self, id: WaiterId, now: Timestamp) {
        let Some((endpoint, _)) = self.waiters[&id].reserved else { return };
        let state = self.table.get(endpoint).state(now);
        if matches!(state, EndpointState::Leaving | EndpointState::Ejected) {
            self.table.get_mut(endpoint).is_reserved = false;
            self.waiters.get_mut(&id).expect("a trial has an entry in `waiters`").reserved = None;
        }
    }

    /// Reserves the least loaded endpoint, unless the pool's share of endpoints for trials
    /// is already reserved.
    fn reserve(&mut self, pool: PoolId, id: WaiterId, now: Timestamp) {
        let members = &self.table.pool(pool).members;
        let reserved = members.iter().filter(|&&it| self.table.get(it).is_reserved).count();
        if reserved >= (members.len() / ENDPOINTS_PER_TRIAL).max(1) {
            return;
        }
        let need = &self.waiters[&id].need;
        let is_usable = |it: &&EndpointId| {
            let endpoint = self.table.get(**it);
            endpoint.state(now) == EndpointState::Serving
                && !endpoint.is_reserved
                && !need.avoid.contains(&endpoint.name)
                && matches!(endpoint.readiness(&need.target), Readiness::Ready(_))
        };
        let usable = members.iter().filter(is_usable);
        let least_loaded = usable.min_by_key(|&&it| self.table.get(it).load.requests()).copied();
        if let Some(endpoint) = least_loaded {
            self.table.get_mut(endpoint).is_reserved = true;
            let waiter = self.waiters.get_mut(&id).expect("a trial has an entry in `waiters`");
            waiter.reserved = Some((endpoint, now));
        }
    }

    /// Starts a trial whose endpoint is idle. After [`OTHER_REQUESTS_WAIT_MAX`] it starts
    /// even if other routers have requests on the endpoint; a loss then does not count as
    /// one that happened alone.
    fn start_trial(
        &mut self,
        pool: PoolId,
        id: WaiterId,
        now: Timestamp,
    ) -> Option<ResolvedWaiter> {
        let (endpoint, since) = self.waiters[&id].reserved?;
        let load = &self.table.get(endpoint).load;
        let has_others = load.other_requests() > 0 && now.since(since) < OTHER_REQUESTS_WAIT_MAX;
        if load.own_requests() > 0 || has_others {
            return None;
        }
        let chosen = self.candidate_for(endpoint, pool, &self.waiters[&id].need)?;
        let waiter = self.waiters.remove(&id).expect("a trial has an entry in `waiters`");
        self.table.pool_mut(pool).trials.retain(|&it| it != id);
        let lease = self.place(pool, &waiter.need, chosen, true, now);
        Some(ResolvedWaiter { waiter: id, result: Ok(lease) })
    }
}
