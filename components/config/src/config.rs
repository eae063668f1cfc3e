//! The whole configuration.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use types::{
    AccountName, ActionName, ConfigVersion, EndpointName, ModelName, OperatorName, ServiceName,
};

use crate::{Account, Action, ApiKey, Endpoint, Model, Operator, Service};

/// Key of the table row that holds the accepted configuration.
pub const CONFIG_KEY: &str = "config/current";

/// The whole configuration, as accepted in one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Version, which increases by one with each accepted plan that changes the configuration.
    /// Zero before the first.
    pub version: ConfigVersion,
    /// Client accounts.
    pub accounts: BTreeMap<AccountName, Account>,
    /// Models.
    pub models: BTreeMap<ModelName, Model>,
    /// Endpoints, of models and of plain services.
    pub endpoints: BTreeMap<EndpointName, Endpoint>,
    /// Plain services.
    pub services: BTreeMap<ServiceName, Service>,
    /// Actions of plain services.
    pub actions: BTreeMap<ActionName, Action>,
    /// Operators.
    pub operators: BTreeMap<OperatorName, Operator>,
    /// Fingerprints of request contents, as hexadecimal digits, that operators have quarantined.
    pub quarantine: BTreeSet<String>,
    /// Fingerprints of request contents, as hexadecimal digits, that operators have released.
    /// Routers must not quarantine these contents, even if they observe crashes.
    pub quarantine_released: BTreeSet<String>,
}

impl Config {
    /// Finds the client account that `key` belongs to.
    pub fn find_account(&self, key: &ApiKey) -> Option<(&AccountName, &Account)> {
        let hash = key.hash();
        self.accounts.iter().find(|(_, account)| account.keys.iter().any(|it| it.matches(&hash)))
    }

    /// Finds the operator that `key` belongs to.
    pub fn find_operator(&self, key: &ApiKey) -> Option<(&OperatorName, &Operator)> {
        let hash = key.hash();
        self.operators.iter().find(|(_, operator)| operator.key.matches(&hash))
    }
}
