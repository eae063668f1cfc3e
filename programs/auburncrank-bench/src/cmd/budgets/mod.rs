//! Overspend and false refusals of budgets, on simulated time, against baselines and
//! against a single all-knowing ledger.

mod baseline;
mod driver;
mod grants;
mod hosts;
mod scenario;
mod truth;
mod workload;

use std::time::Duration;

use budget::GrantRecoveryPolicy;
use serde::Serialize;

use self::{
    baseline::{AllKnowing, CommitPerRequest, StaticSplit},
    driver::{Driver, Payer},
    grants::Grants,
    scenario::SCENARIOS,
};
use super::StudyError;
use crate::{cli::StudyOptions, output::print_row};

/// Longest wait of a request short of budget in the deployment of the cooperative.
const COOPERATIVE_WAIT: Duration = Duration::from_secs(30);

/// Longest wait of a request short of budget in the deployment of the uniform maker.
const UNIFORM_MAKER_WAIT: Duration = Duration::from_secs(3);

/// Result of one run.
#[derive(Debug, Serialize)]
struct BudgetsRow {
    /// Scenario.
    scenario: &'static str,
    /// Policy.
    policy: &'static str,
    /// Tokens billed beyond the deposits.
    overspent_tokens: u64,
    /// Refusals that the all-knowing ledger would not have made.
    false_refusals: u64,
    /// Decisions on requests.
    requests: u64,
    /// False refusals for each request.
    false_refusal_ratio: f64,
    /// Tokens in doubt at the end.
    in_doubt_tokens: u64,
    /// Commits a second, over the whole run.
    table_writes_per_s: f64,
    /// Most commits in one second.
    peak_table_writes_per_s: u64,
    /// All refusals.
    refusals: u64,
    /// Bills that did not become durable in time.
    bills_not_durable: u64,
    /// Tokens billed.
    billed_tokens: u64,
    /// Tokens that the all-knowing ledger bills in the same scenario.
    ledger_billed_tokens: u64,
    /// Share of the tokens that the all-knowing ledger bills and this policy does not.
    distance_to_ledger: f64,
    /// Mean wait of admitted requests, in milliseconds.
    mean_wait_ms: f64,
}

/// A policy and its longest wait.
struct Policy {
    name: &'static str,
    max_wait: Duration,
    payer: fn(&'static scenario::Scenario, u64) -> Box<dyn Payer>,
}

const POLICIES: &[Policy] = &[
    Policy {
        name: "all_knowing_ledger",
        max_wait: COOPERATIVE_WAIT,
        payer: |_, _| Box::new(AllKnowing),
    },
    Policy {
        name: "static_split",
        max_wait: COOPERATIVE_WAIT,
        payer: |_, _| Box::new(StaticSplit::default()),
    },
    Policy {
        name: "commit_per_request",
        max_wait: COOPERATIVE_WAIT,
        payer: |_, _| Box::new(CommitPerRequest::default()),
    },
    Policy {
        name: "cooperative",
        max_wait: COOPERATIVE_WAIT,
        payer: |_, seed| Box::new(Grants::new(GrantRecoveryPolicy::WitnessedCeilings, seed)),
    },
    Policy {
        name: "cooperative_small_grants",
        max_wait: COOPERATIVE_WAIT,
        payer: |_, seed| Box::new(Grants::new(GrantRecoveryPolicy::SmallGrants, seed)),
    },
    Policy {
        name: "uniform_maker",
        max_wait: UNIFORM_MAKER_WAIT,
        payer: |_, seed| Box::new(Grants::new(GrantRecoveryPolicy::WitnessedCeilings, seed)),
    },
    Policy {
        name: "uniform_maker_small_grants",
        max_wait: UNIFORM_MAKER_WAIT,
        payer: |_, seed| Box::new(Grants::new(GrantRecoveryPolicy::SmallGrants, seed)),
    },
];

/// Runs the study.
pub(crate) fn run(options: &StudyOptions) -> Result<(), StudyError> {
    for scenario in SCENARIOS.iter().filter(|it| options.includes(it.name)) {
        let mut ledger_billed = 0;
        for policy in POLICIES {
            let payer = (policy.payer)(scenario, options.seed);
            let driver = Driver::new(scenario, policy.max_wait, payer, options.seed);
            let result = driver.run();
            if policy.name == POLICIES[0].name {
                ledger_billed = result.billed;
            }
            let share = result.billed as f64 / (ledger_billed as f64).max(1.0);
            print_row(&BudgetsRow {
                scenario: scenario.name,
                policy: policy.name,
                overspent_tokens: result.overspent,
                false_refusals: result.false_refusals,
                requests: result.decisions,
                false_refusal_ratio: result.false_refusals as f64
                    / (result.decisions as f64).max(1.0),
                in_doubt_tokens: result.in_doubt,
                table_writes_per_s: result.writes as f64 / workload::SPAN.as_secs_f64(),
                peak_table_writes_per_s: result.peak_writes,
                refusals: result.refusals,
                bills_not_durable: result.not_durable,
                billed_tokens: result.billed,
                ledger_billed_tokens: ledger_billed,
                distance_to_ledger: 1.0 - share,
                mean_wait_ms: result.wait_ms as f64 / (result.admitted as f64).max(1.0),
            });
        }
    }
    Ok(())
}
