//! Gathers what a plan has to know beside the configuration.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use client::HttpClient;
use config::{BudgetFacts, Config, Deposit, Intent, PlanFacts};
use engine_api::LoadReport;
use errors::Result;
use futures::{StreamExt, stream};
use http::{HeaderMap, Method};
use platform::Table;
use types::EndpointName;

use super::budget_rows::{read_budget, read_deposit};

/// Longest time to ask an endpoint for its load.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Endpoints that are asked for their load at the same time.
const LOAD_CALLS_MAX: usize = 16;

/// Path of the load reports of engines.
const LOAD_PATH: &str = "/v1/load";

/// Reads the budgets and earlier deposits that `intent` concerns, and the load of the
/// endpoints that it takes out of service.
///
/// # Errors
/// `StoreUnavailable`, or `Internal` where a row is corrupt. An endpoint that does not
/// answer counts as idle.
pub(super) async fn gather_facts(
    table: &dyn Table,
    http: &HttpClient,
    cfg: &Config,
    intent: &Intent,
) -> Result<PlanFacts> {
    let mut facts = PlanFacts::default();
    let deposits = intent.deposits.iter().map(|deposit| &deposit.account);
    for account in deposits.chain(&intent.remove.accounts) {
        if facts.budgets.contains_key(account) {
            continue;
        }
        let row = read_budget(table, account).await?.value.unwrap_or_default();
        let (deposited, settled, granted) = (row.deposited, row.settled, row.granted);
        facts.budgets.insert(account.clone(), BudgetFacts { deposited, settled, granted });
    }
    for deposit in &intent.deposits {
        if let Some(row) = read_deposit(table, &deposit.id).await?.value {
            let earlier = Deposit { id: row.id, account: row.account, tokens: row.tokens };
            facts.earlier_deposits.insert(deposit.id.clone(), earlier);
        }
    }
    facts.busy_endpoints = ask_for_load(http, cfg, intent).await;
    Ok(facts)
}

async fn ask_for_load(
    http: &HttpClient,
    cfg: &Config,
    intent: &Intent,
) -> BTreeMap<EndpointName, u32> {
    let removed = intent.remove.endpoints.iter();
    let leaving = intent.set.endpoints.iter().filter(|(_, endpoint)| endpoint.leaving);
    let names = removed.chain(leaving.map(|(name, _)| name));
    let known: Vec<_> = names
        .filter_map(|name| Some((name.clone(), cfg.endpoints.get(name)?.address, http.clone())))
        .collect();
    stream::iter(known)
        .map(|(name, address, http)| async move { Some((name, read_load(http, address).await?)) })
        .buffer_unordered(LOAD_CALLS_MAX)
        .filter_map(std::future::ready)
        .collect()
        .await
}

async fn read_load(http: HttpClient, address: SocketAddr) -> Option<u32> {
    let (headers, body) = (HeaderMap::new(), bytes::Bytes::new());
    let res = http.call(address, Method::GET, LOAD_PATH, headers, body, LOAD_TIMEOUT);
    let report: LoadReport = serde_json::from_slice(res.await.ok()?.body()).ok()?;
    Some(report.running.saturating_add(report.waiting))
}
