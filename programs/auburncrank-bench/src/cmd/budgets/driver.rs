//! Event loop that runs a scenario under a policy on simulated time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use types::{Timestamp, Tokens};

use super::{
    hosts::Hosts,
    scenario::{Change, Scenario},
    truth::GroundTruth,
    workload::{ACCOUNTS, RUN_TIME, Request, draw_requests, used_by_account},
};

/// Time after which a waiting request is decided again under a baseline.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time until a caller detects that its router has died.
const DEATH_DETECTION_DELAY: Duration = Duration::from_secs(2);

/// Time for which a run continues after the last arrival.
const DRAIN_TIME: Duration = Duration::from_secs(120);

/// Decision of a policy on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// The request starts to run.
    Admitted,
    /// The request is refused immediately.
    Refused,
    /// The driver asks again after [`RETRY_INTERVAL`], until the request has waited too long.
    Retry,
    /// The decision follows later, from [`BudgetPolicy::advance`].
    Pending,
}

/// A request at a router, with what a policy needs to decide on it.
pub(super) struct RequestContext<'a> {
    /// Current time.
    pub(super) now: Timestamp,
    /// Index of the request.
    pub(super) number: usize,
    /// The request.
    pub(super) req: &'a Request,
    /// Index of the router.
    pub(super) router: usize,
    /// Time at which the request stops waiting for budget.
    pub(super) wait_until: Timestamp,
    /// Current state of the hosts.
    pub(super) hosts: &'a Hosts,
}

/// Result that a policy returns from [`BudgetPolicy::advance`].
pub(super) enum DeferredResult {
    /// A request starts to run. Holds its index.
    Admitted(usize),
    /// A request is refused. Holds its index.
    Refused(usize),
    /// A bill did not become durable in time.
    NotDurable,
}

/// A policy that accounts for the tokens of requests.
pub(super) trait BudgetPolicy {
    /// Decides whether a request may run.
    fn decide(&mut self, cx: &RequestContext<'_>, truth: &GroundTruth) -> Admission;

    /// Settles a request that has run.
    fn end(&mut self, _cx: &RequestContext<'_>) {}

    /// Adds a deposit to an account.
    fn deposit(&mut self, _account: usize, _tokens: u64) {}

    /// Kills the process of a router.
    fn kill(&mut self, _router: usize) {}

    /// Applies a change of the hosts or of the table.
    fn apply_change(&mut self, _change: Change) {}

    /// Advances to `until`, or only to the first deferred results; returns the time reached.
    fn advance(&mut self, until: Timestamp, _results: &mut Vec<DeferredResult>) -> Timestamp {
        until
    }

    /// Returns the tokens that are in doubt, such as those of dead routers.
    fn in_doubt(&self) -> u64 {
        0
    }

    /// Returns the number of commits so far.
    fn writes(&self) -> u64 {
        0
    }
}

/// Result of a run.
#[derive(Debug, Default)]
pub(super) struct RunResult {
    pub(super) overspent: u64,
    pub(super) false_refusals: u64,
    pub(super) refusals: u64,
    pub(super) admitted: u64,
    pub(super) decisions: u64,
    pub(super) in_doubt: u64,
    pub(super) writes: u64,
    pub(super) peak_writes: u64,
    pub(super) billed: u64,
    pub(super) not_durable: u64,
    pub(super) wait_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum QueuedEvent {
    Decide(usize),
    End(usize, u64),
    Change(usize),
    SampleWrites,
}

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Waiting,
    Running,
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Progress {
    state: RequestState,
    router: usize,
    incarnation: u64,
    waiting_since: Timestamp,
}

/// Runs a scenario under a policy.
pub(super) struct Driver {
    scenario: &'static Scenario,
    max_wait: Duration,
    policy: Box<dyn BudgetPolicy>,
    requests: Vec<Request>,
    progress: Vec<Option<Progress>>,
    used_by_account: [u64; ACCOUNTS],
    hosts: Hosts,
    truth: GroundTruth,
    queue: BinaryHeap<Reverse<(Timestamp, u64, QueuedEvent)>>,
    last_event_number: u64,
    now: Timestamp,
    writes_before: u64,
    result: RunResult,
}

impl Driver {
    /// Prepares a run; `max_wait` is the longest wait of a request for budget.
    pub(super) fn new(
        scenario: &'static Scenario,
        max_wait: Duration,
        policy: Box<dyn BudgetPolicy>,
        seed: u64,
    ) -> Driver {
        let hosts = Hosts::new();
        let requests = draw_requests(seed, hosts.hosts.len());
        Driver {
            scenario,
            max_wait,
            policy,
            used_by_account: used_by_account(&requests),
            progress: vec![None; requests.len()],
            requests,
            hosts,
            truth: GroundTruth::default(),
            queue: BinaryHeap::new(),
            last_event_number: 0,
            now: Timestamp::ZERO,
            writes_before: 0,
            result: RunResult::default(),
        }
    }

    /// Runs to the end and returns the result.
    pub(super) fn run(mut self) -> RunResult {
        self.deposit(self.scenario.deposit_percent);
        for number in 0..self.requests.len() {
            self.push(self.requests[number].at, QueuedEvent::Decide(number));
        }
        for (index, (second, _)) in self.scenario.changes.iter().enumerate() {
            self.push(Timestamp::from_millis(second * 1_000), QueuedEvent::Change(index));
        }
        let end = Timestamp::ZERO + RUN_TIME + DRAIN_TIME;
        for second in 0..end.as_millis() / 1_000 {
            self.push(Timestamp::from_millis(second * 1_000), QueuedEvent::SampleWrites);
        }
        while let Some(Reverse((due, _, _))) = self.queue.peek() {
            let due = *due;
            let mut results = Vec::new();
            self.now = self.policy.advance(due, &mut results);
            for result in results {
                self.on_deferred_result(result);
            }
            if self.now >= due {
                let Some(Reverse((_, _, event))) = self.queue.pop() else { break };
                self.handle(event);
            }
        }
        self.result.overspent = self.truth.overspent();
        self.result.billed = self.truth.billed();
        self.result.in_doubt = self.policy.in_doubt();
        self.result.writes = self.policy.writes();
        self.result
    }

    fn push(&mut self, due: Timestamp, event: QueuedEvent) {
        self.last_event_number += 1;
        self.queue.push(Reverse((due, self.last_event_number, event)));
    }

    fn handle(&mut self, event: QueuedEvent) {
        match event {
            QueuedEvent::Decide(number) => self.decide(number),
            QueuedEvent::End(number, incarnation) => self.end(number, incarnation),
            QueuedEvent::Change(index) => self.apply_change(self.scenario.changes[index].1),
            QueuedEvent::SampleWrites => {
                let writes = self.policy.writes();
                let writes_in_second = writes - self.writes_before;
                self.writes_before = writes;
                self.result.peak_writes = self.result.peak_writes.max(writes_in_second);
            }
        }
    }

    fn decide(&mut self, number: usize) {
        let progress = match self.progress[number] {
            Some(progress) if progress.state == RequestState::Waiting => progress,
            Some(_) => return,
            None => {
                let router = self.hosts.find_live_router(self.requests[number].router);
                let incarnation = self.hosts.hosts[router].incarnation;
                Progress {
                    state: RequestState::Waiting,
                    router,
                    incarnation,
                    waiting_since: self.now,
                }
            }
        };
        self.progress[number] = Some(progress);
        let wait_until = progress.waiting_since + self.max_wait;
        let cx = RequestContext {
            now: self.now,
            number,
            req: &self.requests[number],
            router: progress.router,
            wait_until,
            hosts: &self.hosts,
        };
        match self.policy.decide(&cx, &self.truth) {
            Admission::Admitted => self.admit(number),
            Admission::Refused => self.refuse(number),
            Admission::Retry if self.now >= wait_until => self.refuse(number),
            Admission::Retry => self.push(self.now + RETRY_INTERVAL, QueuedEvent::Decide(number)),
            Admission::Pending => {}
        }
    }

    fn admit(&mut self, number: usize) {
        let req = &self.requests[number];
        self.truth.reserve(req.account, req.max_tokens);
        let due = self.now + req.run_time;
        if let Some(progress) = &mut self.progress[number] {
            progress.state = RequestState::Running;
            let waited = self.now.since(progress.waiting_since).as_millis();
            self.result.wait_ms += u64::try_from(waited).unwrap_or(u64::MAX);
            let incarnation = progress.incarnation;
            self.push(due, QueuedEvent::End(number, incarnation));
        }
        self.result.admitted += 1;
        self.result.decisions += 1;
    }

    fn refuse(&mut self, number: usize) {
        let req = &self.requests[number];
        let is_false = self.truth.can_admit(req.account, req.max_tokens);
        self.result.false_refusals += u64::from(is_false);
        self.result.refusals += 1;
        self.result.decisions += 1;
        if let Some(progress) = &mut self.progress[number] {
            progress.state = RequestState::Ended;
        }
    }

    fn end(&mut self, number: usize, incarnation: u64) {
        let Some(progress) = self.progress[number] else { return };
        if progress.state != RequestState::Running || progress.incarnation != incarnation {
            return;
        }
        let req = &self.requests[number];
        self.truth.settle(req.account, req.max_tokens, req.used);
        let cx = RequestContext {
            now: self.now,
            number,
            req,
            router: progress.router,
            wait_until: self.now,
            hosts: &self.hosts,
        };
        self.policy.end(&cx);
        self.progress[number] = Some(Progress { state: RequestState::Ended, ..progress });
    }

    fn on_deferred_result(&mut self, result: DeferredResult) {
        match result {
            DeferredResult::Admitted(number) => self.admit(number),
            DeferredResult::Refused(number) => self.refuse(number),
            DeferredResult::NotDurable => self.result.not_durable += 1,
        }
    }

    fn apply_change(&mut self, change: Change) {
        match change {
            Change::TableDown(is_down) => self.hosts.table_down = is_down,
            Change::Partition(first) => {
                for host in &mut self.hosts.hosts[first..] {
                    host.side = 1;
                }
            }
            Change::Heal => self.hosts.hosts.iter_mut().for_each(|host| host.side = 0),
            Change::TopUp(percent) => self.deposit(percent),
            Change::Kill(router) => self.kill(router),
            Change::Restart(router) => {
                self.hosts.hosts[router].is_alive = true;
                self.hosts.hosts[router].incarnation += 1;
            }
        }
        self.policy.apply_change(change);
    }

    /// Kills a router. Its callers retry their requests on another router after
    /// [`DEATH_DETECTION_DELAY`].
    fn kill(&mut self, router: usize) {
        self.hosts.hosts[router].is_alive = false;
        self.policy.kill(router);
        for number in 0..self.requests.len() {
            let Some(progress) = self.progress[number] else { continue };
            if progress.router != router || progress.state == RequestState::Ended {
                continue;
            }
            if progress.state == RequestState::Running {
                let req = &self.requests[number];
                self.truth.settle(req.account, req.max_tokens, Tokens::ZERO);
            }
            self.progress[number] = Some(Progress { state: RequestState::Ended, ..progress });
            let mut retry = self.requests[number].clone();
            retry.at = self.now + DEATH_DETECTION_DELAY;
            self.requests.push(retry);
            self.progress.push(None);
            self.push(
                self.now + DEATH_DETECTION_DELAY,
                QueuedEvent::Decide(self.requests.len() - 1),
            );
        }
    }

    fn deposit(&mut self, percent: u64) {
        for account in 0..ACCOUNTS {
            let tokens = self.used_by_account[account] * percent / 100;
            self.truth.deposit(account, tokens);
            self.policy.deposit(account, tokens);
        }
    }
}
