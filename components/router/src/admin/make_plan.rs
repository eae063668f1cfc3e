//! Creates plans from intents.

use std::{collections::BTreeMap, sync::Arc};

use config::{Config, Fault, Intent, Plan, PlanFacts, PlanRow, PlanState};
use errors::ErrorKind;
use platform::{Commit, CommitOutcome, PlatformError, Precondition, Table, Write};
use rand::Rng as _;
use types::{ConfigVersion, EndpointName, OperatorName, PlanId, UnixMillis};

use super::{AdminError, plan_facts::gather_facts, plan_rows::plan_key};
use crate::configuration::{read_versions, store_error};

/// Known number of requests in progress by endpoint.
pub type BusyEndpoints = BTreeMap<EndpointName, u32>;

/// Creates the plan of `intent` against `base` and stores it in the table.
///
/// # Errors
/// `InvalidConfig` with all faults, or `StoreUnavailable`, which is also returned if the table's
/// answer was lost and the plan may have been stored. The configuration is not changed.
pub async fn make_plan(
    table: &dyn Table,
    busy: &BusyEndpoints,
    base: &Arc<Config>,
    intent: &Intent,
    operator: &OperatorName,
) -> Result<Plan, AdminError> {
    let facts = gather_facts(table, intent).await?;
    let facts = PlanFacts { busy_endpoints: busy.clone(), ..facts };
    let now = UnixMillis::now();
    let plan = Plan::new(new_plan_id(), base, intent, &facts, operator.clone(), now)?;
    store_plan(table, plan).await
}

/// Creates the plan that reverts the changes of `version`.
///
/// # Errors
/// Same as [`make_plan`]; `NotFound` if the version does not exist.
pub async fn make_undo_plan(
    table: &dyn Table,
    busy: &BusyEndpoints,
    base: &Arc<Config>,
    version: ConfigVersion,
    operator: &OperatorName,
) -> Result<Plan, AdminError> {
    let versions = read_versions(table, version, version).await?;
    let Some(row) = versions.into_iter().find(|row| row.version == version) else {
        return Err(AdminError::new(ErrorKind::NotFound, "no such version"));
    };
    let conflicting = row.changes.iter().filter(|change| !change.is_applied(base));
    let faults: Vec<_> = conflicting
        .map(|change| {
            let path = format!("{}.{}", change.kind(), change.name());
            Fault::new(path, "a later version changed this entry; undo the later change first")
        })
        .collect();
    if !faults.is_empty() {
        return Err(faults.into());
    }
    let intent = Intent::to_undo(&row.changes);
    make_plan(table, busy, base, &intent, operator).await
}

async fn store_plan(table: &dyn Table, plan: Plan) -> Result<Plan, AdminError> {
    let key = plan_key(&plan.id);
    let row = PlanRow { state: PlanState::Open, plan };
    let commit = Commit {
        preconditions: vec![Precondition::Absent(key.clone())],
        writes: vec![Write::put(key, &row)],
    };
    match table.commit(&commit).await {
        CommitOutcome::Committed(_) => Ok(row.plan),
        CommitOutcome::NotApplied(error) => Err(store_error(error).into()),
        CommitOutcome::Conflict(_) => Err(store_error(PlatformError::Unavailable).into()),
        CommitOutcome::Unknown => {
            let message =
                "the plan may not have been stored; create it again (nothing was changed)";
            Err(AdminError::new(ErrorKind::StoreUnavailable, message))
        }
    }
}

fn new_plan_id() -> PlanId {
    let number: u64 = utils::new_rng().random();
    PlanId::new(&format!("plan-{number:016x}"))
        .expect("a prefix and hexadecimal digits are a valid name")
}
