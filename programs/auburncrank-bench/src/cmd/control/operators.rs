//! Simulated operators.

use std::sync::Arc;

use config::{Account, Config, Intent, Plan};
use errors::ErrorKind;
use platform::Table;
use router::{
    admin::{AdminError, BusyEndpoints, NoResolver, confirm_plan, make_plan},
    configuration::read_config,
};
use tokio::time::Instant;
use types::{AccountName, ConfigVersion, OperatorName};

/// Most times that an operator's tool repeats a call.
const TRIES_MAX: u32 = 50;

/// A change that was accepted.
#[derive(Debug, Clone)]
pub(super) struct AcceptedChange {
    /// Version that it led to.
    pub(super) version: ConfigVersion,
    /// When it was accepted.
    pub(super) at: Instant,
    /// Account that it set.
    pub(super) account: AccountName,
    /// Weight that it gave the account.
    pub(super) weight: u32,
    /// The configuration with it.
    pub(super) cfg: Arc<Config>,
}

/// Makes the plan that gives an account a weight.
pub(super) async fn plan_weight(
    table: &dyn Table,
    account: &AccountName,
    weight: u32,
) -> Option<Plan> {
    let mut intent = Intent::default();
    intent.set.accounts.insert(account.clone(), Account { weight, ..Account::default() });
    for _ in 0..TRIES_MAX {
        let Ok(base) = read_config(table, &Arc::default()).await else { continue };
        let made = make_plan(table, &BusyEndpoints::new(), &base.cfg, &intent, &operator()).await;
        if let Ok(plan) = made {
            return Some(plan);
        }
    }
    None
}

/// Confirms a plan as the tool does, again where the answer asks for it; `None` where
/// the plan is stale.
pub(super) async fn confirm_weight(
    table: &dyn Table,
    plan: &Plan,
    account: &AccountName,
    weight: u32,
) -> Option<AcceptedChange> {
    for _ in 0..TRIES_MAX {
        let known = Arc::default();
        match confirm_plan(table, &NoResolver, &known, &plan.id, &operator()).await {
            Ok(accepted) => {
                let (version, at) = (accepted.version, Instant::now());
                let account = account.clone();
                let cfg = accepted.cfg;
                return Some(AcceptedChange { version, at, account, weight, cfg });
            }
            Err(error) if may_repeat(&error) => {}
            Err(_) => return None,
        }
    }
    None
}

fn may_repeat(error: &AdminError) -> bool {
    matches!(error.error.kind(), ErrorKind::StoreUnavailable | ErrorKind::OutcomeUnknown)
}

fn operator() -> OperatorName {
    OperatorName::new("ada").expect("a name")
}
