//! Test harness: a fleet of routers, its callers, and a record of the answers they got.

#![allow(clippy::unwrap_used, dead_code)]

use std::{collections::BTreeMap, time::Duration};

use budget::{
    Answer, Bill, BudgetSettings, Event, GrantRecoveryPolicy, GrantRow, ReservationId,
    SettleOutcome, Ticket, bill_key, grant_prefix,
};
use errors::{ErrorKind, Result};
use fleet_fakes::{Fleet, RouterState, Step};
use platform::Commit;
use types::{AccountName, RequestId, RequestKey, Timestamp, Tokens};

/// Longest wait for a bill to become durable.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Index and incarnation of a router.
pub(crate) type RouterProcess = (usize, u64);

/// A bill that was submitted to a router.
#[derive(Debug, Clone)]
pub(crate) struct SubmittedBill {
    pub(crate) bill: Bill,
    /// Router process that it was submitted to.
    pub(crate) process: RouterProcess,
    /// Whether the router has reported the bill as durable.
    pub(crate) is_durable: bool,
}

/// Request to a router that has not been answered yet.
enum PendingRequest {
    Reserve(Tokens),
    Settle(RequestKey),
}

/// A fleet of routers and the state of its callers.
pub(crate) struct Scene {
    pub(crate) fleet: Fleet,
    /// The only client account.
    pub(crate) account: AccountName,
    /// Reservations held by callers.
    pub(crate) reserved: BTreeMap<(RouterProcess, ReservationId), Tokens>,
    /// Bills submitted to routers.
    pub(crate) bills: BTreeMap<RequestKey, SubmittedBill>,
    /// Answers to reservations, in order of arrival.
    pub(crate) answers: Vec<(Ticket, std::result::Result<Tokens, ErrorKind>)>,
    /// Outcomes of bills, in order of arrival.
    pub(crate) settled: Vec<Result<SettleOutcome>>,
    pending_requests: BTreeMap<(RouterProcess, Ticket), PendingRequest>,
    last_ticket: Ticket,
    seen_commits: u64,
}

impl Scene {
    /// Starts routers in the given failure domains, with one deposit of tokens.
    pub(crate) fn start(
        policy: GrantRecoveryPolicy,
        domains: &[&str],
        deposit: u64,
        seed: u64,
    ) -> Scene {
        let settings = BudgetSettings::new(policy);
        let mut fleet = Fleet::new(settings, domains, seed);
        let account = AccountName::new("school").unwrap();
        fleet.deposit(&account, Tokens(deposit));
        Scene {
            fleet,
            account,
            reserved: BTreeMap::new(),
            bills: BTreeMap::new(),
            answers: Vec::new(),
            settled: Vec::new(),
            pending_requests: BTreeMap::new(),
            last_ticket: 0,
            seen_commits: u64::MAX,
        }
    }

    /// Asks a router to reserve tokens, without waiting for the answer.
    pub(crate) fn reserve(&mut self, router: usize, tokens: u64, wait: Duration) -> Ticket {
        self.last_ticket += 1;
        let (ticket, tokens) = (self.last_ticket, Tokens(tokens));
        self.pending_requests
            .insert((self.process_of(router), ticket), PendingRequest::Reserve(tokens));
        let wait_until = self.fleet.now() + wait;
        let account = self.account.clone();
        self.fleet.send(router, Event::Reserve { ticket, account, tokens, wait_until });
        ticket
    }

    /// Reserves tokens and runs until the answer; returns the reservation, or `None` if it was
    /// refused.
    pub(crate) fn reserve_now(&mut self, router: usize, tokens: u64) -> Option<ReservationId> {
        let ticket = self.reserve(router, tokens, Duration::from_secs(5));
        for _ in 0..1_000 {
            if let Some((_, answer)) = self.answers.iter().find(|(it, _)| *it == ticket) {
                answer.ok()?;
                let process = self.process_of(router);
                return self.reserved.keys().filter(|key| key.0 == process).map(|key| key.1).max();
            }
            self.run(Duration::from_millis(10));
        }
        None
    }

    /// Ends a reservation with a bill of `tokens` for a new request.
    pub(crate) fn settle(&mut self, router: usize, reservation: ReservationId, tokens: u64) {
        let process = self.process_of(router);
        self.last_ticket += 1;
        let id = RequestId::new(&format!("r{}", self.last_ticket)).unwrap();
        let request = RequestKey::new(self.account.clone(), id);
        let router_id = self.fleet.router_id(router);
        let bill = Bill { request: request.clone(), tokens: Tokens(tokens), router: router_id };
        self.submit_bill(process, reservation, bill);
    }

    /// Ends a reservation with the given bill.
    pub(crate) fn submit_bill(
        &mut self,
        process: RouterProcess,
        reservation: ReservationId,
        bill: Bill,
    ) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.reserved.remove(&(process, reservation)).unwrap();
        let request = bill.request.clone();
        let submitted = SubmittedBill { bill: bill.clone(), process, is_durable: false };
        self.bills.entry(request.clone()).or_insert(submitted);
        self.pending_requests.insert((process, ticket), PendingRequest::Settle(request));
        let (account, with) = (self.account.clone(), Commit::default());
        let deadline = self.fleet.now() + SETTLE_TIMEOUT;
        self.fleet
            .send(process.0, Event::Settle { ticket, account, reservation, bill, with, deadline });
    }

    /// Ends a reservation without a bill.
    pub(crate) fn release(&mut self, router: usize, reservation: ReservationId) {
        self.reserved.remove(&(self.process_of(router), reservation)).unwrap();
        let account = self.account.clone();
        self.fleet.send(router, Event::Release { account, reservation });
    }

    /// Returns a reservation of a router, if it has any.
    pub(crate) fn any_reservation(&self, router: usize) -> Option<(ReservationId, Tokens)> {
        let process = self.process_of(router);
        let mut own = self.reserved.iter().filter(|(key, _)| key.0 == process);
        own.next().map(|(key, tokens)| (key.1, *tokens))
    }

    /// Kills the process of a router; its callers lose their reservations.
    pub(crate) fn kill(&mut self, router: usize) {
        let process = self.process_of(router);
        self.fleet.kill(router);
        self.reserved.retain(|key, _| key.0 != process);
    }

    /// Runs for `span`, with checks after every answer and every commit.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.fleet.now() + span;
        self.fleet.set_timer(span, 0);
        while self.fleet.now() < end {
            if let Step::Answers(router, answers) = self.fleet.step() {
                let process = self.process_of(router);
                for (ticket, answer) in answers {
                    self.record_answer(process, ticket, answer);
                }
                self.check_spend();
            }
            if self.seen_commits != self.fleet.table_calls().0 {
                self.seen_commits = self.fleet.table_calls().0;
                self.check_table();
                self.check_spend();
            }
        }
    }

    fn record_answer(&mut self, process: RouterProcess, ticket: Ticket, answer: Answer) {
        match (self.pending_requests.remove(&(process, ticket)).unwrap(), answer) {
            (PendingRequest::Reserve(tokens), Answer::Reserved(result)) => {
                if let Ok(reservation) = &result {
                    self.reserved.insert((process, *reservation), tokens);
                }
                let result = result.map(|_| tokens).map_err(|error| error.kind());
                self.answers.push((ticket, result));
            }
            (PendingRequest::Settle(request), Answer::Settled(result)) => {
                if result.is_ok() {
                    self.bills.get_mut(&request).unwrap().is_durable = true;
                }
                self.settled.push(result);
            }
            _ => panic!("the answer does not match its request"),
        }
    }

    /// Checks that `settled + granted <= deposited` and that both are the sums of the other rows.
    pub(crate) fn check_table(&self) {
        let budget = self.fleet.budget(&self.account);
        let used = budget.settled.checked_add(budget.granted).unwrap();
        assert!(used <= budget.deposited, "{budget:?}");
        let unspent: Tokens = self.grant_rows().iter().map(|row| row.unspent).sum();
        assert_eq!(unspent, budget.granted, "{:?}", self.grant_rows());
        assert_eq!(self.billed(), budget.settled);
    }

    /// Checks that the deposits cover all tokens that are billed or can still be billed by running
    /// and paused routers.
    pub(crate) fn check_spend(&self) {
        let reserved: Tokens = self.reserved.values().copied().sum();
        let pending: Tokens = self
            .bills
            .values()
            .filter(|submitted| !self.is_billed(&submitted.bill.request))
            .filter(|submitted| submitted.is_durable || self.is_alive(submitted.process))
            .map(|submitted| submitted.bill.tokens)
            .sum();
        let budget = self.fleet.budget(&self.account);
        let spend = budget.settled.saturating_add(reserved).saturating_add(pending);
        assert!(
            spend <= budget.deposited,
            "settled {} + reserved {reserved} + pending {pending} > {}",
            budget.settled,
            budget.deposited
        );
    }

    /// Checks that every bill reported as durable is in the table, with the same tokens.
    pub(crate) fn check_durable_bills(&self) {
        for submitted in self.bills.values().filter(|submitted| submitted.is_durable) {
            let row = self.fleet.table().read(&bill_key(&submitted.bill.request));
            let bill: Bill = row.expect("a durable bill is in the table").decode().unwrap();
            assert_eq!(bill.tokens, submitted.bill.tokens);
        }
    }

    /// Returns the grant rows of the account.
    pub(crate) fn grant_rows(&self) -> Vec<GrantRow> {
        let rows = self.fleet.table().scan(&grant_prefix(&self.account), None);
        rows.iter().map(|row| row.decode().unwrap()).collect()
    }

    /// Returns the sum of the bills in the table.
    pub(crate) fn billed(&self) -> Tokens {
        let submitted = self.bills.values();
        let billed = submitted.filter(|submitted| self.is_billed(&submitted.bill.request));
        billed.map(|submitted| submitted.bill.tokens).sum()
    }

    /// Returns the current process of a router.
    pub(crate) fn process_of(&self, router: usize) -> RouterProcess {
        (router, self.fleet.router_id(router).incarnation.0)
    }

    fn is_billed(&self, request: &RequestKey) -> bool {
        self.fleet.table().read(&bill_key(request)).is_some()
    }

    fn is_alive(&self, process: RouterProcess) -> bool {
        self.process_of(process.0) == process && self.fleet.state(process.0) != RouterState::Dead
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Timestamp {
        self.fleet.now()
    }
}
