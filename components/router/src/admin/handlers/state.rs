//! State of the fleet: routers, endpoints, budgets and requests.

use std::time::Duration;

use admin_api::{
    BudgetList, BudgetView, ControllerView, CrashingContent, EndpointView, LocalState, RequestList,
    RouterView, RunningRequest, StateView,
};
use budget::BudgetRow;
use config::Config;
use membership::{Member, MemberState};
use platform::Row;
use rollout::RolloutProgress;
use routing::{CrashRecord, EndpointStatus};
use types::{AccountName, EndpointName};
use utils::HashMap;
use viz::Request;

use super::page::read_page;
use crate::{
    admin::{
        AdminError,
        context::{AdminCall, AdminContext},
    },
    configuration::corrupt_row_error,
    control_jobs::ControllerStatus,
};

/// Key prefix of budget rows.
const BUDGET_PREFIX: &str = "budget/";

/// Maximum time since the table last confirmed the active version for which the state of a router
/// reports it as confirmed. Readiness and metrics use
/// [`CONFIRMATION_MAX_AGE`](crate::configuration::CONFIRMATION_MAX_AGE).
const CONFIRMED_AGE_MAX: Duration = Duration::from_secs(18);

/// Maximum number of requests in one response; the oldest are listed.
const REQUEST_LIST_MAX: usize = 1_000;

/// Serves `GET /admin/v1/state`.
pub(in crate::admin) async fn get_state(
    cx: AdminContext,
    call: AdminCall,
    _req: Request,
) -> Result<StateView, AdminError> {
    let active_cfg = cx.router.cfg.load_full();
    let view = cx.router.peers.view();
    let accepted_version = call.store.is_ok().then_some(call.cfg.version);
    let age = cx.router.cfg.confirmed_age();
    let local = LocalState {
        name: view.local.id.name.clone(),
        config_version: active_cfg.version,
        accepted_version,
        config_confirmed_age_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
        config_is_confirmed: age.is_some_and(|age| age <= CONFIRMED_AGE_MAX),
    };
    let mut routers: Vec<_> = view.members().map(view_router).collect();
    // The view holds this router's version as of its last heartbeat.
    routers[0].config_version = active_cfg.version;
    let names = call.cfg.endpoints.keys();
    let dispatch = cx.router.dispatcher.status();
    let status_by_name: HashMap<_, _> =
        dispatch.endpoints.iter().map(|it| (&it.name, it)).collect();
    Ok(StateView {
        local,
        routers,
        endpoints: names
            .filter_map(|name| view_endpoint(&call.cfg, name, status_by_name.get(name).copied()))
            .collect(),
        controller: view_controller(&cx.controller.status()),
        waiting_requests: dispatch.waiting,
        crashing: dispatch.quarantined.iter().map(view_crashing).collect(),
        quarantine: call.cfg.quarantine.iter().cloned().collect(),
    })
}

/// Serves `GET /admin/v1/budgets`.
pub(in crate::admin) async fn get_budgets(
    cx: AdminContext,
    _call: AdminCall,
    req: Request,
) -> Result<BudgetList, AdminError> {
    let page = read_page(&*cx.router.table, BUDGET_PREFIX, &req).await?;
    let budgets = page.rows.iter().filter_map(view_budget).collect::<Result<_, _>>()?;
    Ok(BudgetList { budgets, next: page.next })
}

/// Serves `GET /admin/v1/requests`.
pub(in crate::admin) async fn get_requests(
    cx: AdminContext,
    _call: AdminCall,
    _req: Request,
) -> Result<RequestList, AdminError> {
    let router = cx.router.peers.view().local.id.name.clone();
    let now = cx.router.clock.now();
    let mut running = cx.runs.running();
    // The oldest first, because operators look for requests that have run for a long time.
    running.sort_unstable_by_key(|(_, started)| *started);
    let in_progress = running.len();
    let requests =
        running.into_iter().take(REQUEST_LIST_MAX).map(|(key, started)| RunningRequest {
            account: key.account,
            request: key.id,
            age_ms: u64::try_from(now.since(started).as_millis()).unwrap_or(u64::MAX),
        });
    Ok(RequestList { router, in_progress, requests: requests.collect() })
}

fn view_controller(status: &ControllerStatus) -> Option<ControllerView> {
    let rollouts = &status.rollouts;
    let progress = rollouts.progress.iter().map(|it| {
        let RolloutProgress { target, ready, total } = it;
        format!("{} {}: {ready} of {total} endpoints serve it", target.model, target.version)
    });
    let leftovers = rollouts
        .leftovers
        .iter()
        .map(|it| format!("{} {} on endpoint {}", it.target.model, it.target.version, it.endpoint));
    Some(ControllerView {
        fencing: status.fencing?,
        progress: progress.collect(),
        halted: rollouts.halts.iter().map(ToString::to_string).collect(),
        leftovers: leftovers.collect(),
    })
}

fn view_router(member: &Member) -> RouterView {
    let state = match member.state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    };
    RouterView {
        name: member.id.name.clone(),
        failure_domain: member.failure_domain.clone(),
        address: member.caller_address,
        state: state.to_owned(),
        load: member.load,
        config_version: member.config_version,
    }
}

fn view_crashing(record: &CrashRecord) -> CrashingContent {
    CrashingContent {
        fingerprint: record.fingerprint.to_string(),
        endpoints: record.endpoints.iter().cloned().collect(),
    }
}

fn view_endpoint(
    cfg: &Config,
    name: &EndpointName,
    status: Option<&EndpointStatus>,
) -> Option<EndpointView> {
    let endpoint = cfg.endpoints.get(name)?;
    let models = cfg.models.iter().filter(|(_, model)| model.endpoints.contains(name));
    let services = cfg.services.iter().filter(|(_, service)| service.endpoints.contains(name));
    let models = models.map(|(model, _)| model.to_string());
    let serves = models.chain(services.map(|(service, _)| service.to_string())).collect();
    Some(EndpointView {
        name: name.clone(),
        address: endpoint.address,
        failure_domain: endpoint.failure_domain.clone(),
        leaving: endpoint.leaving,
        checks_fencing: endpoint.checks_fencing,
        state: status.map(|it| it.state.label().to_owned()),
        requests: status.map_or(0, |it| it.requests),
        serves,
    })
}

/// Returns the view of a budget row; `None` if its key does not name an account.
fn view_budget(row: &Row) -> Option<Result<BudgetView, AdminError>> {
    let account = AccountName::new(row.key.as_str().strip_prefix(BUDGET_PREFIX)?).ok()?;
    let budget: BudgetRow = match row.decode() {
        Ok(budget) => budget,
        Err(error) => return Some(Err(corrupt_row_error(error).into())),
    };
    Some(Ok(BudgetView {
        account,
        deposited: budget.deposited,
        settled: budget.settled,
        granted: budget.granted,
        available: budget.available(),
    }))
}
