//! A scene for tests: a fleet, its callers, and a book of what was promised to them.

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

/// A start of a router: its index and incarnation.
pub(crate) type Start = (usize, u64);

/// A bill that was given to a router.
#[derive(Debug, Clone)]
pub(crate) struct GivenBill {
    /// The bill.
    pub(crate) bill: Bill,
    /// Start of the router that has it.
    pub(crate) start: Start,
    /// Whether the router has said that it is durable.
    pub(crate) is_durable: bool,
}

/// What a ticket is for.
enum Asked {
    Reserve(Tokens),
    Settle(RequestKey),
}

/// A fleet with the book of its callers.
pub(crate) struct Scene {
    /// The fleet.
    pub(crate) fleet: Fleet,
    /// The only account.
    pub(crate) account: AccountName,
    /// Reservations that callers have.
    pub(crate) reserved: BTreeMap<(Start, ReservationId), Tokens>,
    /// Bills that were given to routers.
    pub(crate) bills: BTreeMap<RequestKey, GivenBill>,
    /// Answers to reservations, in their order.
    pub(crate) answers: Vec<(Ticket, std::result::Result<Tokens, ErrorKind>)>,
    /// Outcomes of bills, in their order.
    pub(crate) settled: Vec<Result<SettleOutcome>>,
    asked: BTreeMap<(Start, Ticket), Asked>,
    last_ticket: Ticket,
    seen_commits: u64,
}

impl Scene {
    /// Starts routers in `domains` with a deposit.
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
            asked: BTreeMap::new(),
            last_ticket: 0,
            seen_commits: u64::MAX,
        }
    }

    /// Lets a caller ask a router for tokens.
    pub(crate) fn reserve(&mut self, router: usize, tokens: u64, wait: Duration) -> Ticket {
        self.last_ticket += 1;
        let (ticket, tokens) = (self.last_ticket, Tokens(tokens));
        self.asked.insert((self.start_of(router), ticket), Asked::Reserve(tokens));
        let wait_until = self.fleet.now() + wait;
        let account = self.account.clone();
        self.fleet.send(router, Event::Reserve { ticket, account, tokens, wait_until });
        ticket
    }

    /// Reserves and runs until the answer; returns the reservation.
    pub(crate) fn reserve_now(&mut self, router: usize, tokens: u64) -> Option<ReservationId> {
        let ticket = self.reserve(router, tokens, Duration::from_secs(5));
        for _ in 0..1_000 {
            if let Some((_, answer)) = self.answers.iter().find(|(it, _)| *it == ticket) {
                answer.ok()?;
                let start = self.start_of(router);
                return self.reserved.keys().filter(|key| key.0 == start).map(|key| key.1).max();
            }
            self.run(Duration::from_millis(10));
        }
        None
    }

    /// Ends a reservation of a router with a bill of `tokens`.
    pub(crate) fn settle(&mut self, router: usize, reservation: ReservationId, tokens: u64) {
        let start = self.start_of(router);
        self.last_ticket += 1;
        let id = RequestId::new(&format!("r{}", self.last_ticket)).unwrap();
        let request = RequestKey::new(self.account.clone(), id);
        let router_id = self.fleet.router_id(router);
        let bill = Bill { request: request.clone(), tokens: Tokens(tokens), router: router_id };
        self.give_bill(start, reservation, bill);
    }

    /// Gives a bill to a router.
    pub(crate) fn give_bill(&mut self, start: Start, reservation: ReservationId, bill: Bill) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.reserved.remove(&(start, reservation)).unwrap();
        let request = bill.request.clone();
        let given = GivenBill { bill: bill.clone(), start, is_durable: false };
        self.bills.entry(request.clone()).or_insert(given);
        self.asked.insert((start, ticket), Asked::Settle(request));
        let (account, with) = (self.account.clone(), Commit::default());
        let deadline = self.fleet.now() + SETTLE_TIMEOUT;
        self.fleet
            .send(start.0, Event::Settle { ticket, account, reservation, bill, with, deadline });
    }

    /// Gives back a reservation of a router.
    pub(crate) fn release(&mut self, router: usize, reservation: ReservationId) {
        self.reserved.remove(&(self.start_of(router), reservation)).unwrap();
        let account = self.account.clone();
        self.fleet.send(router, Event::Release { account, reservation });
    }

    /// Returns some reservation of a router.
    pub(crate) fn any_reservation(&self, router: usize) -> Option<(ReservationId, Tokens)> {
        let start = self.start_of(router);
        let mut own = self.reserved.iter().filter(|(key, _)| key.0 == start);
        own.next().map(|(key, tokens)| (key.1, *tokens))
    }

    /// Ends the process of a router; its callers lose their reservations.
    pub(crate) fn kill(&mut self, router: usize) {
        let start = self.start_of(router);
        self.fleet.kill(router);
        self.reserved.retain(|key, _| key.0 != start);
    }

    /// Runs for `span` and checks all along.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.fleet.now() + span;
        self.fleet.mark_in(span, 0);
        while self.fleet.now() < end {
            if let Step::Answers(router, answers) = self.fleet.step() {
                let start = self.start_of(router);
                for (ticket, answer) in answers {
                    self.take_answer(start, ticket, answer);
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

    fn take_answer(&mut self, start: Start, ticket: Ticket, answer: Answer) {
        match (self.asked.remove(&(start, ticket)).unwrap(), answer) {
            (Asked::Reserve(tokens), Answer::Reserved(result)) => {
                if let Ok(reservation) = &result {
                    self.reserved.insert((start, *reservation), tokens);
                }
                let result = result.map(|_| tokens).map_err(|error| error.kind());
                self.answers.push((ticket, result));
            }
            (Asked::Settle(request), Answer::Settled(result)) => {
                if result.is_ok() {
                    self.bills.get_mut(&request).unwrap().is_durable = true;
                }
                self.settled.push(result);
            }
            _ => panic!("the answer does not fit the request"),
        }
    }

    /// Checks `settled + granted <= deposited` and both sums.
    pub(crate) fn check_table(&self) {
        let budget = self.fleet.budget(&self.account);
        let used = budget.settled.checked_add(budget.granted).unwrap();
        assert!(used <= budget.deposited, "{budget:?}");
        let unspent: Tokens = self.grant_rows().iter().map(|row| row.unspent).sum();
        assert_eq!(unspent, budget.granted, "{:?}", self.grant_rows());
        assert_eq!(self.billed(), budget.settled);
    }

    /// Checks that what is billed, and whatever can still be billed by running or paused
    /// routers, stays within the deposits.
    pub(crate) fn check_spend(&self) {
        let reserved: Tokens = self.reserved.values().copied().sum();
        let pending: Tokens = self
            .bills
            .values()
            .filter(|given| !self.is_billed(&given.bill.request))
            .filter(|given| given.is_durable || self.is_alive(given.start))
            .map(|given| given.bill.tokens)
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

    /// Checks that every bill that was called durable is in the table, unchanged.
    pub(crate) fn check_durable_bills(&self) {
        for given in self.bills.values().filter(|given| given.is_durable) {
            let row = self.fleet.table().read(&bill_key(&given.bill.request));
            let bill: Bill = row.expect("a durable bill is in the table").decode().unwrap();
            assert_eq!(bill.tokens, given.bill.tokens);
        }
    }

    /// Returns the grant rows of the account.
    pub(crate) fn grant_rows(&self) -> Vec<GrantRow> {
        let rows = self.fleet.table().scan(&grant_prefix(&self.account), None);
        rows.iter().map(|row| row.decode().unwrap()).collect()
    }

    /// Returns the sum of the bills in the table.
    pub(crate) fn billed(&self) -> Tokens {
        let given = self.bills.values();
        let billed = given.filter(|given| self.is_billed(&given.bill.request));
        billed.map(|given| given.bill.tokens).sum()
    }

    /// Returns the start of a router.
    pub(crate) fn start_of(&self, router: usize) -> Start {
        (router, self.fleet.router_id(router).incarnation.0)
    }

    fn is_billed(&self, request: &RequestKey) -> bool {
        self.fleet.table().read(&bill_key(request)).is_some()
    }

    fn is_alive(&self, start: Start) -> bool {
        self.start_of(start.0) == start && self.fleet.state(start.0) != RouterState::Dead
    }

    /// Returns the present time.
    pub(crate) fn now(&self) -> Timestamp {
        self.fleet.now()
    }
}
