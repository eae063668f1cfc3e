//! Authentication and authorization of operators.

use config::{ApiKey, Config, Intent, KeyHash, Plan, Role};
use errors::{Error, ErrorKind, Result};
use types::{AccountName, OperatorName};

/// Operator name of calls that use the bootstrap key.
const BOOTSTRAP_NAME: &str = "bootstrap";

/// Operator who was authenticated by an API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AuthenticatedOperator {
    /// Name that the audit record shows.
    pub(super) name: OperatorName,
    /// Role that limits what the operator may change.
    pub(super) role: Role,
}

impl AuthenticatedOperator {
    /// Returns the operator that `key` belongs to. The bootstrap key is valid only while `cfg`
    /// has no operator and is the accepted configuration, as `is_accepted` indicates.
    ///
    /// # Errors
    /// `Unauthorized`, with the same message for a missing and an invalid key.
    pub(super) fn authenticate(
        cfg: &Config,
        is_accepted: bool,
        bootstrap: Option<&KeyHash>,
        key: Option<&ApiKey>,
    ) -> Result<AuthenticatedOperator> {
        let found = key.and_then(|key| cfg.find_operator(key));
        if let Some((name, operator)) = found {
            return Ok(AuthenticatedOperator { name: name.clone(), role: operator.role.clone() });
        }
        let is_bootstrap = match (bootstrap, key) {
            (Some(bootstrap), Some(key)) => bootstrap.matches(&key.hash()),
            _ => false,
        };
        if is_bootstrap && is_accepted && cfg.operators.is_empty() {
            let name = OperatorName::new(BOOTSTRAP_NAME).expect("the bootstrap name is valid");
            return Ok(AuthenticatedOperator { name, role: Role::Admin });
        }
        Err(Error::new(
            ErrorKind::Unauthorized,
            "missing or invalid operator key in the Authorization header",
        ))
    }

    /// Checks that the operator may create a plan from `intent`.
    ///
    /// # Errors
    /// `RoleMissing` if the operator's role does not permit it.
    pub(super) fn check_intent(&self, intent: &Intent) -> Result<()> {
        self.check(intent.changes_shared_entries(), intent.accounts())
    }

    /// Checks that the operator may confirm `plan`.
    ///
    /// # Errors
    /// `RoleMissing` if the operator's role does not permit it.
    pub(super) fn check_plan(&self, plan: &Plan) -> Result<()> {
        self.check(plan.changes_shared_entries(), plan.accounts())
    }

    /// Checks that the operator has the admin role.
    ///
    /// # Errors
    /// `RoleMissing` if the operator has another role.
    pub(super) fn check_admin(&self) -> Result<()> {
        if self.role == Role::Admin { Ok(()) } else { Err(role_missing()) }
    }

    fn check<'a>(
        &self,
        is_shared: bool,
        mut accounts: impl Iterator<Item = &'a AccountName>,
    ) -> Result<()> {
        let is_allowed = match &self.role {
            Role::Admin => true,
            Role::Read => false,
            Role::Accounts(own) => !is_shared && accounts.all(|account| own.contains(account)),
        };
        if is_allowed { Ok(()) } else { Err(role_missing()) }
    }
}

fn role_missing() -> Error {
    Error::new(ErrorKind::RoleMissing, "the operator's role does not permit this call")
}
