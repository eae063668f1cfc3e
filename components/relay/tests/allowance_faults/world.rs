//! A simulation of routers that share a store, with faults.

use std::{collections::BTreeMap, time::Duration};

use platform::{CommitOutcome, PlatformError, StoreTime};
use rand::Rng as _;
use relay::allowance::{
    ACCOUNT_PREFIX, AllowanceRow, CommitInputs, HOLDINGS_PREFIX, RECOVERY_PREFIX, RouterProcess,
    Stage,
};
use types::Timestamp;
use utils::{Rng, seeded_rng};

use crate::{
    ACCOUNT, LIMIT, ROUTERS, STEP, STEPS,
    router::{ConfiguredAccount, Router, SyncStep},
    store::{SentCommit, Store},
};

/// Speed of each router's clock compared with that of the store, if they differ.
const CLOCK_SPEEDS: [f64; ROUTERS] = [1.0, 0.92, 1.08, 1.03];

/// Returns the duration of a number of steps.
fn elapsed(steps: u64) -> Duration {
    STEP * u32::try_from(steps).expect("the number of steps is small")
}

/// Faults of a simulation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    /// Whether the store is unavailable to all routers in some periods.
    pub(crate) outages: bool,
    /// Probability that a router crashes in a step.
    pub(crate) crash: f64,
    /// Probability that the answer to a commit is lost.
    pub(crate) lost_answer: f64,
    /// Probability that all routers crash in a step.
    pub(crate) power_loss: f64,
    /// Probability that a loan is lost in transit.
    pub(crate) lost_loan: f64,
    /// Probability that a router changes its view of which routers are holders in a step.
    pub(crate) differing_holders: f64,
    /// Probability that a router begins to shut down in a step.
    pub(crate) shutdown: f64,
    /// Probability that the operator changes the limit in a step, to between half of the first one and
    /// that.
    pub(crate) limit_change: f64,
    /// Probability that the store comes back from an older copy in a step.
    pub(crate) old_copy: f64,
    /// Probability that a router makes no call to the store in a step, so that other commits take
    /// effect between its calls.
    pub(crate) no_call: f64,
    /// Whether the routers' clocks differ in speed.
    pub(crate) clock_drift: bool,
}

/// A simulation: the routers, the store, and the tokens actually spent.
pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) routers: Vec<Router>,
    pub(crate) account: ConfiguredAccount,
    /// The highest limit so far.
    highest_limit: u64,
    pub(crate) spent: u64,
    pub(crate) step: u64,
    pub(crate) next_process: u64,
    pub(crate) rng: Rng,
    pub(crate) faults: Faults,
    pub(crate) served: u64,
    /// Processes, and the last step in which each of them was alive.
    pub(crate) alive: BTreeMap<RouterProcess, u64>,
}

impl World {
    pub(crate) fn new(seed: u64, faults: Faults) -> World {
        let account = ConfiguredAccount { limit: LIMIT, version: 1 };
        let routers = (0..ROUTERS)
            .map(|index| Router::start(format!("router-{index}").into(), index as u64, &account));
        World {
            store: Store::default(),
            routers: routers.collect(),
            account,
            highest_limit: LIMIT,
            spent: 0,
            step: 0,
            next_process: 1_000,
            rng: seeded_rng(seed),
            faults,
            served: 0,
            alive: BTreeMap::new(),
        }
    }

    /// Returns the time on the clock of a router.
    pub(crate) fn now_of(&self, index: usize) -> Timestamp {
        Timestamp::ZERO + elapsed(self.step).mul_f64(self.clock_speed(index))
    }

    fn clock_speed(&self, index: usize) -> f64 {
        if self.faults.clock_drift { CLOCK_SPEEDS[index] } else { 1.0 }
    }

    pub(crate) fn store_millis(&self) -> u64 {
        elapsed(self.step).as_millis() as u64 + 77_000
    }

    /// Returns the tokens that are neither spent nor drawn from the account's row nor held: nobody can
    /// spend them any more.
    pub(crate) fn lost(&self) -> u64 {
        let rows = self.store.rows_of(ACCOUNT_PREFIX);
        let drawn = rows.first().map_or(0, |it| it.decode::<AllowanceRow>().unwrap().drawn);
        let held: u64 = self.routers.iter().map(Router::held).sum();
        let used: u64 = self.routers.iter().flat_map(|it| &it.running).map(|(_, used)| used).sum();
        drawn - self.spent - (held - used)
    }

    pub(crate) fn is_store_unavailable(&self) -> bool {
        self.faults.outages && self.step % 400 > 180
    }

    pub(crate) fn run(&mut self) {
        self.run_until(STEPS);
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while self.step < end {
            self.step += 1;
            self.store.apply_late_commits(self.step);
            if self.rng.random_bool(self.faults.power_loss) {
                (0..ROUTERS).for_each(|index| self.crash(index));
            }
            self.change_limit_sometimes();
            self.store.copy(self.step);
            if self.happens(self.faults.old_copy) {
                let age = self.rng.random_range(20..200);
                self.store.return_to_copy(age);
            }
            for index in 0..ROUTERS {
                self.step_router(index);
                self.check_ledger(index);
            }
            let (spent, limit) = (self.spent, self.highest_limit);
            assert!(spent <= limit, "step {}: {spent} spent of {limit}", self.step);
        }
    }

    /// Checks that a router has given away or still holds what it has received, and that it holds no
    /// more than what is its own.
    fn check_ledger(&self, index: usize) {
        // The store's account of the processes' tokens does not follow it to another era.
        if self.routers[index].down_until.is_some() || self.store.era > 0 {
            return;
        }
        let own = self.store.unspent.get(&self.routers[index].process).copied().unwrap_or_default();
        let used: u64 = self.routers[index].running.iter().map(|(_, used)| used).sum();
        let unspent = (self.routers[index].held() - used).cast_signed();
        assert!(unspent <= own, "step {}: {unspent} held of {own}", self.step);
        let Some(allowance) = self.routers[index].allowances.account(ACCOUNT) else { return };
        let it = allowance.ledger();
        let received = it.drawn + it.borrowed + it.taken_over;
        let kept = allowance.held() + allowance.returning();
        assert_eq!(received, kept + it.spent + it.lent + it.returned, "{it:?}");
    }

    pub(crate) fn step_router(&mut self, index: usize) {
        if let Some(until) = self.routers[index].down_until {
            if self.step < until {
                return;
            }
            self.next_process += 1;
            let name = self.routers[index].name.clone();
            self.routers[index] = Router::start(name, self.next_process, &self.account);
        }
        if self.rng.random_bool(self.faults.differing_holders) {
            self.choose_random_holders(index);
        }
        self.shut_down_sometimes(index);
        if self.routers[index].down_until.is_some() {
            return;
        }
        if self.routers[index].stage == Stage::Serving {
            self.serve_requests(index);
        } else {
            self.routers[index].end_requests();
        }
        self.sync_with_store(index);
        self.exchange_with_witnesses(index);
        self.exchange_draw_notices(index);
        self.alive.insert(self.routers[index].identity(), self.step);
        if self.rng.random_bool(0.3) {
            self.request_loan(index, 300);
        }
        self.return_surplus(index);
        if self.rng.random_bool(self.faults.crash) {
            self.crash(index);
        }
    }

    /// Returns whether a fault happens; draws no random number for a fault that never does.
    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    /// Sets the limit; each router learns it later, or at its restart.
    pub(crate) fn set_limit(&mut self, limit: u64) {
        let version = self.account.version + 1;
        self.account = ConfiguredAccount { limit, version };
        self.highest_limit = self.highest_limit.max(limit);
    }

    /// Changes the limit at random.
    fn change_limit_sometimes(&mut self) {
        if self.happens(self.faults.limit_change) {
            let limit = self.rng.random_range(LIMIT / 2..=LIMIT);
            self.set_limit(limit);
        }
        for router in &mut self.routers {
            if router.version < self.account.version && self.rng.random_bool(0.1) {
                router.version = self.account.version;
                router.allowances.set_accounts(&self.account.by_key(), self.account.version);
            }
        }
    }

    pub(crate) fn crash(&mut self, index: usize) {
        let down = self.rng.random_range(5..90);
        self.crash_for(index, down);
    }

    pub(crate) fn crash_for(&mut self, index: usize, down: u64) {
        self.routers[index].down_until = Some(self.step + down);
        self.routers[index].running.clear();
    }

    /// Begins to shut a router down, or ends its process once it has returned its tokens or its time
    /// is over. It starts again soon after.
    fn shut_down_sometimes(&mut self, index: usize) {
        let (step, now) = (self.step, self.now_of(index));
        let begins = self.happens(self.faults.shutdown);
        let router = &mut self.routers[index];
        match router.ends_at {
            None if begins => {
                router.stage = Stage::Leaving;
                router.ends_at = Some(step + self.rng.random_range(10..60));
            }
            None => {}
            Some(at) => {
                if step + 8 >= at {
                    router.stage = Stage::Ended;
                }
                let is_done = router.stage == Stage::Ended
                    && !router.allowances.has_pending()
                    && !router.allowances.must_read_rows(now)
                    && router.held() == 0;
                if is_done || step >= at {
                    router.down_until = Some(step + self.rng.random_range(2..20));
                    self.send_final_notice(index);
                }
            }
        }
    }

    /// Starts requests, lets running ones use tokens, and ends some.
    pub(crate) fn serve_requests(&mut self, index: usize) {
        let now = self.now_of(index);
        let router = &mut self.routers[index];
        let process = router.process;
        if self.rng.random_bool(0.5) {
            let tokens = self.rng.random_range(20..450);
            match router.allowances.reserve(&ACCOUNT.into(), tokens, now) {
                Ok(reservation) => router.running.push((reservation, 0)),
                Err(_) => self.request_loan(index, tokens),
            }
        }
        let router = &mut self.routers[index];
        let mut running = Vec::new();
        for (reservation, used) in std::mem::take(&mut router.running) {
            let more = self.rng.random_range(0..=reservation.tokens - used);
            self.spent += more;
            *self.store.unspent.entry(process).or_default() -= more.cast_signed();
            let used = used + more;
            if self.rng.random_bool(0.2) {
                self.served += used;
                router.allowances.settle(reservation, used);
            } else {
                running.push((reservation, used));
            }
        }
        router.running = running;
    }

    pub(crate) fn sync_with_store(&mut self, index: usize) {
        if self.is_store_unavailable() || self.rng.random_bool(self.faults.no_call) {
            return;
        }
        let (now, millis, step) = (self.now_of(index), self.store_millis(), self.step);
        let (era, recent) = (self.store_era(), self.recent_processes(index));
        let speed = self.clock_speed(index);
        let router = &mut self.routers[index];
        router.store_time = Some((millis, step));
        match std::mem::take(&mut router.sync) {
            SyncStep::Idle if router.allowances.must_read_rows(now) => {
                router.allowances.observe_era(era, &recent, now);
                router.era_at_read = era;
                router.allowances.apply_recovery_row(&self.store.rows_of(RECOVERY_PREFIX));
                router.sync = SyncStep::AccountsRead(self.store.rows_of("allowance"));
                return;
            }
            SyncStep::AccountsRead(_) if router.era_at_read != era => {
                router.allowances.observe_era(era, &recent, now);
                return;
            }
            SyncStep::AccountsRead(accounts) => {
                let holdings = self.store.rows_of(HOLDINGS_PREFIX);
                router.allowances.apply_rows(&accounts, &holdings, now);
                router.sync = SyncStep::RowsRead;
                return;
            }
            SyncStep::Idle | SyncStep::RowsRead => {}
        }
        let inputs = CommitInputs {
            routers: ROUTERS,
            stage: router.stage,
            store_time: router
                .store_time
                .map(|(millis, at)| StoreTime { millis, age: elapsed(step - at).mul_f64(speed) }),
            now,
        };
        if router.stage == Stage::Ended {
            router.allowances.release_all_draws();
        }
        if let Some(commit) = router.allowances.next_recovery_commit(&inputs) {
            self.commit_recovery(index, commit);
            return;
        }
        let router = &mut self.routers[index];
        let is_resent = router.allowances.has_pending();
        let Some(commit) = router.allowances.next_commit(&inputs) else { return };
        let sent = SentCommit {
            taken_over: if is_resent { router.last_taken_over } else { router.taken_over(&commit) },
            process: router.process,
            commit,
        };
        router.last_taken_over = sent.taken_over;
        let outcome = match self.rng.random_range(0.0..1.0) {
            it if it < self.faults.lost_answer / 2.0 => {
                let _ = self.store.commit(&sent);
                CommitOutcome::Unknown
            }
            it if it < self.faults.lost_answer => {
                let late = step + self.rng.random_range(1..80);
                self.store.late.push((late, sent));
                CommitOutcome::Unknown
            }
            it if it < self.faults.lost_answer + 0.05 => {
                CommitOutcome::NotApplied(PlatformError::RateLimited)
            }
            _ => match self.store.commit(&sent) {
                Ok(revision) => CommitOutcome::Committed(revision),
                Err(key) => CommitOutcome::Conflict(key),
            },
        };
        let router = &mut self.routers[index];
        if outcome != CommitOutcome::Unknown {
            router.allowances.observe_era(era, &recent, now);
        }
        router.allowances.on_outcome(&outcome, is_resent, now);
    }

    /// Makes a router regard a random set of routers as the holders.
    fn choose_random_holders(&mut self, index: usize) {
        let names: Vec<_> = self.routers.iter().map(|it| it.name.clone()).collect();
        let chosen = names.into_iter().filter(|_| self.rng.random_bool(0.5));
        let chosen: Vec<_> = chosen.collect();
        self.routers[index].allowances.set_holders(&chosen);
    }
}
