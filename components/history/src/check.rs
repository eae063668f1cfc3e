//! Checks of the guarantees that every history must satisfy.

use errors::Ran;
use types::{AccountName, RequestKey, Tokens};
use utils::{HashMap, HashSet};

use crate::{CallId, Event, History, Violation, is_linearizable};

/// Returns the violations in `history`, in the order of its events; those that need the whole
/// history come last.
pub fn check(history: &History) -> Vec<Violation> {
    let mut checker = Checker::new(history);
    for event in &history.events {
        checker.check_event(event);
    }
    checker.check_end();
    checker.violations
}

/// Request and time of a call.
#[derive(Clone)]
struct CallInfo {
    /// Request that the call sends.
    request: RequestKey,
    /// Index of the call event.
    index: usize,
}

struct Checker<'a> {
    /// History to check.
    history: &'a History,
    /// Calls, by id.
    calls: HashMap<CallId, CallInfo>,
    /// Calls of each request, with the index of the event at which each arrived.
    arrivals_by_request: HashMap<RequestKey, HashMap<CallId, usize>>,
    /// Indices of the run events of each request.
    runs_by_request: HashMap<RequestKey, Vec<usize>>,
    /// Request whose run produced each answer.
    producers: HashMap<&'a str, RequestKey>,
    /// Non-idempotent requests.
    non_idempotent: HashSet<RequestKey>,
    /// Tokens deposited for each account in the events checked so far.
    deposited: HashMap<AccountName, Tokens>,
    /// Tokens billed to each account in the events checked so far.
    billed: HashMap<AccountName, Tokens>,
    /// Requests billed in the events checked so far.
    billed_requests: HashSet<RequestKey>,
    /// Requests for which a caller received a complete answer.
    answered: Vec<RequestKey>,
    /// Violations found so far.
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    fn new(history: &'a History) -> Checker<'a> {
        let mut checker = Checker {
            history,
            calls: HashMap::default(),
            arrivals_by_request: HashMap::default(),
            runs_by_request: HashMap::default(),
            producers: HashMap::default(),
            non_idempotent: HashSet::default(),
            deposited: HashMap::default(),
            billed: HashMap::default(),
            billed_requests: HashSet::default(),
            answered: Vec::new(),
            violations: Vec::new(),
        };
        for (index, event) in history.events.iter().enumerate() {
            checker.index_event(index, event);
        }
        checker
    }

    /// Indexes calls, arrivals and runs, which the checks of earlier events need.
    fn index_event(&mut self, index: usize, event: &'a Event) {
        match event {
            Event::Call { call, request, is_idempotent } => {
                self.calls.insert(*call, CallInfo { request: request.clone(), index });
                self.arrivals_by_request.entry(request.clone()).or_default().insert(*call, index);
                if !is_idempotent {
                    self.non_idempotent.insert(request.clone());
                }
            }
            Event::Arrival { call } => {
                if let Some(info) = self.calls.get(call) {
                    let arrivals =
                        self.arrivals_by_request.entry(info.request.clone()).or_default();
                    arrivals.insert(*call, index);
                }
            }
            Event::Run { request, answer } => {
                self.runs_by_request.entry(request.clone()).or_default().push(index);
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
        if !self.billed_requests.insert(request.clone()) {
            self.violations.push(Violation::DuplicateBill(request.clone()));
        }
        if !self.runs_by_request.contains_key(request) {
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

    /// Checks a refusal which states that the request did not run. The request must not have
    /// run before the refused call was made. It may run later, but only for another call that
    /// arrived after the refused call was made. That other call may have arrived before the
    /// refusal, because it cannot be distinguished from one made after the refusal.
    fn check_not_run(&mut self, call: CallId, info: CallInfo) {
        let runs = self.runs_by_request.get(&info.request).map_or(&[][..], Vec::as_slice);
        let arrivals = self.arrivals_by_request.get(&info.request);
        let has_other_call = |run: usize| {
            let mut other_arrivals =
                arrivals.into_iter().flatten().filter(|(other, _)| **other != call);
            other_arrivals.any(|(_, at)| info.index < *at && *at < run)
        };
        if runs.iter().any(|&run| run < info.index || !has_other_call(run)) {
            self.violations.push(Violation::RanDespiteRefusal { call, request: info.request });
        }
    }

    fn check_end(&mut self) {
        let answered: HashSet<_> = self.answered.drain(..).collect();
        let mut unbilled: Vec<_> = answered
            .into_iter()
            .filter(|request| !self.billed_requests.contains(request))
            .collect();
        unbilled.sort();
        self.violations.extend(unbilled.into_iter().map(Violation::MissingBill));
        let mut requests: Vec<_> = self.non_idempotent.iter().cloned().collect();
        requests.sort();
        for request in requests {
            if self.runs_by_request.get(&request).is_some_and(|runs| runs.len() > 1) {
                self.violations.push(Violation::DuplicateRun(request));
            } else if !is_linearizable(self.history, &request) {
                self.violations.push(Violation::NotLinearizable(request));
            }
        }
    }
}
