//! Authentication of operators and their roles.

use config::{ApiKey, Config, Intent, KeyHash, Plan, Role};
use errors::{Error, ErrorKind, Result};
use types::{AccountName, OperatorName};

/// Name under which the holder of the bootstrap key acts.
const BOOTSTRAP_NAME: &str = "bootstrap";

/// An operator who made a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Caller {
    /// Name, for the audit record.
    pub(super) name: OperatorName,
    /// What the operator may do.
    pub(super) role: Role,
}

impl Caller {
    /// Finds the operator whose key was sent. The bootstrap key counts only while `cfg`
    /// has no operator and `is_accepted` says that it is the accepted configuration.
    ///
    /// # Errors
    /// `Unauthorized`, with the same message for a missing and for a wrong key.
    pub(super) fn authenticate(
        cfg: &Config,
        is_accepted: bool,
        bootstrap: Option<&KeyHash>,
        key: Option<&ApiKey>,
    ) -> Result<Caller> {
        let found = key.and_then(|key| cfg.find_operator(key));
        if let Some((name, operator)) = found {
            return Ok(Caller { name: name.clone(), role: operator.role.clone() });
        }
        let is_bootstrap = match (bootstrap, key) {
            (Some(bootstrap), Some(key)) => bootstrap.matches(&key.hash()),
            _ => false,
        };
        if is_bootstrap && is_accepted && cfg.operators.is_empty() {
            let name = OperatorName::new(BOOTSTRAP_NAME).expect("the name is sound");
            return Ok(Caller { name, role: Role::Admin });
        }
        Err(Error::new(ErrorKind::Unauthorized, "a valid operator's key is needed"))
    }

    /// Checks that the operator may make a plan of `intent`.
    ///
    /// # Errors
    /// `RoleMissing`.
    pub(super) fn check_intent(&self, intent: &Intent) -> Result<()> {
        self.check(intent.changes_shared_entries(), intent.accounts())
    }

    /// Checks that the operator may confirm `plan`.
    ///
    /// # Errors
    /// `RoleMissing`.
    pub(super) fn check_plan(&self, plan: &Plan) -> Result<()> {
        self.check(plan.changes_shared_entries(), plan.accounts())
    }

    /// Checks that the operator may do everything.
    ///
    /// # Errors
    /// `RoleMissing`.
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
    Error::new(ErrorKind::RoleMissing, "the operator's role does not allow this")
}
