//! The production policy: the routers' own ledgers of grants, run on the simulated fleet.

use budget::{
    Answer, Bill, BudgetSettings, Event, GrantRecoveryPolicy, grant_prefix, list_in_doubt,
};
use fleet_fakes::{Fleet, RouterState, Step};
use platform::Commit;
use types::{AccountName, RequestId, RequestKey, RouterId, Timestamp, Tokens};
use utils::HashMap;

use super::{
    driver::{Admission, BudgetPolicy, DeferredResult, RequestContext},
    hosts::DOMAINS,
    scenario::Change,
    truth::GroundTruth,
    workload::ACCOUNTS,
};

/// First ticket of bills; lower tickets belong to reservations.
const FIRST_BILL_TICKET: u64 = 1 << 32;

/// Longest time for a bill to become durable.
const SETTLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// Runs the ledgers of the routers.
pub(super) struct GrantPolicy {
    fleet: Fleet,
    accounts: Vec<AccountName>,
    /// Reservations of running requests, by index of the request.
    reservations: HashMap<usize, u64>,
}

impl GrantPolicy {
    /// Starts the routers.
    pub(super) fn new(policy: GrantRecoveryPolicy, seed: u64) -> GrantPolicy {
        let name = |index| AccountName::new(&format!("account-{index}")).expect("a valid name");
        GrantPolicy {
            fleet: Fleet::new(BudgetSettings::new(policy), &DOMAINS, seed),
            accounts: (0..ACCOUNTS).map(name).collect(),
            reservations: HashMap::default(),
        }
    }

    fn on_answer(&mut self, ticket: u64, answer: Answer, results: &mut Vec<DeferredResult>) {
        match answer {
            Answer::Reserved(Ok(reservation)) => {
                let number = request_number(ticket);
                self.reservations.insert(number, reservation);
                results.push(DeferredResult::Admitted(number));
            }
            Answer::Reserved(Err(_)) => {
                results.push(DeferredResult::Refused(request_number(ticket)))
            }
            Answer::Settled(Ok(_)) => {}
            Answer::Settled(Err(_)) => results.push(DeferredResult::NotDurable),
        }
    }
}

fn request_number(ticket: u64) -> usize {
    usize::try_from(ticket).unwrap_or(usize::MAX)
}

impl BudgetPolicy for GrantPolicy {
    fn decide(&mut self, cx: &RequestContext<'_>, _truth: &GroundTruth) -> Admission {
        let event = Event::Reserve {
            ticket: cx.number as u64,
            account: self.accounts[cx.req.account].clone(),
            tokens: cx.req.max_tokens,
            wait_until: cx.wait_until,
        };
        self.fleet.send(cx.router, event);
        Admission::Pending
    }

    fn end(&mut self, cx: &RequestContext<'_>) {
        let Some(reservation) = self.reservations.remove(&cx.number) else { return };
        let account = self.accounts[cx.req.account].clone();
        let id = RequestId::new(&format!("r{}", cx.number)).expect("a valid ID");
        let bill = Bill {
            request: RequestKey::new(account.clone(), id),
            tokens: cx.req.used,
            router: self.fleet.router_id(cx.router),
        };
        let event = Event::Settle {
            ticket: FIRST_BILL_TICKET + cx.number as u64,
            account,
            reservation,
            bill,
            with: Commit::default(),
            deadline: cx.now + SETTLE_TIMEOUT,
        };
        self.fleet.send(cx.router, event);
    }

    fn deposit(&mut self, account: usize, tokens: u64) {
        self.fleet.deposit(&self.accounts[account], Tokens(tokens));
    }

    fn kill(&mut self, router: usize) {
        self.fleet.kill(router);
    }

    fn apply_change(&mut self, change: Change) {
        match change {
            Change::TableDown(is_down) => self.fleet.faults.table_down = is_down,
            Change::Partition(first) => {
                for router in first..DOMAINS.len() {
                    self.fleet.set_side(router, 1, false);
                }
            }
            Change::Heal => {
                for router in 0..DOMAINS.len() {
                    self.fleet.set_side(router, 0, true);
                }
            }
            Change::Restart(router) => self.fleet.restart(router),
            Change::Kill(_) | Change::TopUp(_) => {}
        }
    }

    fn advance(&mut self, until: Timestamp, results: &mut Vec<DeferredResult>) -> Timestamp {
        if self.fleet.now() >= until {
            return until;
        }
        self.fleet.set_timer(until.since(self.fleet.now()), until.0);
        loop {
            match self.fleet.step() {
                Step::Timer(number) if number == until.0 => return until,
                Step::Answers(_, answers) => {
                    for (ticket, answer) in answers {
                        self.on_answer(ticket, answer, results);
                    }
                    return self.fleet.now();
                }
                Step::Timer(_) | Step::Other => {}
            }
        }
    }

    fn in_doubt(&self) -> u64 {
        let live: Vec<RouterId> = (0..self.fleet.len())
            .filter(|router| self.fleet.state(*router) != RouterState::Dead)
            .map(|router| self.fleet.router_id(router))
            .collect();
        let mut tokens = 0;
        for account in &self.accounts {
            let rows = self.fleet.table().scan(&grant_prefix(account), None);
            let entries = list_in_doubt(account, &rows, &live);
            tokens += entries.into_iter().flatten().map(|entry| entry.tokens.0).sum::<u64>();
        }
        tokens
    }

    fn writes(&self) -> u64 {
        self.fleet.table_calls().0
    }
}
