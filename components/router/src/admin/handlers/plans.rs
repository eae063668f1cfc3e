//! Plans: creation, confirmation and undo.

use admin_api::{Confirmation, PlanStatus, PlanView};
use config::{Fault, INTENT_MAX_BYTES, Intent, Plan, PlanState, redact_key_hashes};
use errors::{Error, ErrorKind};
use types::{ConfigVersion, OperatorName, PlanId, UnixMillis};
use viz::Request;

use super::params::path_param;
use crate::{
    HttpLimits,
    admin::{
        AdminError, BusyEndpoints, confirm_plan,
        context::{AdminCall, AdminContext},
        make_plan, make_undo_plan,
        plan_rows::read_plan,
    },
};

/// Serves `POST /admin/v1/plans`.
pub(in crate::admin) async fn post_plan(
    cx: AdminContext,
    call: AdminCall,
    mut req: Request,
) -> Result<PlanView, AdminError> {
    let body = cx.bodies.read_up_to(&mut req, HttpLimits::default().body_max_bytes).await?;
    if body.bytes().len() > INTENT_MAX_BYTES {
        let message =
            format!("the intent is larger than {INTENT_MAX_BYTES} bytes; split it into several");
        return Err(AdminError::new(ErrorKind::BodyTooLarge, message));
    }
    let intent = Intent::from_json(body.bytes())?;
    call.operator.check_intent(&intent)?;
    call.store?;
    let router = &cx.router;
    let name = &call.operator.name;
    check_resolutions(&cx, &intent, name).await?;
    let plan = make_plan(&*router.table, &busy_endpoints(&cx), &call.cfg, &intent, name).await?;
    Ok(view_plan(&plan, &PlanState::Open))
}

/// Serves `POST /admin/v1/versions/VERSION/undo`.
pub(in crate::admin) async fn post_undo(
    cx: AdminContext,
    call: AdminCall,
    req: Request,
) -> Result<PlanView, AdminError> {
    call.operator.check_admin()?;
    call.store?;
    let version = ConfigVersion(path_param(&req, "version")?);
    let router = &cx.router;
    let name = &call.operator.name;
    let plan =
        make_undo_plan(&*router.table, &busy_endpoints(&cx), &call.cfg, version, name).await?;
    Ok(view_plan(&plan, &PlanState::Open))
}

/// Serves `GET /admin/v1/plans/PLAN`.
pub(in crate::admin) async fn get_plan(
    cx: AdminContext,
    _call: AdminCall,
    req: Request,
) -> Result<PlanView, AdminError> {
    let id: PlanId = path_param(&req, "plan")?;
    let (row, _) = read_plan(&*cx.router.table, &id).await?;
    Ok(view_plan(&row.plan, &row.state))
}

/// Serves `POST /admin/v1/plans/PLAN/confirm`.
pub(in crate::admin) async fn post_confirm(
    cx: AdminContext,
    call: AdminCall,
    req: Request,
) -> Result<Confirmation, AdminError> {
    let id: PlanId = path_param(&req, "plan")?;
    call.store?;
    let (row, _) = read_plan(&*cx.router.table, &id).await?;
    call.operator.check_plan(&row.plan)?;
    // The call may be dropped with its connection; the confirmation continues in its own task.
    let name = call.operator.name.clone();
    let (router, resolver, cfg) = (cx.router, cx.resolver, call.cfg);
    let confirmed = tokio::spawn(async move {
        let accepted = confirm_plan(&*router.table, &*resolver, &cfg, &id, &name).await?;
        router.cfg.advance(accepted.cfg.clone());
        log::info!(plan:% = id, operator:% = name, version:% = accepted.version; "plan confirmed");
        Ok(Confirmation {
            plan: id,
            version: accepted.version,
            confirmed_by: accepted.by,
            confirmed_at: accepted.at,
        })
    });
    confirmed.await.unwrap_or_else(|_| {
        let message = "the confirmation was interrupted; confirm the plan again";
        Err(Error::new(ErrorKind::Internal, message).into())
    })
}

/// Checks that the resolutions of `intent` can be applied to the current rows.
async fn check_resolutions(
    cx: &AdminContext,
    intent: &Intent,
    operator: &OperatorName,
) -> Result<(), AdminError> {
    let mut faults = Vec::new();
    for (index, resolution) in intent.resolutions.iter().enumerate() {
        match cx.resolver.prepare(resolution, operator).await {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::InvalidConfig => {
                faults.push(Fault::new(format!("resolutions[{index}]"), error.message()));
            }
            Err(error) => return Err(error.into()),
        }
    }
    if faults.is_empty() { Ok(()) } else { Err(faults.into()) }
}

/// Returns this router's estimate of the requests in progress on each endpoint, from all
/// routers.
fn busy_endpoints(cx: &AdminContext) -> BusyEndpoints {
    let status = cx.router.dispatcher.status();
    status.endpoints.iter().map(|it| (it.name.clone(), it.requests)).collect()
}

fn view_plan(plan: &Plan, state: &PlanState) -> PlanView {
    let (status, version) = match state {
        PlanState::Confirmed { version, .. } => (PlanStatus::Confirmed, Some(*version)),
        PlanState::Expired => (PlanStatus::Expired, None),
        PlanState::Open if plan.is_expired(UnixMillis::now()) => (PlanStatus::Expired, None),
        PlanState::Open => (PlanStatus::Open, None),
    };
    let mut changes = serde_json::to_value(&plan.changes).unwrap_or_default();
    redact_key_hashes(&mut changes);
    PlanView {
        plan: plan.id.clone(),
        status,
        base: plan.base,
        version,
        made_by: plan.made_by.clone(),
        made_at: plan.made_at,
        expires_at: plan.expires_at,
        words: plan.words.clone(),
        cautions: plan.cautions.clone(),
        changes,
        deposits: plan.deposits.clone(),
        resolutions: plan.resolutions.clone(),
    }
}
