//! Runs a scenario under a policy.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use types::{Timestamp, Tokens};

use super::{
    hosts::Hosts,
    scenario::{Change, Scenario},
    truth::Truth,
    workload::{ACCOUNTS, Request, SPAN, demand, draw_requests},
};

/// Time between two tries of a request that waits under a baseline.
const RETRY: Duration = Duration::from_millis(200);

/// Time until a caller notices that its router has died.
const NOTICE_DEATH: Duration = Duration::from_secs(2);

/// Time after the last arrival for which a run goes on.
const TAIL: Duration = Duration::from_secs(120);

/// What a policy says about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It begins to run.
    Admitted,
    /// It is refused at once.
    Refused,
    /// It is to be asked again.
    Wait,
    /// The answer comes later, from [`Payer::advance`].
    Later,
}

/// A request before a router.
pub(super) struct Ask<'a> {
    /// Present time.
    pub(super) now: Timestamp,
    /// Number of the request.
    pub(super) number: usize,
    /// The request.
    pub(super) req: &'a Request,
    /// The router.
    pub(super) router: usize,
    /// End of its longest wait.
    pub(super) wait_until: Timestamp,
    /// The hosts.
    pub(super) hosts: &'a Hosts,
}

/// What a policy has answered later.
pub(super) enum Later {
    /// A request begins to run.
    Admitted(usize),
    /// A request is refused.
    Refused(usize),
    /// A bill did not become durable in time.
    NotDurable,
}

/// A policy of who pays for requests from what.
pub(super) trait Payer {
    /// Decides on a request.
    fn ask(&mut self, ask: &Ask<'_>, truth: &Truth) -> Verdict;

    /// Ends a request that ran.
    fn end(&mut self, _ask: &Ask<'_>) {}

    /// Takes a deposit.
    fn deposit(&mut self, _account: usize, _tokens: u64) {}

    /// Ends a router's process.
    fn kill(&mut self, _router: usize) {}

    /// Takes over a change of the hosts.
    fn update(&mut self, _change: Change) {}

    /// Goes on to `until`, or to the first later answers; returns the time reached.
    fn advance(&mut self, until: Timestamp, _answers: &mut Vec<Later>) -> Timestamp {
        until
    }

    /// Returns the tokens in doubt.
    fn in_doubt(&self) -> u64 {
        0
    }

    /// Returns the commits so far.
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
enum Due {
    Ask(usize),
    End(usize, u64),
    Change(usize),
    Second,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    Waiting,
    Running,
    Over,
}

#[derive(Debug, Clone, Copy)]
struct Progress {
    place: Place,
    router: usize,
    start: u64,
    since: Timestamp,
}

/// Runs a scenario under a policy.
pub(super) struct Driver {
    scenario: &'static Scenario,
    max_wait: Duration,
    payer: Box<dyn Payer>,
    requests: Vec<Request>,
    progress: Vec<Option<Progress>>,
    demand: [u64; ACCOUNTS],
    hosts: Hosts,
    truth: Truth,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Due)>>,
    last_number: u64,
    now: Timestamp,
    writes_before: u64,
    result: RunResult,
}

impl Driver {
    /// Prepares a run.
    pub(super) fn new(
        scenario: &'static Scenario,
        max_wait: Duration,
        payer: Box<dyn Payer>,
        seed: u64,
    ) -> Driver {
        let hosts = Hosts::new();
        let requests = draw_requests(seed, hosts.hosts.len());
        Driver {
            scenario,
            max_wait,
            payer,
            demand: demand(&requests),
            progress: vec![None; requests.len()],
            requests,
            hosts,
            truth: Truth::default(),
            queue: BinaryHeap::new(),
            last_number: 0,
            now: Timestamp::ZERO,
            writes_before: 0,
            result: RunResult::default(),
        }
    }

    /// Runs to the end.
    pub(super) fn run(mut self) -> RunResult {
        self.deposit(self.scenario.deposit_percent);
        for number in 0..self.requests.len() {
            self.push(self.requests[number].at, Due::Ask(number));
        }
        for (index, (second, _)) in self.scenario.changes.iter().enumerate() {
            self.push(Timestamp::from_millis(second * 1_000), Due::Change(index));
        }
        let end = Timestamp::ZERO + SPAN + TAIL;
        for second in 0..end.as_millis() / 1_000 {
            self.push(Timestamp::from_millis(second * 1_000), Due::Second);
        }
        while let Some(Reverse((due, _, _))) = self.queue.peek() {
            let due = *due;
            let mut answers = Vec::new();
            self.now = self.payer.advance(due, &mut answers);
            for answer in answers {
                self.take_answer(answer);
            }
            if self.now >= due {
                let Some(Reverse((_, _, what))) = self.queue.pop() else { break };
                self.handle(what);
            }
        }
        self.result.overspent = self.truth.overspent();
        self.result.billed = self.truth.billed();
        self.result.in_doubt = self.payer.in_doubt();
        self.result.writes = self.payer.writes();
        self.result
    }

    fn push(&mut self, due: Timestamp, what: Due) {
        self.last_number += 1;
        self.queue.push(Reverse((due, self.last_number, what)));
    }

    fn handle(&mut self, what: Due) {
        match what {
            Due::Ask(number) => self.ask(number),
            Due::End(number, start) => self.end(number, start),
            Due::Change(index) => self.change(self.scenario.changes[index].1),
            Due::Second => {
                let writes = self.payer.writes();
                let second = writes - self.writes_before;
                self.writes_before = writes;
                self.result.peak_writes = self.result.peak_writes.max(second);
            }
        }
    }

    fn ask(&mut self, number: usize) {
        let progress = match self.progress[number] {
            Some(progress) if progress.place == Place::Waiting => progress,
            Some(_) => return,
            None => {
                let router = self.hosts.find_alive(self.requests[number].router);
                let start = self.hosts.hosts[router].start;
                Progress { place: Place::Waiting, router, start, since: self.now }
            }
        };
        self.progress[number] = Some(progress);
        let wait_until = progress.since + self.max_wait;
        let ask = Ask {
            now: self.now,
            number,
            req: &self.requests[number],
            router: progress.router,
            wait_until,
            hosts: &self.hosts,
        };
        match self.payer.ask(&ask, &self.truth) {
            Verdict::Admitted => self.admit(number),
            Verdict::Refused => self.refuse(number),
            Verdict::Wait if self.now >= wait_until => self.refuse(number),
            Verdict::Wait => self.push(self.now + RETRY, Due::Ask(number)),
            Verdict::Later => {}
        }
    }

    fn admit(&mut self, number: usize) {
        let req = &self.requests[number];
        self.truth.begin(req.account, req.worst);
        let due = self.now + req.runs_for;
        if let Some(progress) = &mut self.progress[number] {
            progress.place = Place::Running;
            let waited = self.now.since(progress.since).as_millis();
            self.result.wait_ms += u64::try_from(waited).unwrap_or(u64::MAX);
            let start = progress.start;
            self.push(due, Due::End(number, start));
        }
        self.result.admitted += 1;
        self.result.decisions += 1;
    }

    fn refuse(&mut self, number: usize) {
        let req = &self.requests[number];
        let is_false = self.truth.fits(req.account, req.worst);
        self.result.false_refusals += u64::from(is_false);
        self.result.refusals += 1;
        self.result.decisions += 1;
        if let Some(progress) = &mut self.progress[number] {
            progress.place = Place::Over;
        }
    }

    fn end(&mut self, number: usize, start: u64) {
        let Some(progress) = self.progress[number] else { return };
        if progress.place != Place::Running || progress.start != start {
            return;
        }
        let req = &self.requests[number];
        self.truth.end(req.account, req.worst, req.used);
        let ask = Ask {
            now: self.now,
            number,
            req,
            router: progress.router,
            wait_until: self.now,
            hosts: &self.hosts,
        };
        self.payer.end(&ask);
        self.progress[number] = Some(Progress { place: Place::Over, ..progress });
    }

    fn take_answer(&mut self, answer: Later) {
        match answer {
            Later::Admitted(number) => self.admit(number),
            Later::Refused(number) => self.refuse(number),
            Later::NotDurable => self.result.not_durable += 1,
        }
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::TableDown(is_down) => self.hosts.table_down = is_down,
            Change::ApartFrom(first) => {
                for host in &mut self.hosts.hosts[first..] {
                    host.side = 1;
                }
            }
            Change::Heal => self.hosts.hosts.iter_mut().for_each(|host| host.side = 0),
            Change::TopUp(percent) => self.deposit(percent),
            Change::Kill(router) => self.kill(router),
            Change::Restart(router) => {
                self.hosts.hosts[router].is_alive = true;
                self.hosts.hosts[router].start += 1;
            }
        }
        self.payer.update(change);
    }

    /// Ends a router; its callers send their requests again to another one.
    fn kill(&mut self, router: usize) {
        self.hosts.hosts[router].is_alive = false;
        self.payer.kill(router);
        for number in 0..self.requests.len() {
            let Some(progress) = self.progress[number] else { continue };
            if progress.router != router || progress.place == Place::Over {
                continue;
            }
            if progress.place == Place::Running {
                let req = &self.requests[number];
                self.truth.end(req.account, req.worst, Tokens::ZERO);
            }
            self.progress[number] = Some(Progress { place: Place::Over, ..progress });
            let mut again = self.requests[number].clone();
            again.at = self.now + NOTICE_DEATH;
            self.requests.push(again);
            self.progress.push(None);
            self.push(self.now + NOTICE_DEATH, Due::Ask(self.requests.len() - 1));
        }
    }

    fn deposit(&mut self, percent: u64) {
        for account in 0..ACCOUNTS {
            let tokens = self.demand[account] * percent / 100;
            self.truth.deposit(account, tokens);
            self.payer.deposit(account, tokens);
        }
    }
}
