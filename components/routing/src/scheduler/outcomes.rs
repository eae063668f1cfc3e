//! Handling of first tokens and of the outcomes of attempts.

use std::time::Duration;

use types::{Priority, Timestamp};
use utils::{Rng, jitter};

use super::{Lease, Scheduler};
use crate::{AttemptOutcome, CrashRecord};

impl Scheduler {
    /// Records the first token of the attempt that holds `lease`. It arrived `latency` after
    /// the attempt was sent. Later calls for the same lease have no effect.
    pub fn on_first_token(&mut self, lease: u64, latency: Duration, now: Timestamp) {
        let Some(lease) = self.leases.get_mut(&lease) else { return };
        if std::mem::replace(&mut lease.has_first_token, true) {
            return;
        }
        let endpoint = self.table.get_mut(lease.endpoint);
        endpoint.load.end_prompt(lease.prompt_tokens, now);
        let expected_s = lease.expected_s.max(1e-4);
        endpoint.update_slowness(latency.as_secs_f64() / expected_s);
        let expected = Duration::from_secs_f64(expected_s);
        // Bulk requests wait behind other requests on the engine at any limit, so their
        // latency says nothing about the limit.
        if lease.priority != Priority::Bulk {
            endpoint.limit.on_first_token(latency, expected, now);
        }
    }

    /// Releases a lease. Returns the crash record of the content if the outcome changed
    /// it; the caller sends it to the other routers.
    pub fn finish(
        &mut self,
        lease: u64,
        outcome: AttemptOutcome,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Option<CrashRecord> {
        let lease = self.leases.remove(&lease)?;
        let pool = self.table.pool_mut(lease.pool);
        pool.in_progress[lease.priority as usize] -= 1;
        let endpoint = self.table.get_mut(lease.endpoint);
        // Requests of other routers may have started on the endpoint during the trial.
        let was_alone = lease.is_trial
            && !lease.started_with_others
            && endpoint.load.own_requests() == 1
            && endpoint.load.other_requests() == 0;
        if !lease.has_first_token {
            endpoint.load.end_prompt(lease.prompt_tokens, now);
        }
        endpoint.load.remove(now);
        if lease.is_trial {
            endpoint.is_reserved = false;
        }
        match outcome {
            AttemptOutcome::Completed | AttemptOutcome::Rejected => {
                self.record_success(&lease, outcome, now);
                None
            }
            AttemptOutcome::NotSent | AttemptOutcome::TimedOut => {
                self.record_failure(lease.endpoint, now);
                None
            }
            AttemptOutcome::Lost => self.record_loss(&lease, was_alone, now),
            AttemptOutcome::Refused => {
                let until = now + jitter(self.settings.refusal_pause, rng);
                let endpoint = self.table.get_mut(lease.endpoint);
                endpoint.health.end_probe();
                endpoint.health.pause(until);
                endpoint.limit.decrease(now);
                None
            }
            AttemptOutcome::Cancelled => {
                self.table.get_mut(lease.endpoint).health.end_probe();
                None
            }
        }
    }

    fn record_success(&mut self, lease: &Lease, outcome: AttemptOutcome, now: Timestamp) {
        let endpoint = self.table.get_mut(lease.endpoint);
        if endpoint.health.on_success() {
            endpoint.limit.begin_slow_start(now);
        }
        if outcome == AttemptOutcome::Completed {
            let duration = now.since(lease.placed_at);
            self.table.pool_mut(lease.pool).on_completed(lease.priority, duration);
        }
        self.quarantine.on_survived(&lease.fingerprint);
    }

    fn record_loss(
        &mut self,
        lease: &Lease,
        was_alone: bool,
        now: Timestamp,
    ) -> Option<CrashRecord> {
        self.prefixes.forget(lease.endpoint);
        self.record_failure(lease.endpoint, now);
        let name = &self.table.get(lease.endpoint).name;
        let had_first_token = lease.has_first_token;
        self.quarantine.on_loss(lease.fingerprint, name, had_first_token, was_alone, now)
    }
}
