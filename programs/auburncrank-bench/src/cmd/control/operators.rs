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

/// Largest number of attempts that an operator's tool makes for one call.
const CALL_ATTEMPTS_MAX: u32 = 50;

/// An accepted change of the configuration.
#[derive(Debug, Clone)]
pub(super) struct AcceptedChange {
    /// Version that contains the change.
    pub(super) version: ConfigVersion,
    /// Time of acceptance.
    pub(super) at: Instant,
    /// Account that was changed.
    pub(super) account: AccountName,
    /// New weight of the account.
    pub(super) weight: u32,
    /// Configuration of that version.
    pub(super) cfg: Arc<Config>,
}

/// Makes a plan that sets the weight of an account; returns `None` if all attempts failed.
pub(super) async fn plan_weight(
    table: &dyn Table,
    account: &AccountName,
    weight: u32,
) -> Option<Plan> {
    let mut intent = Intent::default();
    intent.set.accounts.insert(account.clone(), Account { weight, ..Account::default() });
    for _ in 0..CALL_ATTEMPTS_MAX {
        let Ok(base) = read_config(table, &Arc::default()).await else { continue };
        let made = make_plan(table, &BusyEndpoints::new(), &base.cfg, &intent, &operator()).await;
        if let Ok(plan) = made {
            return Some(plan);
        }
    }
    None
}

/// Confirms a plan as the operator's tool does, with retries where the error allows them. Returns
/// `None` if the plan is refused, for instance as stale, or if all attempts failed.
pub(super) async fn confirm_weight(
    table: &dyn Table,
    plan: &Plan,
    account: &AccountName,
    weight: u32,
) -> Option<AcceptedChange> {
    for _ in 0..CALL_ATTEMPTS_MAX {
        let known = Arc::default();
        match confirm_plan(table, &NoResolver, &known, &plan.id, &operator()).await {
            Ok(accepted) => {
                let (version, at) = (accepted.version, Instant::now());
                let account = account.clone();
                let cfg = accepted.cfg;
                return Some(AcceptedChange { version, at, account, weight, cfg });
            }
            Err(error) if is_retryable(&error) => {}
            Err(_) => return None,
        }
    }
    None
}

fn is_retryable(error: &AdminError) -> bool {
    matches!(error.error.kind(), ErrorKind::StoreUnavailable | ErrorKind::OutcomeUnknown)
}

fn operator() -> OperatorName {
    OperatorName::new("ada").expect("a valid name")
}
