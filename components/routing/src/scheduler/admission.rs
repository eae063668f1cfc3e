//! Admission: places, queue, early refusal.

use std::time::Duration;

use errors::{Error, ErrorKind};
use types::Timestamp;
use utils::{Rng, jitter};

use super::{Decision, ResolvedWaiter, Scheduler, Waiter, WaiterId, placing::Choice};
use crate::{
    EndpointLease, EndpointNeed, Verdict,
    pool::{Pool, PoolId, PoolName},
};

/// Waiters of a priority that are tried where the first is not served by any endpoint.
const HEADS_TRIED: usize = 4;

/// Shortest delay of a refused request.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(200);

/// Longest delay of a refused request.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(30);

impl Scheduler {
    /// Asks for an endpoint. A refusal costs no search and no memory.
    pub fn submit(&mut self, need: &EndpointNeed, now: Timestamp, rng: &mut Rng) -> Decision {
        let Some(pool) = self.table.pool_id(&PoolName::from_target(&need.target)) else {
            return Decision::Refuse(no_endpoint());
        };
        if now >= need.deadline {
            return Decision::Refuse(deadline_passed());
        }
        match self.quarantine.verdict(&need.fingerprint) {
            Verdict::Quarantined => return Decision::Refuse(quarantined()),
            Verdict::Suspect => return self.enqueue_trial(pool, need),
            Verdict::Clear => {}
        }
        if self.table.pool(pool).queue.has_waiters(need.priority) {
            return self.enqueue(pool, need, now, rng);
        }
        match self.choose(pool, need, now, rng) {
            Choice::Place(chosen) => Decision::Place(self.place(pool, need, chosen, false, now)),
            Choice::Busy => self.enqueue(pool, need, now, rng),
            Choice::Loading(since) => self.enqueue_loading(pool, need, since, now, rng),
            Choice::Absent => Decision::Refuse(no_endpoint()),
        }
    }

    /// Withdraws a request that waits.
    pub fn cancel(&mut self, id: WaiterId) {
        let Some(waiter) = self.waiters.remove(&id) else { return };
        let pool = self.table.pool_mut(waiter.pool);
        pool.queue.remove(id);
        pool.trials.retain(|&it| it != id);
        if let Some((endpoint, _)) = waiter.reserved {
            self.table.get_mut(endpoint).is_reserved = false;
        }
    }

    /// Resolves the requests that need to wait no longer. To be called after each event
    /// that may give room.
    pub fn poll(&mut self, now: Timestamp, rng: &mut Rng) -> Vec<ResolvedWaiter> {
        let mut resolved = Vec::new();
        if self.waiters.is_empty() {
            return resolved;
        }
        for index in 0..self.table.pools.len() {
            let pool = PoolId(u32::try_from(index).expect("few pools"));
            self.poll_trials(pool, now, &mut resolved);
            while let Some(one) = self.grant_next(pool, now, rng) {
                resolved.push(one);
            }
        }
        resolved
    }

    /// Refuses the waiting requests that can no longer meet their deadline. To be
    /// called every few tens of milliseconds.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<ResolvedWaiter> {
        self.quarantine.expire(now);
        self.table.pools.iter_mut().for_each(Pool::learn_quick_share);
        let is_late = |waiter: &Waiter| now >= waiter.need.deadline;
        let late: Vec<WaiterId> =
            self.waiters.iter().filter(|(_, it)| is_late(it)).map(|(id, _)| *id).collect();
        late.into_iter()
            .map(|waiter| {
                self.cancel(waiter);
                ResolvedWaiter { waiter, result: Err(deadline_passed()) }
            })
            .collect()
    }

    /// Grants one waiting request of the pool, or refuses it; `None` where all go on
    /// waiting.
    fn grant_next(
        &mut self,
        pool: PoolId,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Option<ResolvedWaiter> {
        for priority in self.table.pool(pool).queue.turns(now) {
            for id in self.table.pool(pool).queue.heads(priority, HEADS_TRIED) {
                let need = &self.waiters[&id].need;
                if self.is_hopeless(pool, need, now) {
                    self.cancel(id);
                    return Some(ResolvedWaiter { waiter: id, result: Err(deadline_passed()) });
                }
                match self.choose(pool, need, now, rng) {
                    Choice::Place(chosen) => {
                        let lease = self.grant(id, pool, chosen, now);
                        return Some(ResolvedWaiter { waiter: id, result: Ok(lease) });
                    }
                    Choice::Busy => break,
                    Choice::Loading(_) | Choice::Absent => {}
                }
            }
        }
        None
    }

    fn grant(
        &mut self,
        id: WaiterId,
        pool: PoolId,
        chosen: super::placing::Candidate,
        now: Timestamp,
    ) -> EndpointLease {
        self.table.pool_mut(pool).queue.grant(id, now);
        let waiter = self.waiters.remove(&id).expect("a queued waiter exists");
        self.place(pool, &waiter.need, chosen, false, now)
    }

    /// Tells whether a request would not end before its deadline even if sent now.
    fn is_hopeless(&self, pool: PoolId, need: &EndpointNeed, now: Timestamp) -> bool {
        now + self.table.pool(pool).service_time(need.priority) > need.deadline
    }

    fn enqueue(
        &mut self,
        pool: PoolId,
        need: &EndpointNeed,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Decision {
        let (queue, settings) = (&self.table.pool(pool).queue, &self.settings);
        let wait = queue.estimate_wait(need.priority, now);
        if queue.account_len(&need.account, need.priority) >= settings.account_queue_max {
            let message = "the client account has too many requests waiting";
            return refuse_for_now(ErrorKind::QueueFull, message, wait, rng);
        }
        let service = self.table.pool(pool).service_time(need.priority);
        let is_late = now + wait + service > need.deadline;
        if is_late || self.waiters.len() >= settings.queue_max {
            let message = "the deadline cannot be met under the present load";
            return refuse_for_now(ErrorKind::Overloaded, message, wait, rng);
        }
        Decision::Wait(self.push_waiter(pool, need, now))
    }

    /// Lets a request wait for a load, if the load is expected to end in time.
    fn enqueue_loading(
        &mut self,
        pool: PoolId,
        need: &EndpointNeed,
        since: Timestamp,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Decision {
        let ready_at = self.ready_at(need, since, now);
        let service = self.table.pool(pool).service_time(need.priority);
        if ready_at + service > need.deadline {
            let message = "the model is being loaded and will not be ready in time";
            return refuse_for_now(ErrorKind::ModelLoading, message, ready_at.since(now), rng);
        }
        self.enqueue(pool, need, now, rng)
    }

    fn push_waiter(&mut self, pool: PoolId, need: &EndpointNeed, now: Timestamp) -> WaiterId {
        let id = WaiterId(self.take_id());
        let cost = need.prompt_tokens.saturating_add(need.max_output_tokens);
        let queue = &mut self.table.pool_mut(pool).queue;
        queue.push(id, &need.account, need.weight, need.priority, cost, now);
        self.waiters.insert(id, Waiter { need: need.clone(), pool, reserved: None });
        id
    }

    /// Lets a suspected request wait for an endpoint of its own.
    fn enqueue_trial(&mut self, pool: PoolId, need: &EndpointNeed) -> Decision {
        let id = WaiterId(self.take_id());
        self.waiters.insert(id, Waiter { need: need.clone(), pool, reserved: None });
        self.table.pool_mut(pool).trials.push_back(id);
        Decision::Wait(id)
    }
}

fn refuse_for_now(kind: ErrorKind, message: &str, wait: Duration, rng: &mut Rng) -> Decision {
    let delay = jitter(wait.clamp(RETRY_DELAY_MIN, RETRY_DELAY_MAX), rng);
    Decision::Refuse(Error::new(kind, message).with_retry_delay(delay))
}

fn no_endpoint() -> Error {
    Error::new(ErrorKind::NoEndpoint, "no endpoint may serve the request")
}

pub(super) fn quarantined() -> Error {
    Error::new(ErrorKind::Quarantined, "the content crashed endpoints before")
}

fn deadline_passed() -> Error {
    Error::new(ErrorKind::DeadlineBeforeRun, "no endpoint had room before the deadline")
}
