//! The policy as shipped: the ledgers of the routers, over the fakes.

use budget::{
    Answer, Bill, BudgetSettings, Event, GrantRecoveryPolicy, grant_prefix, list_in_doubt,
};
use fleet_fakes::{Fleet, RouterState, Step};
use platform::Commit;
use types::{AccountName, RequestId, RequestKey, RouterId, Timestamp, Tokens};
use utils::HashMap;

use super::{
    driver::{Ask, Later, Payer, Verdict},
    hosts::DOMAINS,
    scenario::Change,
    truth::Truth,
    workload::ACCOUNTS,
};

/// Tickets from here on are those of bills.
const BILLS_FROM: u64 = 1 << 32;

/// Longest wait for a bill to become durable.
const SETTLE_WITHIN: std::time::Duration = std::time::Duration::from_secs(30);

/// The ledgers of the routers.
pub(super) struct Grants {
    fleet: Fleet,
    accounts: Vec<AccountName>,
    /// Reservations of requests that run, by number of the request.
    reservations: HashMap<usize, u64>,
}

impl Grants {
    /// Starts the routers.
    pub(super) fn new(policy: GrantRecoveryPolicy, seed: u64) -> Grants {
        let name = |index| AccountName::new(&format!("account-{index}")).expect("a name");
        Grants {
            fleet: Fleet::new(BudgetSettings::new(policy), &DOMAINS, seed),
            accounts: (0..ACCOUNTS).map(name).collect(),
            reservations: HashMap::default(),
        }
    }

    fn take(&mut self, ticket: u64, answer: Answer, answers: &mut Vec<Later>) {
        match answer {
            Answer::Reserved(Ok(reservation)) => {
                let number = number_of(ticket);
                self.reservations.insert(number, reservation);
                answers.push(Later::Admitted(number));
            }
            Answer::Reserved(Err(_)) => answers.push(Later::Refused(number_of(ticket))),
            Answer::Settled(Ok(_)) => {}
            Answer::Settled(Err(_)) => answers.push(Later::NotDurable),
        }
    }
}

fn number_of(ticket: u64) -> usize {
    usize::try_from(ticket).unwrap_or(usize::MAX)
}

impl Payer for Grants {
    fn ask(&mut self, ask: &Ask<'_>, _truth: &Truth) -> Verdict {
        let event = Event::Reserve {
            ticket: ask.number as u64,
            account: self.accounts[ask.req.account].clone(),
            tokens: ask.req.worst,
            wait_until: ask.wait_until,
        };
        self.fleet.send(ask.router, event);
        Verdict::Later
    }

    fn end(&mut self, ask: &Ask<'_>) {
        let Some(reservation) = self.reservations.remove(&ask.number) else { return };
        let account = self.accounts[ask.req.account].clone();
        let id = RequestId::new(&format!("r{}", ask.number)).expect("an id");
        let bill = Bill {
            request: RequestKey::new(account.clone(), id),
            tokens: ask.req.used,
            router: self.fleet.router_id(ask.router),
        };
        let event = Event::Settle {
            ticket: BILLS_FROM + ask.number as u64,
            account,
            reservation,
            bill,
            with: Commit::default(),
            deadline: ask.now + SETTLE_WITHIN,
        };
        self.fleet.send(ask.router, event);
    }

    fn deposit(&mut self, account: usize, tokens: u64) {
        self.fleet.deposit(&self.accounts[account], Tokens(tokens));
    }

    fn kill(&mut self, router: usize) {
        self.fleet.kill(router);
    }

    fn update(&mut self, change: Change) {
        match change {
            Change::TableDown(is_down) => self.fleet.faults.table_down = is_down,
            Change::ApartFrom(first) => {
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

    fn advance(&mut self, until: Timestamp, answers: &mut Vec<Later>) -> Timestamp {
        if self.fleet.now() >= until {
            return until;
        }
        self.fleet.set_timer(until.since(self.fleet.now()), until.0);
        loop {
            match self.fleet.step() {
                Step::Timer(mark) if mark == until.0 => return until,
                Step::Answers(_, given) => {
                    for (ticket, answer) in given {
                        self.take(ticket, answer, answers);
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
