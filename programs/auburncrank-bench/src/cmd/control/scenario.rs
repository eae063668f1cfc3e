//! Scenarios of the study.

use std::time::Duration;

use futures::future::join_all;
use rand::seq::SliceRandom as _;
use standins::{CallLimits, MemoryTable, TableFaults};
use tokio::time::Instant;
use types::AccountName;
use utils::Rng;

use super::{
    ControlRow, StudyError,
    fleet::{Fleet, SpreadMode},
    observer::Observer,
    operators::{AcceptedChange, confirm_weight, plan_weight},
};

/// Rate limit of the table's reads.
const TABLE_READS_PER_S: u32 = 2_000;

/// Rate limit of the table's commits.
const TABLE_COMMITS_PER_S: u32 = 300;

/// Time for the fleet to start and for the last change to propagate.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Number of operators that confirm plans at the same time.
const RACING_OPERATORS: usize = 20;

/// A named scenario.
pub(super) struct Scenario {
    /// Name in the output and for `--scenario`.
    pub(super) name: &'static str,
    /// What happens in the scenario.
    kind: ScenarioKind,
}

/// What happens in a scenario.
#[derive(Debug, Clone, Copy)]
enum ScenarioKind {
    /// Changes are accepted one after the other.
    Calm,
    /// The table becomes unavailable for 30 s immediately after each change is accepted.
    TableOutage,
    /// Half of the routers are cut off from the table and the other routers while changes are
    /// accepted.
    Partition,
    /// All routers restart immediately after each change is accepted.
    RestartAll,
    /// The table becomes unavailable immediately after each change is accepted; from 2 s later, the
    /// routers restart one after the other.
    RollingRestart,
    /// Operators confirm plans at the same time, while some answers of the table are lost.
    Racing,
}

/// All scenarios of the study.
pub(super) const SCENARIOS: &[Scenario] = &[
    Scenario { name: "calm", kind: ScenarioKind::Calm },
    Scenario { name: "store_away_after_acceptance", kind: ScenarioKind::TableOutage },
    Scenario { name: "partition_and_heal", kind: ScenarioKind::Partition },
    Scenario { name: "restart_of_all", kind: ScenarioKind::RestartAll },
    Scenario { name: "rolling_restart_with_store_away", kind: ScenarioKind::RollingRestart },
    Scenario { name: "racing_operators", kind: ScenarioKind::Racing },
];

/// State of one run of a scenario.
struct Run {
    table: MemoryTable,
    fleet: Fleet,
    observer: Observer,
    /// Draws the order in which operators confirm.
    rng: Rng,
    /// Accepted changes so far.
    accepted: Vec<AcceptedChange>,
    /// Plans refused as stale so far.
    conflicts: usize,
    /// End of the partition, if there was one.
    healed_at: Option<Instant>,
}

/// Runs a scenario and returns its row.
pub(super) async fn run(
    scenario: &Scenario,
    routers: usize,
    spread_mode: SpreadMode,
    seed: u64,
) -> Result<ControlRow, StudyError> {
    let table = MemoryTable::new(CallLimits::new(TABLE_READS_PER_S, TABLE_COMMITS_PER_S), seed);
    let started = Instant::now();
    let mut run = Run {
        fleet: Fleet::start(routers, spread_mode, &table, seed),
        table,
        observer: Observer::new(routers),
        rng: utils::seeded_rng(seed),
        accepted: Vec::new(),
        conflicts: 0,
        healed_at: None,
    };
    run.watch(SETTLE_TIME).await;
    run.run_steps(scenario.kind).await?;
    run.watch(SETTLE_TIME).await;
    let times = run.observer.times_to_force(&run.accepted, run.healed_at);
    let elapsed = started.elapsed().as_secs_f64();
    Ok(ControlRow {
        scenario: scenario.name,
        way: spread_mode.name(),
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
    async fn run_steps(&mut self, kind: ScenarioKind) -> Result<(), StudyError> {
        match kind {
            ScenarioKind::Calm => {
                for number in 0..20 {
                    self.plan_and_confirm(number).await?;
                    self.watch(Duration::from_millis(1_700)).await;
                }
            }
            ScenarioKind::TableOutage => {
                for number in 0..5 {
                    self.plan_and_confirm(number).await?;
                    self.set_faults(TableFaults { down: true, ..TableFaults::default() });
                    self.watch(Duration::from_secs(30)).await;
                    self.set_faults(TableFaults::default());
                    self.watch(SETTLE_TIME).await;
                }
            }
            ScenarioKind::Partition => {
                self.fleet.set_partitioned(true);
                for number in 0..5 {
                    self.plan_and_confirm(number).await?;
                    self.watch(Duration::from_secs(6)).await;
                }
                self.fleet.set_partitioned(false);
                self.healed_at = Some(Instant::now());
            }
            ScenarioKind::RestartAll => {
                for number in 0..5 {
                    self.plan_and_confirm(number).await?;
                    self.fleet.restart_all(Duration::from_secs(1));
                    self.watch(SETTLE_TIME).await;
                }
            }
            ScenarioKind::RollingRestart => {
                for number in 0..3 {
                    self.plan_and_confirm(number).await?;
                    self.set_faults(TableFaults { down: true, ..TableFaults::default() });
                    self.watch(Duration::from_secs(2)).await;
                    for router in 0..self.fleet.routers.len() {
                        self.fleet.restart(router, Duration::from_secs(1));
                        self.watch(Duration::from_millis(500)).await;
                    }
                    self.watch(SETTLE_TIME).await;
                    self.set_faults(TableFaults::default());
                    self.watch(SETTLE_TIME).await;
                }
            }
            ScenarioKind::Racing => {
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

    /// Plans and confirms a change of an account that no other change affects.
    async fn plan_and_confirm(&mut self, number: u32) -> Result<(), StudyError> {
        let account = account(&format!("account-{number}"));
        let weight = number + 1;
        let plan = plan_weight(&self.table, &account, weight).await;
        let plan = plan.ok_or_else(|| StudyError("no plan could be made".to_owned()))?;
        let accepted = confirm_weight(&self.table, &plan, &account, weight).await;
        if let Some(accepted) = accepted {
            // The router that handles the confirmation brings the version into force immediately.
            self.fleet.routers[0].cfg.advance(accepted.cfg.clone());
            self.accepted.push(accepted);
        }
        Ok(())
    }

    /// Lets [`RACING_OPERATORS`] operators confirm their plans at the same time: half of them
    /// change the same account, the others an account of their own each.
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
        let (results, ()) = tokio::join!(all, self.observer.watch(&self.fleet, SETTLE_TIME));
        self.conflicts += results.iter().filter(|result| result.is_none()).count();
        self.accepted.extend(results.into_iter().flatten());
    }

    /// Counts the accepted changes that at least one router lacks, except those that a later
    /// accepted change of the same account replaced.
    fn count_lost_changes(&self) -> usize {
        let is_latest = |change: &&AcceptedChange| {
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
        self.accepted.iter().filter(is_latest).filter(is_lost).count()
    }
}

fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a valid name")
}
