//! Places of one service, and the requests that wait for them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::Rng as _;
use relay::waiting::{Refusal, ServiceQueue, WaitingClass};
use routing::WaiterId;
use types::Timestamp;
use utils::{Rng, seeded_rng};

pub(crate) fn at_ms(ms: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(ms)
}

/// A kind of request.
#[derive(Clone)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) level: u32,
    pub(crate) target_ms: u64,
    pub(crate) timeout_ms: u64,
    pub(crate) runs_ms: u64,
}

/// What became of a request.
#[derive(Debug, Clone)]
pub(crate) struct Outcome {
    pub(crate) account: Arc<str>,
    pub(crate) kind: &'static str,
    pub(crate) asked_ms: u64,
    pub(crate) started_ms: Option<u64>,
    pub(crate) is_on_time: bool,
    pub(crate) refusal: Option<(u64, Refusal)>,
}

/// Places that are shared by the requests of one router.
pub(crate) struct Room {
    pub(crate) queue: ServiceQueue,
    pub(crate) places: usize,
    pub(crate) now_ms: u64,
    /// Number of running requests by the millisecond in which they end.
    running: BTreeMap<u64, usize>,
    waiting: BTreeMap<WaiterId, usize>,
    kinds: Vec<Kind>,
    rng: Rng,
    pub(crate) outcomes: Vec<Outcome>,
    /// Milliseconds in which a place was free while a request waited.
    pub(crate) idle_ms: u64,
}

impl Room {
    pub(crate) fn new(places: usize) -> Room {
        Room {
            queue: ServiceQueue::default(),
            places,
            now_ms: 0,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            kinds: Vec::new(),
            rng: seeded_rng(1),
            outcomes: Vec::new(),
            idle_ms: 0,
        }
    }

    fn occupied(&self) -> usize {
        self.running.values().sum()
    }

    /// A caller's request. Returns its number.
    pub(crate) fn ask(&mut self, kind: &Kind, account: &str) -> usize {
        let (index, now) = (self.outcomes.len(), at_ms(self.now_ms));
        self.kinds.push(kind.clone());
        self.outcomes.push(Outcome {
            account: account.into(),
            kind: kind.name,
            asked_ms: self.now_ms,
            started_ms: None,
            is_on_time: false,
            refusal: None,
        });
        if !self.queue.has_waiters(kind.level) && self.occupied() < self.places {
            self.queue.record_direct_place(now);
            self.start(index);
            return index;
        }
        let class = WaitingClass {
            level: kind.level,
            account: account.into(),
            route: kind.name.into(),
            is_stream: false,
            cost: 1,
            received_at: now,
            latency_target: Duration::from_millis(kind.target_ms),
            deadline: at_ms(self.now_ms + kind.timeout_ms),
        };
        let (id, refused) = self.queue.join(class, self.rng.random_range(0.5..1.0), now);
        self.waiting.insert(id, index);
        refused.into_iter().chain([id]).for_each(|it| self.collect_refusal(it));
        index
    }

    fn start(&mut self, index: usize) {
        let kind = &self.kinds[index];
        *self.running.entry(self.now_ms + kind.runs_ms).or_default() += 1;
        let outcome = &mut self.outcomes[index];
        outcome.started_ms = Some(self.now_ms);
        outcome.is_on_time = self.now_ms + kind.runs_ms <= outcome.asked_ms + kind.target_ms;
        let run = Duration::from_millis(kind.runs_ms);
        self.queue.record_start_time(kind.level, false, run);
    }

    fn collect_refusal(&mut self, id: WaiterId) {
        let Some(refusal) = self.queue.take_refusal(id) else { return };
        let index = self.waiting.remove(&id).unwrap();
        self.outcomes[index].refusal = Some((self.now_ms, refusal));
        let next = self.queue.leave(id, at_ms(self.now_ms));
        self.try_in_turn(next);
    }

    fn try_in_turn(&mut self, mut next: Option<WaiterId>) {
        let now = at_ms(self.now_ms);
        while let Some(id) = next {
            next = if self.occupied() < self.places {
                let index = self.waiting.remove(&id).unwrap();
                let next = self.queue.record_place(id, now);
                self.start(index);
                next
            } else {
                self.queue.record_no_place(id, now)
            };
        }
    }

    /// Lets a millisecond pass.
    pub(crate) fn tick(&mut self) {
        self.now_ms += 1;
        let now = at_ms(self.now_ms);
        let before = at_ms(self.now_ms - 1);
        let ended = self.running.remove(&self.now_ms).unwrap_or_default();
        for _ in 0..ended {
            let next = self.queue.begin_round(now);
            self.try_in_turn(next);
        }
        let checks: Vec<WaiterId> = self.waiting.keys().copied().collect();
        for id in checks {
            if self.queue.check_at(id, before).is_some_and(|at| at <= now) {
                let refused = self.queue.refuse_hopeless(self.rng.random_range(0.5..1.0), now);
                refused.into_iter().for_each(|it| self.collect_refusal(it));
            }
        }
        self.idle_ms += u64::from(!self.queue.is_empty() && self.occupied() < self.places);
    }

    /// Returns the number of requests for which `filter` holds.
    pub(crate) fn count(&self, filter: impl Fn(&Outcome) -> bool) -> usize {
        self.outcomes.iter().filter(|it| filter(it)).count()
    }
}
