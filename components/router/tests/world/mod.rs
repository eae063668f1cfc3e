//! A simulated world of callers, routers and an endpoint under random faults, on one thread
//! with Tokio time paused. The request registry and the accounting are the production code;
//! the network, the table, the endpoint and the request path through a router are fakes.

mod callers;
mod endpoint;
mod fault_script;
mod sim_router;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use budget::{Bill, BudgetRow, budget_key};
use history::{Event, History};
use platform::{Commit, Write};
use rand::Rng as _;
use types::{AccountName, Tokens};
use utils::{Rng, seeded_rng};

use self::{endpoint::Endpoint, sim_router::SimRouter};
use crate::fakes::{Fleet, ProcessState};

/// Price of each request, in tokens.
const PRICE: Tokens = Tokens(10);

/// Tokens deposited at the start, not enough for all requests.
const DEPOSIT: Tokens = Tokens(200);

/// Tokens of each later deposit.
const TOP_UP: Tokens = Tokens(30);

/// Time for the accounting to settle after all faults have ended.
const SETTLE_TIME: Duration = Duration::from_secs(40);

/// Deliberate bug in the routers, to verify that the checker detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// No bug.
    None,
    /// Routers send non-idempotent calls without an intent row.
    SendsWithoutIntent,
    /// Routers release answers without a bill.
    AnswersWithoutBill,
    /// Routers report every failed request as not run.
    ReportsNotRun,
    /// Routers return an incomplete answer as a complete one.
    PassesIncompleteAnswers,
}

/// State that all parts of the simulation share.
pub(crate) struct World {
    /// Network, table and request registries.
    fleet: Mutex<Fleet>,
    /// Live routers by name.
    routers: Mutex<BTreeMap<&'static str, Arc<SimRouter>>>,
    /// Endpoint that runs all requests.
    endpoint: Endpoint,
    /// Events of the run.
    history: Arc<Mutex<History>>,
    /// Draws delays, faults and requests.
    rng: Mutex<Rng>,
    /// Deliberate bug in the routers.
    mutation: Mutation,
}

/// Runs one seed and returns the history and the final budget row.
pub(crate) async fn run_seed(seed: u64, mutation: Mutation) -> (History, BudgetRow) {
    let history = Arc::new(Mutex::new(History::default()));
    let world = Arc::new(World {
        fleet: Mutex::new(Fleet::new(seed)),
        routers: Mutex::default(),
        endpoint: Endpoint::new(history.clone(), seed),
        history,
        rng: Mutex::new(seeded_rng(seed)),
        mutation,
    });
    world.deposit(DEPOSIT);
    for name in ["r1", "r2", "r3"] {
        world.fleet.lock().unwrap().add_member(name);
    }
    for name in ["r1", "r2", "r3"] {
        world.start_router(name);
    }
    // In every fifth run the routers have been up for longer than the window of earlier attempts,
    // so they report "not run" more often.
    if seed.is_multiple_of(5) {
        tokio::time::sleep(requests::EARLIER_ATTEMPT_WINDOW).await;
    }
    let callers = callers::start(&world);
    fault_script::run(&world).await;
    for caller in callers {
        caller.await.unwrap();
    }
    tokio::time::sleep(SETTLE_TIME).await;
    world.finish()
}

impl World {
    fn start_router(self: &Arc<World>, name: &'static str) {
        let router = SimRouter::start(&mut self.fleet.lock().unwrap(), name, self.draw_seed());
        self.routers.lock().unwrap().insert(name, Arc::new(router));
    }

    fn kill_router(&self, name: &'static str) {
        if let Some(router) = self.routers.lock().unwrap().remove(name) {
            router.gate.set(ProcessState::Dead);
            self.fleet.lock().unwrap().remove_member(name);
        }
    }

    fn draw_seed(&self) -> u64 {
        self.rng.lock().unwrap().random()
    }

    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng.lock().unwrap().random_range(range)
    }

    fn draw_time(&self, millis: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.draw(millis))
    }

    fn chance(&self, probability: f64) -> bool {
        self.rng.lock().unwrap().random_bool(probability)
    }

    fn push(&self, event: Event) {
        self.history.lock().unwrap().push(event);
    }

    fn deposit(&self, tokens: Tokens) {
        let table = self.fleet.lock().unwrap().table.clone();
        let row = budget_of(&table);
        let deposited = row.deposited.saturating_add(tokens);
        let write = Write::put(budget_key(&account()), &BudgetRow { deposited, ..row });
        table.commit_directly(&Commit { writes: vec![write], ..Commit::default() });
        self.push(Event::Deposit { account: account(), tokens });
    }

    /// Adds the bills in the table to the history, and returns it with the budget row.
    fn finish(&self) -> (History, BudgetRow) {
        let table = self.fleet.lock().unwrap().table.clone();
        for row in table.inspect("bill/") {
            let bill: Bill = row.decode().unwrap();
            self.push(Event::Bill { request: bill.request, tokens: bill.tokens });
        }
        (self.history.lock().unwrap().clone(), budget_of(&table))
    }
}

/// Returns the client account of all callers.
fn account() -> AccountName {
    AccountName::new("school").unwrap()
}

fn budget_of(table: &standins::MemoryTable) -> BudgetRow {
    let key = budget_key(&account());
    let rows = table.inspect(key.as_str());
    rows.first().map(|row| row.decode().unwrap()).unwrap_or_default()
}
