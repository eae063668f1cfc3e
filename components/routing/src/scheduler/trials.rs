//! Trials: a suspected request runs alone, so that no bystander is condemned with it.

use std::time::Duration;

use types::Timestamp;

use super::{ResolvedWaiter, Scheduler, WaiterId, admission::quarantined};
use crate::{EndpointState, Verdict, endpoint::Readiness, endpoint_id::EndpointId, pool::PoolId};

/// Endpoints of a pool for each one that is kept for trials; at least one is.
const ENDPOINTS_PER_TRIAL: usize = 8;

/// Longest time for which a trial waits for the requests of other routers to end.
const OTHERS_WAIT: Duration = Duration::from_secs(5);

impl Scheduler {
    /// Reserves endpoints for the suspected requests of a pool and starts those whose
    /// endpoint is empty.
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

    /// Gives up a reservation whose endpoint takes no new work any more.
    fn drop_lost_reservation(&mut self, id: WaiterId, now: Timestamp) {
        let Some((endpoint, _)) = self.waiters[&id].reserved else { return };
        let state = self.table.get(endpoint).state(now);
        if matches!(state, EndpointState::Leaving | EndpointState::Ejected) {
            self.table.get_mut(endpoint).is_reserved = false;
            self.waiters.get_mut(&id).expect("the waiter exists").reserved = None;
        }
    }

    /// Reserves the emptiest endpoint, unless enough are reserved.
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
        let emptiest = usable.min_by_key(|&&it| self.table.get(it).load.requests()).copied();
        if let Some(endpoint) = emptiest {
            self.table.get_mut(endpoint).is_reserved = true;
            let waiter = self.waiters.get_mut(&id).expect("the waiter exists");
            waiter.reserved = Some((endpoint, now));
        }
    }

    /// Starts a trial whose endpoint is empty. After a while it starts beside requests
    /// of other routers; a loss then does not count as one alone.
    fn start_trial(
        &mut self,
        pool: PoolId,
        id: WaiterId,
        now: Timestamp,
    ) -> Option<ResolvedWaiter> {
        let (endpoint, since) = self.waiters[&id].reserved?;
        let load = &self.table.get(endpoint).load;
        let has_others = load.other_requests() > 0 && now.since(since) < OTHERS_WAIT;
        if load.own_requests() > 0 || has_others {
            return None;
        }
        let chosen = self.candidate(endpoint, pool, &self.waiters[&id].need)?;
        let waiter = self.waiters.remove(&id).expect("the waiter exists");
        self.table.pool_mut(pool).trials.retain(|&it| it != id);
        let lease = self.place(pool, &waiter.need, chosen, true, now);
        Some(ResolvedWaiter { waiter: id, result: Ok(lease) })
    }
}
