//! Reads and writes of the table by one router's accounting, on paused time, against
//! client accounts and the rate of requests; memory against requests in flight.

use std::{sync::Arc, time::Duration};

use budget::{Bill, BudgetRow, budget_key};
use config::ShortagePolicy;
use cpu_time::ThreadTime;
use platform::{Commit, Write};
use router::{
    Clock,
    accounting::{Accounting, GrantAccounting, ReserveRequest},
};
use standins::{CallLimits, MemoryTable};
use tokio::runtime::{Builder, Handle, Runtime};
use types::{AccountName, Incarnation, RequestId, RequestKey, RouterId, RouterName, Tokens};
use utils::seeded_rng;

use super::{alone::Alone, fit::Slope};
use crate::{cmd::StudyError, memory::HeldMemory};

/// Numbers of client accounts, at [`RATE`].
const ACCOUNTS: [u32; 4] = [8, 16, 32, 64];

/// Requests a second, over [`ACCOUNT_COUNT`] accounts.
const RATES: [u32; 4] = [50, 100, 200, 400];

/// Requests in flight of one account.
const IN_FLIGHT: [u32; 4] = [1_000, 2_000, 4_000, 8_000];

const RATE: u32 = 100;
const ACCOUNT_COUNT: u32 = 10;

/// Simulated time before the measurement.
const WARM_UP: Duration = Duration::from_secs(10);

/// Simulated time that is measured.
const SPAN: Duration = Duration::from_secs(30);

/// Time from the reservation to the bill of a request.
const REQUEST_TIME: Duration = Duration::from_secs(1);

/// Tokens that a request reserves, and those that it uses.
const RESERVED: Tokens = Tokens(1_000);
const USED: Tokens = Tokens(400);

/// Tokens of each reservation whose memory is measured.
const RESERVED_IN_FLIGHT: Tokens = Tokens(1);

const DEPOSIT: Tokens = Tokens(1_000_000_000);

/// Calls of the table a second, and processor time.
struct Measured {
    reads: f64,
    commits: f64,
    processor_us: f64,
}

/// Measures the table's calls, processor time and memory.
pub(super) fn measure(seed: u64) -> Result<Vec<Slope>, StudyError> {
    let mut slopes = Vec::new();
    let by_accounts = ACCOUNTS.map(|accounts| (accounts, (accounts, RATE)));
    slopes.extend(against("client accounts in use", by_accounts, seed)?);
    let by_rate = RATES.map(|rate| (rate, (ACCOUNT_COUNT, rate)));
    slopes.extend(against("requests a second", by_rate, seed)?);
    let mut memory = Vec::new();
    for count in IN_FLIGHT {
        memory.push((f64::from(count), measure_in_flight(count, seed)?));
    }
    let quantity = "memory of reservations, B";
    slopes.push(Slope::fit(quantity, "requests in flight", memory)?);
    Ok(slopes)
}

fn against(
    what: &'static str,
    runs: [(u32, (u32, u32)); 4],
    seed: u64,
) -> Result<Vec<Slope>, StudyError> {
    let mut measured = Vec::new();
    for (size, (accounts, rate)) in runs {
        measured.push((f64::from(size), measure_load(accounts, rate, seed)?));
    }
    let points = |value: fn(&Measured) -> f64| {
        measured.iter().map(|(size, measured)| (*size, value(measured))).collect()
    };
    Ok(vec![
        Slope::fit("table reads of a router, 1/s", what, points(|it| it.reads))?,
        Slope::fit("table commits of a router, 1/s", what, points(|it| it.commits))?,
        Slope::fit(
            "processor time of accounting and of the table stand-in, us/s",
            what,
            points(|it| it.processor_us),
        )?,
    ])
}

/// Accounting of one router over the table stand-in.
struct Router {
    table: MemoryTable,
    accounting: Arc<GrantAccounting>,
    clock: Clock,
}

impl Router {
    /// Must be called inside of a runtime.
    fn start(accounts: u32, seed: u64) -> Router {
        let table = MemoryTable::new(CallLimits::new(1_000_000, 1_000_000), seed);
        let row = BudgetRow { deposited: DEPOSIT, ..BudgetRow::default() };
        let writes = (0..accounts).map(|number| Write::put(budget_key(&account(number)), &row));
        table.commit_directly(&Commit { writes: writes.collect(), ..Commit::default() });
        let clock = Clock::new();
        let (peers, rng) = (Arc::new(Alone::new()), seeded_rng(seed));
        let control = Handle::current();
        let accounting =
            GrantAccounting::start(&control, clock, Arc::new(table.clone()), peers, rng);
        Router { table, accounting: Arc::new(accounting), clock }
    }

    fn reserve_request(&self, account: u32, tokens: Tokens) -> ReserveRequest {
        ReserveRequest {
            account: self::account(account),
            tokens,
            shortage: ShortagePolicy::default(),
            deadline: self.clock.now() + Duration::from_secs(60),
        }
    }

    /// Runs `rate` requests a second for `span`, in turn over the accounts.
    async fn run_load(&self, accounts: u32, rate: u32, span: Duration, label: &str) {
        let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
        let count = rate * u32::try_from(span.as_secs()).unwrap_or(u32::MAX);
        for number in 0..count {
            ticks.tick().await;
            let req = self.reserve_request(number % accounts, RESERVED);
            let id = format!("{label}-{number}");
            tokio::spawn(run_request(self.accounting.clone(), self.clock, req, id));
        }
    }
}

async fn run_request(
    accounting: Arc<GrantAccounting>,
    clock: Clock,
    req: ReserveRequest,
    id: String,
) {
    let Ok(reservation) = accounting.reserve(&req).await else { return };
    tokio::time::sleep(REQUEST_TIME).await;
    let name = RouterName::new("router-1").expect("a name");
    let bill = Bill {
        request: RequestKey::new(req.account, RequestId::new(&id).expect("an id")),
        tokens: USED,
        router: RouterId::new(name, Incarnation(1)),
    };
    let deadline = clock.now() + Duration::from_secs(60);
    // An error leaves the request unbilled; the counts of the table show it.
    let _ = accounting.settle(reservation, bill, Commit::default(), deadline).await;
}

fn measure_load(accounts: u32, rate: u32, seed: u64) -> Result<Measured, StudyError> {
    paused_runtime()?.block_on(async {
        let router = Router::start(accounts, seed);
        router.run_load(accounts, rate, WARM_UP, "warm-up").await;
        let before = router.table.counts();
        let started = ThreadTime::now();
        router.run_load(accounts, rate, SPAN, "request").await;
        let micros = started.elapsed().as_micros() as f64;
        let after = router.table.counts();
        let rate = |before: u64, after: u64| (after - before) as f64 / SPAN.as_secs_f64();
        Ok(Measured {
            reads: rate(before.reads, after.reads),
            commits: rate(before.commits, after.commits),
            processor_us: micros / SPAN.as_secs_f64(),
        })
    })
}

/// Returns the memory that `count` reservations hold.
fn measure_in_flight(count: u32, seed: u64) -> Result<f64, StudyError> {
    paused_runtime()?.block_on(async {
        let router = Router::start(1, seed);
        let req = router.reserve_request(0, RESERVED_IN_FLIGHT);
        let first = router.accounting.reserve(&req).await;
        let held = HeldMemory::start();
        let mut reservations = Vec::new();
        for _ in 0..count {
            reservations.push(router.accounting.reserve(&req).await);
        }
        let refused = reservations.iter().chain([&first]).filter(|it| it.is_err()).count();
        if refused > 0 {
            return Err(StudyError(format!("{refused} of {count} requests were refused")));
        }
        Ok(held.bytes())
    })
}

fn paused_runtime() -> Result<Runtime, StudyError> {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.map_err(|error| StudyError(error.to_string()))
}

fn account(number: u32) -> AccountName {
    AccountName::new(&format!("account-{number}")).expect("a name")
}
