//! Admission: immediate placement, queueing and early refusal of requests.

use std::time::Duration;

use errors::{Error, ErrorKind};
use types::Timestamp;
use utils::{Rng, jitter};

use super::{Decision, ResolvedWaiter, Scheduler, Waiter, WaiterId, placing::Choice};
use crate::{
    EndpointLease, EndpointNeed, Verdict,
    fair_queue::QueuedRequest,
    pool::{Pool, PoolId, PoolName, level_of},
};

/// Waiters at the head of a priority's queue that are tried, in case no endpoint serves
/// the first ones.
const QUEUE_HEADS_TRIED: usize = 4;

/// Lower bound of the retry delay sent with a refusal, before jitter.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(200);

/// Upper bound of the retry delay sent with a refusal, before jitter.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(30);

impl Scheduler {
    /// Requests an endpoint: the request is placed at once, queued or refused. A refusal
    /// leaves no state behind, and needs no search of endpoints while other requests wait.
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
        if self.table.pool(pool).queue.has_waiters(level_of(need.priority)) {
            return self.enqueue(pool, need, now, rng);
        }
        match self.choose(pool, need, now, rng) {
            Choice::Place(chosen) => Decision::Place(self.place(pool, need, chosen, false, now)),
            Choice::Busy => self.enqueue(pool, need, now, rng),
            Choice::Loading(since) => self.enqueue_loading(pool, need, since, now, rng),
            Choice::Absent => Decision::Refuse(no_endpoint()),
        }
    }

    /// Removes a waiting request and releases the endpoint reserved for it, if any.
    pub fn cancel(&mut self, id: WaiterId) {
        let Some(waiter) = self.waiters.remove(&id) else { return };
        let pool = self.table.pool_mut(waiter.pool);
        pool.queue.remove(id);
        pool.trials.retain(|&it| it != id);
        if let Some((endpoint, _)) = waiter.reserved {
            self.table.get_mut(endpoint).is_reserved = false;
        }
    }

    /// Resolves the waiting requests that can be placed or must be refused now. Must be
    /// called after each event that may free capacity.
    pub fn poll(&mut self, now: Timestamp, rng: &mut Rng) -> Vec<ResolvedWaiter> {
        let mut resolved = Vec::new();
        if self.waiters.is_empty() {
            return resolved;
        }
        for index in 0..self.table.pools.len() {
            let pool = PoolId(u32::try_from(index).expect("the number of pools fits in u32"));
            self.poll_trials(pool, now, &mut resolved);
            while let Some(one) = self.grant_next(pool, now, rng) {
                resolved.push(one);
            }
        }
        resolved
    }

    /// Refuses the waiting requests whose deadline has passed. Also drops expired crash
    /// records and updates the pools' share of interactive requests. Must be called every few
    /// tens of milliseconds.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<ResolvedWaiter> {
        self.quarantine.expire(now);
        self.table.pools.iter_mut().for_each(Pool::update_interactive_share);
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

    /// Places or refuses one waiting request of the pool. Returns `None` if all of them
    /// have to keep waiting.
    fn grant_next(
        &mut self,
        pool: PoolId,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Option<ResolvedWaiter> {
        for level in self.table.pool(pool).queue.grant_order(now) {
            for id in self.table.pool(pool).queue.heads(level, QUEUE_HEADS_TRIED) {
                let need = &self.waiters[&id].need;
                if self.would_miss_deadline(pool, need, now) {
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
        let waiter = self.waiters.remove(&id).expect("a queued request has an entry in `waiters`");
        self.place(pool, &waiter.need, chosen, false, now)
    }

    /// Reports whether a request is expected to miss its deadline even if sent now.
    fn would_miss_deadline(&self, pool: PoolId, need: &EndpointNeed, now: Timestamp) -> bool {
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
        let wait = queue.estimate_wait(level_of(need.priority), now);
        if queue.account_len(&need.account, level_of(need.priority)) >= settings.account_queue_max {
            let message = "the client account has too many requests waiting";
            return refuse_with_retry_delay(ErrorKind::QueueFull, message, wait, rng);
        }
        let service_time = self.table.pool(pool).service_time(need.priority);
        let is_late = now + wait + service_time > need.deadline;
        if is_late || self.waiters.len() >= settings.queue_max {
            let message = "the deadline cannot be met under the current load";
            return refuse_with_retry_delay(ErrorKind::Overloaded, message, wait, rng);
        }
        Decision::Wait(self.push_waiter(pool, need, now))
    }

    /// Queues a request until its model is loaded, if the load is expected to end in time.
    fn enqueue_loading(
        &mut self,
        pool: PoolId,
        need: &EndpointNeed,
        since: Timestamp,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Decision {
        let ready_at = self.ready_at(need, since, now);
        let service_time = self.table.pool(pool).service_time(need.priority);
        if ready_at + service_time > need.deadline {
            let message = "the model is being loaded and will not be ready in time";
            return refuse_with_retry_delay(
                ErrorKind::ModelLoading,
                message,
                ready_at.since(now),
                rng,
            );
        }
        self.enqueue(pool, need, now, rng)
    }

    fn push_waiter(&mut self, pool: PoolId, need: &EndpointNeed, now: Timestamp) -> WaiterId {
        let id = WaiterId(self.allocate_id());
        let cost = need.prompt_tokens.saturating_add(need.max_output_tokens);
        let request = QueuedRequest {
            id,
            account: need.account.clone(),
            weight: need.weight,
            level: level_of(need.priority),
            cost,
            start_by: Timestamp(u64::MAX),
            // Requests of one account are granted in the order of their arrival.
            deadline: Timestamp(u64::MAX),
            is_returned: false,
        };
        self.table.pool_mut(pool).queue.push(&request, now);
        self.waiters.insert(id, Waiter { need: need.clone(), pool, reserved: None });
        id
    }

    /// Queues a request with suspected content until it can run alone on an endpoint.
    fn enqueue_trial(&mut self, pool: PoolId, need: &EndpointNeed) -> Decision {
        let id = WaiterId(self.allocate_id());
        self.waiters.insert(id, Waiter { need: need.clone(), pool, reserved: None });
        self.table.pool_mut(pool).trials.push_back(id);
        Decision::Wait(id)
    }
}

fn refuse_with_retry_delay(
    kind: ErrorKind,
    message: &str,
    wait: Duration,
    rng: &mut Rng,
) -> Decision {
    let delay = jitter(wait.clamp(RETRY_DELAY_MIN, RETRY_DELAY_MAX), rng);
    Decision::Refuse(Error::new(kind, message).with_retry_delay(delay))
}

fn no_endpoint() -> Error {
    Error::new(ErrorKind::NoEndpoint, "no available endpoint serves the requested model or service")
}

pub(super) fn quarantined() -> Error {
    Error::new(ErrorKind::Quarantined, "the content crashed endpoints before")
}

fn deadline_passed() -> Error {
    Error::new(ErrorKind::DeadlineBeforeRun, "no endpoint had capacity before the deadline")
}
