//! The scenarios of the study.

use std::time::Duration;

use futures::future::join_all;
use rand::seq::SliceRandom as _;
use standins::{CallLimits, MemoryTable, TableFaults};
use tokio::time::Instant;
use types::AccountName;
use utils::Rng;

use super::{
    ControlRow, StudyError,
    fleet::{Fleet, Way},
    observer::Observer,
    operators::{AcceptedChange, confirm_weight, plan_weight},
};

/// Reads a second that the table serves.
const TABLE_READS: u32 = 2_000;

/// Commits a second that the table serves.
const TABLE_WRITES: u32 = 300;

/// Time for a fleet to start, and for the last change to spread.
const SETTLE: Duration = Duration::from_secs(5);

/// Operators that race.
const RACING_OPERATORS: usize = 20;

/// A scenario.
pub(super) struct Scenario {
    /// Name.
    pub(super) name: &'static str,
    /// What happens in it.
    course: Course,
}

/// What happens in a scenario.
#[derive(Debug, Clone, Copy)]
enum Course {
    /// Changes one after the other.
    Calm,
    /// The table goes away as soon as each change is accepted.
    StoreAway,
    /// Half of the routers are cut off while changes are accepted.
    Partition,
    /// All routers restart as soon as each change is accepted.
    RestartAll,
    /// The table goes away as soon as each change is accepted, and from 2 s later on the
    /// routers restart one after the other.
    RollingRestart,
    /// Operators confirm at the same time, while some answers are lost.
    Racing,
}

/// All scenarios.
pub(super) const SCENARIOS: &[Scenario] = &[
    Scenario { name: "calm", course: Course::Calm },
    Scenario { name: "store_away_after_acceptance", course: Course::StoreAway },
    Scenario { name: "partition_and_heal", course: Course::Partition },
    Scenario { name: "restart_of_all", course: Course::RestartAll },
    Scenario { name: "rolling_restart_with_store_away", course: Course::RollingRestart },
    Scenario { name: "racing_operators", course: Course::Racing },
];

/// One run of a scenario.
struct Run {
    table: MemoryTable,
    fleet: Fleet,
    observer: Observer,
    /// Draws what operators do.
    rng: Rng,
    /// Changes accepted so far.
    accepted: Vec<AcceptedChange>,
    /// Plans refused as stale so far.
    conflicts: usize,
    /// When a partition ended.
    healed: Option<Instant>,
}

/// Runs a scenario.
pub(super) async fn run(
    scenario: &Scenario,
    routers: usize,
    way: Way,
    seed: u64,
) -> Result<ControlRow, StudyError> {
    let table = MemoryTable::new(CallLimits::new(TABLE_READS, TABLE_WRITES), seed);
    let started = Instant::now();
    let mut run = Run {
        fleet: Fleet::start(routers, way, &table, seed),
        table,
        observer: Observer::new(routers),
        rng: utils::seeded_rng(seed),
        accepted: Vec::new(),
        conflicts: 0,
        healed: None,
    };
    run.watch(SETTLE).await;
    run.play(scenario.course).await?;
    run.watch(SETTLE).await;
    let times = run.observer.times_to_force(&run.accepted, run.healed);
    let elapsed = started.elapsed().as_secs_f64();
    Ok(ControlRow {
        scenario: scenario.name,
        way: way.name(),
        routers,
        accepted: run.accepted.len(),
        conflicts: run.conflicts,
        time_to_force_p50_ms: times.value_at_quantile(0.5),
        time_to_force_max_ms: times.max(),
        reverts: run.observer.reverts,
        lost_changes: run.count_lost_changes(),
        table_reads_per_s: run.table.counts().reads as f64 / elapsed,
    })
}

impl Run {
    async fn play(&mut self, course: Course) -> Result<(), StudyError> {
        match course {
            Course::Calm => {
                for number in 0..20 {
                    self.accept(number).await?;
                    self.watch(Duration::from_millis(1_700)).await;
                }
            }
            Course::StoreAway => {
                for number in 0..5 {
                    self.accept(number).await?;
                    self.set_faults(TableFaults { down: true, ..TableFaults::default() });
                    self.watch(Duration::from_secs(30)).await;
                    self.set_faults(TableFaults::default());
                    self.watch(SETTLE).await;
                }
            }
            Course::Partition => {
                self.fleet.set_half_cut(true);
                for number in 0..5 {
                    self.accept(number).await?;
                    self.watch(Duration::from_secs(6)).await;
                }
                self.fleet.set_half_cut(false);
                self.healed = Some(Instant::now());
            }
            Course::RestartAll => {
                for number in 0..5 {
                    self.accept(number).await?;
                    self.fleet.restart_all(Duration::from_secs(1));
                    self.watch(SETTLE).await;
                }
            }
            Course::RollingRestart => {
                for number in 0..3 {
                    self.accept(number).await?;
                    self.set_faults(TableFaults { down: true, ..TableFaults::default() });
                    self.watch(Duration::from_secs(2)).await;
                    for router in 0..self.fleet.routers.len() {
                        self.fleet.restart(router, Duration::from_secs(1));
                        self.watch(Duration::from_millis(500)).await;
                    }
                    self.watch(SETTLE).await;
                    self.set_faults(TableFaults::default());
                    self.watch(SETTLE).await;
                }
            }
            Course::Racing => {
                self.set_faults(TableFaults { lost_answers: 0.1, ..TableFaults::default() });
                for round in 0..5 {
                    self.race(round).await;
                    self.watch(Duration::from_secs(3)).await;
                }
            }
        }
        Ok(())
    }

    async fn watch(&mut self, span: Duration) {
        self.observer.watch(&self.fleet, span).await;
    }

    fn set_faults(&self, faults: TableFaults) {
        self.table.set_faults(faults);
    }

    /// Accepts a change of an account of its own.
    async fn accept(&mut self, number: u32) -> Result<(), StudyError> {
        let account = account(&format!("account-{number}"));
        let weight = number + 1;
        let plan = plan_weight(&self.table, &account, weight).await;
        let plan = plan.ok_or_else(|| StudyError("no plan was made".to_owned()))?;
        let accepted = confirm_weight(&self.table, &plan, &account, weight).await;
        if let Some(accepted) = accepted {
            // The router that confirms brings the version into force at once.
            self.fleet.routers[0].cfg.advance(accepted.cfg.clone());
            self.accepted.push(accepted);
        }
        Ok(())
    }

    /// Lets operators race: half of them change one and the same account, half one of
    /// their own each.
    async fn race(&mut self, round: u32) {
        let mut plans = Vec::new();
        for number in 0..RACING_OPERATORS {
            let is_shared = number < RACING_OPERATORS / 2;
            let own = format!("round-{round}-{number}");
            let account = account(if is_shared { "shared" } else { own.as_str() });
            let weight = round * 100 + u32::try_from(number).unwrap_or(0) + 1;
            if let Some(plan) = plan_weight(&self.table, &account, weight).await {
                plans.push((plan, account, weight));
            }
        }
        plans.shuffle(&mut self.rng);
        let table = self.table.clone();
        let confirmations = plans
            .iter()
            .map(|(plan, account, weight)| confirm_weight(&table, plan, account, *weight));
        let all = join_all(confirmations);
        let (results, ()) = tokio::join!(all, self.observer.watch(&self.fleet, SETTLE));
        self.conflicts += results.iter().filter(|result| result.is_none()).count();
        self.accepted.extend(results.into_iter().flatten());
    }

    /// Counts the accepted changes that some router does not have at the end, unless a
    /// later accepted change replaced them.
    fn count_lost_changes(&self) -> usize {
        let is_last = |change: &&AcceptedChange| {
            !self
                .accepted
                .iter()
                .any(|other| other.account == change.account && other.version > change.version)
        };
        let is_lost = |change: &&AcceptedChange| {
            self.fleet.routers.iter().any(|router| {
                let cfg = router.cfg.load_full();
                cfg.accounts.get(&change.account).map(|it| it.weight) != Some(change.weight)
            })
        };
        self.accepted.iter().filter(is_last).filter(is_lost).count()
    }
}

fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a name")
}
