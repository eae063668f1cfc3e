//! Cost of one router's accounting on simulated time: table reads, table commits and processor time
//! against client accounts and request rate, and memory against requests in flight.

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

use super::{alone::NoPeers, fit::Slope};
use crate::{cmd::StudyError, memory::AllocationMeter};

/// Numbers of client accounts, each measured at [`DEFAULT_RATE_PER_S`].
const ACCOUNT_COUNTS: [u32; 4] = [8, 16, 32, 64];

/// Request rates per second, each measured over [`DEFAULT_ACCOUNT_COUNT`] accounts.
const RATES_PER_S: [u32; 4] = [50, 100, 200, 400];

/// Numbers of requests in flight of one account.
const IN_FLIGHT_COUNTS: [u32; 4] = [1_000, 2_000, 4_000, 8_000];

const DEFAULT_RATE_PER_S: u32 = 100;
const DEFAULT_ACCOUNT_COUNT: u32 = 10;

/// Simulated time before the measurement.
const WARM_UP: Duration = Duration::from_secs(10);

/// Simulated time that is measured.
const MEASURED_TIME: Duration = Duration::from_secs(30);

/// Time from the reservation to the bill of a request.
const REQUEST_TIME: Duration = Duration::from_secs(1);

/// Tokens that a request reserves and tokens that it uses.
const RESERVED_TOKENS: Tokens = Tokens(1_000);
const USED_TOKENS: Tokens = Tokens(400);

/// Tokens of each reservation in the memory measurement.
const IN_FLIGHT_RESERVED_TOKENS: Tokens = Tokens(1);

const DEPOSITED_TOKENS: Tokens = Tokens(1_000_000_000);

/// Table calls per second, and processor time in microseconds per second.
struct Measurement {
    reads: f64,
    commits: f64,
    processor_us: f64,
}

/// Measures table calls, processor time and memory.
pub(super) fn measure(seed: u64) -> Result<Vec<Slope>, StudyError> {
    let mut slopes = Vec::new();
    let by_accounts = ACCOUNT_COUNTS.map(|accounts| (accounts, (accounts, DEFAULT_RATE_PER_S)));
    slopes.extend(fit_against("client accounts in use", by_accounts, seed)?);
    let by_rate = RATES_PER_S.map(|rate| (rate, (DEFAULT_ACCOUNT_COUNT, rate)));
    slopes.extend(fit_against("requests a second", by_rate, seed)?);
    let mut memory = Vec::new();
    for count in IN_FLIGHT_COUNTS {
        memory.push((f64::from(count), measure_in_flight(count, seed)?));
    }
    let quantity = "memory of reservations, B";
    slopes.push(Slope::fit(quantity, "requests in flight", memory)?);
    Ok(slopes)
}

fn fit_against(
    variable: &'static str,
    runs: [(u32, (u32, u32)); 4],
    seed: u64,
) -> Result<Vec<Slope>, StudyError> {
    let mut measurements = Vec::new();
    for (size, (accounts, rate)) in runs {
        measurements.push((f64::from(size), measure_load(accounts, rate, seed)?));
    }
    let points = |value: fn(&Measurement) -> f64| {
        measurements.iter().map(|(size, it)| (*size, value(it))).collect()
    };
    Ok(vec![
        Slope::fit("table reads of a router, 1/s", variable, points(|it| it.reads))?,
        Slope::fit("table commits of a router, 1/s", variable, points(|it| it.commits))?,
        Slope::fit(
            "processor time of accounting and of the table stand-in, us/s",
            variable,
            points(|it| it.processor_us),
        )?,
    ])
}

/// Accounting of one router, backed by the table stand-in.
struct Router {
    table: MemoryTable,
    accounting: Arc<GrantAccounting>,
    clock: Clock,
}

impl Router {
    /// Starts the accounting. Must be called within a Tokio runtime.
    fn start(accounts: u32, seed: u64) -> Router {
        let table = MemoryTable::new(CallLimits::new(1_000_000, 1_000_000), seed);
        let row = BudgetRow { deposited: DEPOSITED_TOKENS, ..BudgetRow::default() };
        let writes = (0..accounts).map(|number| Write::put(budget_key(&account(number)), &row));
        table.commit_directly(&Commit { writes: writes.collect(), ..Commit::default() });
        let clock = Clock::new();
        let (peers, rng) = (Arc::new(NoPeers::new()), seeded_rng(seed));
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

    /// Starts `rate` requests per second for `span`, round-robin over the accounts.
    async fn run_load(&self, accounts: u32, rate: u32, span: Duration, label: &str) {
        let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
        let count = rate * u32::try_from(span.as_secs()).unwrap_or(u32::MAX);
        for number in 0..count {
            ticks.tick().await;
            let req = self.reserve_request(number % accounts, RESERVED_TOKENS);
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
    let name = RouterName::new("router-1").expect("a valid name");
    let bill = Bill {
        request: RequestKey::new(req.account, RequestId::new(&id).expect("a valid ID")),
        tokens: USED_TOKENS,
        router: RouterId::new(name, Incarnation(1)),
    };
    let deadline = clock.now() + Duration::from_secs(60);
    // An error leaves the request unbilled, which shows in the table's call counts.
    let _ = accounting.settle(reservation, bill, Commit::default(), deadline).await;
}

fn measure_load(accounts: u32, rate: u32, seed: u64) -> Result<Measurement, StudyError> {
    paused_runtime()?.block_on(async {
        let router = Router::start(accounts, seed);
        router.run_load(accounts, rate, WARM_UP, "warm-up").await;
        let before = router.table.counts();
        let started = ThreadTime::now();
        router.run_load(accounts, rate, MEASURED_TIME, "request").await;
        let micros = started.elapsed().as_micros() as f64;
        let after = router.table.counts();
        let per_s = |before: u64, after: u64| (after - before) as f64 / MEASURED_TIME.as_secs_f64();
        Ok(Measurement {
            reads: per_s(before.reads, after.reads),
            commits: per_s(before.commits, after.commits),
            processor_us: micros / MEASURED_TIME.as_secs_f64(),
        })
    })
}

/// Returns the memory of `count` reservations, in bytes.
fn measure_in_flight(count: u32, seed: u64) -> Result<f64, StudyError> {
    paused_runtime()?.block_on(async {
        let router = Router::start(1, seed);
        let req = router.reserve_request(0, IN_FLIGHT_RESERVED_TOKENS);
        let first = router.accounting.reserve(&req).await;
        let meter = AllocationMeter::start();
        let mut reservations = Vec::new();
        for _ in 0..count {
            reservations.push(router.accounting.reserve(&req).await);
        }
        let refused = reservations.iter().chain([&first]).filter(|it| it.is_err()).count();
        if refused > 0 {
            return Err(StudyError(format!("{refused} of {count} reservations were refused")));
        }
        Ok(meter.net_bytes())
    })
}

fn paused_runtime() -> Result<Runtime, StudyError> {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.map_err(|error| StudyError(error.to_string()))
}

fn account(number: u32) -> AccountName {
    AccountName::new(&format!("account-{number}")).expect("a valid name")
}
