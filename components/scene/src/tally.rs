//! Totals of a scene, computed from the endpoints' logs and the table.

use std::collections::BTreeMap;

use budget::{Bill, BudgetRow, budget_key};
use serde::Serialize;
use standins::{MemoryTable, RunRecord, engine::EngineLog};
use types::{AccountName, Tokens};

use crate::SceneSpec;

/// Totals computed from the endpoints' logs and the table. They don't rely on what routers report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Sum of all bills, in tokens.
    pub billed_tokens: u64,
    /// Number of bills.
    pub bills: u64,
    /// Number of tokens that engines generated.
    pub generated_tokens: u64,
    /// Tokens billed or settled beyond the deposit, summed over all accounts.
    pub overspent_tokens: u64,
    /// Number of bills after the first one of each request, plus the number of accounts with more
    /// tokens settled than billed.
    pub duplicate_bills: u64,
    /// Number of runs of non-idempotent actions after the first run for each request.
    pub duplicate_runs: u64,
    /// Number of runs of non-idempotent actions.
    pub action_runs: u64,
}

impl Tally {
    pub(crate) fn new(
        spec: &SceneSpec,
        table: &MemoryTable,
        engines: impl Iterator<Item = EngineLog>,
        services: impl Iterator<Item = Vec<RunRecord>>,
    ) -> Tally {
        let mut tally = Tally::default();
        tally.count_bills(spec, table);
        tally.generated_tokens = engines
            .flat_map(|log| log.records.into_iter().map(|record| record.generated_tokens))
            .sum();
        for runs in services {
            tally.count_runs(spec, &runs);
        }
        tally
    }

    fn count_bills(&mut self, spec: &SceneSpec, table: &MemoryTable) {
        let rows = table.inspect("bill/");
        let bills: Vec<Bill> = rows.iter().filter_map(|row| row.decode().ok()).collect();
        let mut by_account: BTreeMap<&AccountName, Tokens> = BTreeMap::new();
        let mut by_request = BTreeMap::new();
        for bill in &bills {
            let sum = by_account.entry(&bill.request.account).or_default();
            *sum = sum.saturating_add(bill.tokens);
            *by_request.entry(&bill.request).or_insert(0_u64) += 1;
        }
        self.bills = bills.len() as u64;
        self.billed_tokens = by_account.values().copied().sum::<Tokens>().0;
        self.duplicate_bills = by_request.values().map(|count| count - 1).sum();
        for account in &spec.accounts {
            let billed = by_account.get(&account.name).copied().unwrap_or_default();
            let row = table.inspect(budget_key(&account.name).as_str());
            let row: Option<BudgetRow> = row.first().and_then(|row| row.decode().ok());
            let settled = row.map_or(Tokens::ZERO, |row| row.settled);
            let deposited = row.map_or(account.deposit, |row| row.deposited);
            let spent = billed.max(settled);
            self.overspent_tokens += spent.saturating_sub(deposited).0;
            self.duplicate_bills += u64::from(settled > billed);
        }
    }

    fn count_runs(&mut self, spec: &SceneSpec, runs: &[RunRecord]) {
        let is_non_idempotent = |path: &str| {
            let mut actions = spec.actions.iter().filter(|action| !action.idempotent);
            actions.any(|action| path.trim_start_matches('/') == action.name.as_str())
        };
        let mut by_request = BTreeMap::new();
        for run in runs.iter().filter(|run| is_non_idempotent(&run.path)) {
            *by_request.entry((&run.path, &run.request_id)).or_insert(0_u64) += 1;
        }
        self.action_runs += by_request.values().sum::<u64>();
        self.duplicate_runs += by_request.values().map(|count| count - 1).sum::<u64>();
    }
}
