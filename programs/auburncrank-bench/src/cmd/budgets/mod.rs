//! Overspend and false refusals of the budget policies on simulated time, compared with baselines
//! and with a single all-knowing ledger.

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
    baseline::{AllKnowingLedger, CommitPerRequest, StaticSplit},
    driver::{BudgetPolicy, Driver},
    grants::GrantPolicy,
    scenario::SCENARIOS,
};
use super::StudyError;
use crate::{cli::StudyOptions, output::print_row};

/// Longest wait of a request for budget in the cooperative's deployment.
const COOPERATIVE_MAX_WAIT: Duration = Duration::from_secs(30);

/// Longest wait of a request for budget in the uniform maker's deployment.
const UNIFORM_MAKER_MAX_WAIT: Duration = Duration::from_secs(3);

/// Result of one run.
#[derive(Debug, Serialize)]
struct BudgetsRow {
    /// Name of the scenario.
    scenario: &'static str,
    /// Name of the policy.
    policy: &'static str,
    /// Tokens billed beyond the deposits.
    overspent_tokens: u64,
    /// Number of refusals that the all-knowing ledger would not have made.
    false_refusals: u64,
    /// Number of decisions on requests, admitted or refused.
    requests: u64,
    /// Ratio of false refusals to decisions.
    false_refusal_ratio: f64,
    /// Tokens in doubt at the end.
    in_doubt_tokens: u64,
    /// Commits per second, as a mean over the time in which requests arrive.
    table_writes_per_s: f64,
    /// Highest number of commits in one second.
    peak_table_writes_per_s: u64,
    /// Number of refusals, false or not.
    refusals: u64,
    /// Number of bills that did not become durable in time.
    bills_not_durable: u64,
    /// Tokens billed.
    billed_tokens: u64,
    /// Tokens that the all-knowing ledger bills in the same scenario.
    ledger_billed_tokens: u64,
    /// Fraction of the tokens billed by the all-knowing ledger that this policy does not bill.
    distance_to_ledger: f64,
    /// Mean wait of admitted requests, in milliseconds.
    mean_wait_ms: f64,
}

/// A policy as the study runs it: its name, the longest wait of a request and its constructor.
struct PolicySpec {
    name: &'static str,
    max_wait: Duration,
    create: fn(&'static scenario::Scenario, u64) -> Box<dyn BudgetPolicy>,
}

const POLICIES: &[PolicySpec] = &[
    PolicySpec {
        name: "all_knowing_ledger",
        max_wait: COOPERATIVE_MAX_WAIT,
        create: |_, _| Box::new(AllKnowingLedger),
    },
    PolicySpec {
        name: "static_split",
        max_wait: COOPERATIVE_MAX_WAIT,
        create: |_, _| Box::new(StaticSplit::default()),
    },
    PolicySpec {
        name: "commit_per_request",
        max_wait: COOPERATIVE_MAX_WAIT,
        create: |_, _| Box::new(CommitPerRequest::default()),
    },
    PolicySpec {
        name: "cooperative",
        max_wait: COOPERATIVE_MAX_WAIT,
        create: |_, seed| Box::new(GrantPolicy::new(GrantRecoveryPolicy::WitnessedCeilings, seed)),
    },
    PolicySpec {
        name: "cooperative_small_grants",
        max_wait: COOPERATIVE_MAX_WAIT,
        create: |_, seed| Box::new(GrantPolicy::new(GrantRecoveryPolicy::SmallGrants, seed)),
    },
    PolicySpec {
        name: "uniform_maker",
        max_wait: UNIFORM_MAKER_MAX_WAIT,
        create: |_, seed| Box::new(GrantPolicy::new(GrantRecoveryPolicy::WitnessedCeilings, seed)),
    },
    PolicySpec {
        name: "uniform_maker_small_grants",
        max_wait: UNIFORM_MAKER_MAX_WAIT,
        create: |_, seed| Box::new(GrantPolicy::new(GrantRecoveryPolicy::SmallGrants, seed)),
    },
];

/// Runs the study.
pub(crate) fn run(options: &StudyOptions) -> Result<(), StudyError> {
    for scenario in SCENARIOS.iter().filter(|it| options.includes(it.name)) {
        let mut ledger_billed = 0;
        for policy in POLICIES {
            let budget_policy = (policy.create)(scenario, options.seed);
            let driver = Driver::new(scenario, policy.max_wait, budget_policy, options.seed);
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
                table_writes_per_s: result.writes as f64 / workload::RUN_TIME.as_secs_f64(),
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
