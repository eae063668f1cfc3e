//! The checks of a history.

use errors::Ran;
use types::{AccountName, RequestKey, Tokens};
use utils::{HashMap, HashSet};

use crate::{CallId, Event, History, Violation, is_linearizable};

/// Returns what `history` violates, in the order of its events.
pub fn check(history: &History) -> Vec<Violation> {
    let mut checker = Checker::new(history);
    for event in &history.events {
        checker.check_event(event);
    }
    checker.check_end();
    checker.violations
}

/// What a call asks for and when it was made.
#[derive(Clone)]
struct CallInfo {
    /// Request.
    request: RequestKey,
    /// Index of the call's event.
    index: usize,
}

struct Checker<'a> {
    /// History.
    history: &'a History,
    /// Calls.
    calls: HashMap<CallId, CallInfo>,
    /// Calls of each request and when they arrived.
    arrivals_of: HashMap<RequestKey, HashMap<CallId, usize>>,
    /// Indices of the runs of each request.
    runs_of: HashMap<RequestKey, Vec<usize>>,
    /// Requests whose runs produced an answer.
    producers: HashMap<&'a str, RequestKey>,
    /// Non-idempotent requests.
    non_idempotent: HashSet<RequestKey>,
    /// Tokens deposited for each account so far.
    deposited: HashMap<AccountName, Tokens>,
    /// Tokens billed to each account so far.
    billed: HashMap<AccountName, Tokens>,
    /// Requests billed so far.
    bills: HashSet<RequestKey>,
    /// Requests whose whole answer some caller got.
    answered: Vec<RequestKey>,
    /// Violations so far.
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    fn new(history: &'a History) -> Checker<'a> {
        let mut checker = Checker {
            history,
            calls: HashMap::default(),
            arrivals_of: HashMap::default(),
            runs_of: HashMap::default(),
            producers: HashMap::default(),
            non_idempotent: HashSet::default(),
            deposited: HashMap::default(),
            billed: HashMap::default(),
            bills: HashSet::default(),
            answered: Vec::new(),
            violations: Vec::new(),
        };
        for (index, event) in history.events.iter().enumerate() {
            checker.index_event(index, event);
        }
        checker
    }

    /// Notes calls and runs, which the checks of earlier events need.
    fn index_event(&mut self, index: usize, event: &'a Event) {
        match event {
            Event::Call { call, request, is_idempotent } => {
                self.calls.insert(*call, CallInfo { request: request.clone(), index });
                self.arrivals_of.entry(request.clone()).or_default().insert(*call, index);
                if !is_idempotent {
                    self.non_idempotent.insert(request.clone());
                }
            }
            Event::Arrival { call } => {
                if let Some(info) = self.calls.get(call) {
                    let arrivals = self.arrivals_of.entry(info.request.clone()).or_default();
                    arrivals.insert(*call, index);
                }
            }
            Event::Run { request, answer } => {
                self.runs_of.entry(request.clone()).or_default().push(index);
                self.producers.insert(answer, request.clone());
            }
            _ => {}
        }
    }

    fn check_event(&mut self, event: &Event) {
        match event {
            Event::Deposit { account, tokens } => {
                let deposited = self.deposited.entry(account.clone()).or_default();
                *deposited = deposited.saturating_add(*tokens);
            }
            Event::Bill { request, tokens } => self.check_bill(request, *tokens),
            Event::Answer { call, answer } => match self.calls.get(call).cloned() {
                Some(info) => self.check_answer(*call, info.request, answer),
                None => self.violations.push(Violation::UnknownCall(*call)),
            },
            Event::Refusal { call, ran } => match self.calls.get(call).cloned() {
                Some(info) if *ran == Ran::Never => self.check_not_run(*call, info),
                Some(_) => {}
                None => self.violations.push(Violation::UnknownCall(*call)),
            },
            Event::Call { .. } | Event::Arrival { .. } | Event::Run { .. } => {}
        }
    }

    fn check_bill(&mut self, request: &RequestKey, tokens: Tokens) {
        if !self.bills.insert(request.clone()) {
            self.violations.push(Violation::DuplicateBill(request.clone()));
        }
        if !self.runs_of.contains_key(request) {
            self.violations.push(Violation::BillWithoutRun(request.clone()));
        }
        let account = request.account.clone();
        let billed = self.billed.entry(account.clone()).or_default();
        *billed = billed.saturating_add(tokens);
        let billed = *billed;
        let deposited = self.deposited.get(&account).copied().unwrap_or_default();
        if billed > deposited {
            self.violations.push(Violation::Overspend { account, billed, deposited });
        }
    }

    fn check_answer(&mut self, call: CallId, request: RequestKey, answer: &str) {
        match self.producers.get(answer) {
            Some(other) if *other != request => {
                let other = other.clone();
                self.violations.push(Violation::ForeignAnswer { call, request, other });
            }
            Some(_) => self.answered.push(request),
            None => self.violations.push(Violation::IncompleteAnswer { call, request }),
        }
    }

    /// A request refused as "not run" must not have run before the call, and may run after
    /// it only for another call that arrived after it. Such a call cannot be told from one
    /// made after the refusal.
    fn check_not_run(&mut self, call: CallId, info: CallInfo) {
        let runs = self.runs_of.get(&info.request).map_or(&[][..], Vec::as_slice);
        let arrivals = self.arrivals_of.get(&info.request);
        let is_for_other = |run: usize| {
            let mut others = arrivals.into_iter().flatten().filter(|(other, _)| **other != call);
            others.any(|(_, at)| info.index < *at && *at < run)
        };
        if runs.iter().any(|&run| run < info.index || !is_for_other(run)) {
            self.violations.push(Violation::NotRunThatRan { call, request: info.request });
        }
    }

    fn check_end(&mut self) {
        let answered: HashSet<_> = self.answered.drain(..).collect();
        let mut unbilled: Vec<_> =
            answered.into_iter().filter(|request| !self.bills.contains(request)).collect();
        unbilled.sort();
        self.violations.extend(unbilled.into_iter().map(Violation::MissingBill));
        let mut requests: Vec<_> = self.non_idempotent.iter().cloned().collect();
        requests.sort();
        for request in requests {
            if self.runs_of.get(&request).is_some_and(|runs| runs.len() > 1) {
                self.violations.push(Violation::DuplicateRun(request));
            } else if !is_linearizable(self.history, &request) {
                self.violations.push(Violation::NotLinearizable(request));
            }
        }
    }
}
