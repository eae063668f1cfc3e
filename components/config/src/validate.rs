//! Validation of a whole configuration.

use std::{collections::BTreeSet, time::Duration};

use types::{AccountName, EndpointName, ModelName};
use utils::HashMap;

use crate::{Account, Config, Fault, KeyHash, Model, ModelAccess, Role};

/// Maximum number of client accounts.
const ACCOUNTS_MAX: usize = 20_000;

/// Maximum number of models.
const MODELS_MAX: usize = 1_000;

/// Maximum number of endpoints.
const ENDPOINTS_MAX: usize = 50_000;

/// Maximum number of plain services.
const SERVICES_MAX: usize = 1_000;

/// Maximum number of actions.
const ACTIONS_MAX: usize = 10_000;

/// Maximum number of operators.
const OPERATORS_MAX: usize = 1_000;

/// Maximum number of content fingerprints in quarantine.
const QUARANTINE_MAX: usize = 10_000;

/// Maximum number of API keys of one client account.
const ACCOUNT_KEYS_MAX: usize = 100;

/// Maximum weight of a client account.
const WEIGHT_MAX: u32 = 1_000;

/// Maximum timeout of one attempt of an action, and maximum wait for reserved tokens.
const TIMEOUT_MAX: Duration = Duration::from_secs(3_600);

/// Number of hexadecimal digits of a content fingerprint.
const FINGERPRINT_DIGITS: usize = 64;

impl Config {
    /// Validates the whole configuration and returns all faults, ordered by path.
    pub fn validate(&self) -> Vec<Fault> {
        let mut faults = Faults::default();
        self.check_sizes(&mut faults);
        self.check_keys(&mut faults);
        for (name, account) in &self.accounts {
            self.check_account(name, account, &mut faults);
        }
        for (name, model) in &self.models {
            self.check_model(name, model, &mut faults);
        }
        self.check_endpoints(&mut faults);
        self.check_services(&mut faults);
        self.check_operators(&mut faults);
        self.check_fingerprints(&mut faults);
        faults.0.sort();
        faults.0
    }

    fn check_sizes(&self, faults: &mut Faults) {
        let sizes = [
            ("accounts", self.accounts.len(), ACCOUNTS_MAX),
            ("models", self.models.len(), MODELS_MAX),
            ("endpoints", self.endpoints.len(), ENDPOINTS_MAX),
            ("services", self.services.len(), SERVICES_MAX),
            ("actions", self.actions.len(), ACTIONS_MAX),
            ("operators", self.operators.len(), OPERATORS_MAX),
            ("quarantine", self.quarantine.len(), QUARANTINE_MAX),
            ("quarantine_released", self.quarantine_released.len(), QUARANTINE_MAX),
        ];
        for (path, size, max) in sizes {
            if size > max {
                faults.push(path.to_owned(), format!("{size} entries; at most {max} are allowed"));
            }
        }
    }

    fn check_fingerprints(&self, faults: &mut Faults) {
        let lists =
            [("quarantine", &self.quarantine), ("quarantine_released", &self.quarantine_released)];
        for (path, list) in lists {
            for fingerprint in list.iter().filter(|it| !is_fingerprint(it)) {
                let message = "expected 64 lower-case hexadecimal digits";
                faults.push(format!("{path}.{fingerprint}"), message);
            }
        }
        for fingerprint in self.quarantine.intersection(&self.quarantine_released) {
            let message = "it is both quarantined and released; remove one of the two entries";
            faults.push(format!("quarantine_released.{fingerprint}"), message);
        }
    }

    /// Checks that each key belongs to one account or operator only, so that a key
    /// identifies its owner.
    fn check_keys(&self, faults: &mut Faults) {
        let mut owners: HashMap<KeyHash, String> = HashMap::default();
        let account_keys = self.accounts.iter().flat_map(|(name, account)| {
            let path = move |index| format!("accounts.{name}.keys[{index}]");
            account.keys.iter().enumerate().map(move |(index, key)| (*key, path(index)))
        });
        let operator_keys = self.operators.iter();
        let operator_keys =
            operator_keys.map(|(name, operator)| (operator.key, format!("operators.{name}.key")));
        for (key, path) in account_keys.chain(operator_keys) {
            if let Some(owner) = owners.insert(key, path.clone()) {
                faults.push(path, format!("the same key as {owner}; each needs its own"));
            }
        }
    }

    fn check_account(&self, name: &AccountName, account: &Account, faults: &mut Faults) {
        let path = format!("accounts.{name}");
        if account.keys.len() > ACCOUNT_KEYS_MAX {
            let message = format!("{} keys; at most {ACCOUNT_KEYS_MAX}", account.keys.len());
            faults.push(format!("{path}.keys"), message);
        }
        if account.weight > WEIGHT_MAX {
            faults.push(format!("{path}.weight"), format!("at most {WEIGHT_MAX}"));
        }
        if account.shortage.max_wait > TIMEOUT_MAX {
            faults.push(format!("{path}.shortage.max_wait_ms"), "at most one hour (3600000)");
        }
        for (alias, access) in &account.models {
            self.check_access(&format!("{path}.models.{alias}"), access, faults);
        }
        for action in account.actions.iter().filter(|it| !self.actions.contains_key(*it)) {
            faults.push(format!("{path}.actions.{action}"), "there is no such action");
        }
    }

    fn check_access(&self, path: &str, access: &ModelAccess, faults: &mut Faults) {
        let Some(model) = self.models.get(&access.model) else {
            let message = format!("there is no model {}", access.model);
            return faults.push(format!("{path}.model"), message);
        };
        if access.versions.is_empty() {
            faults.push(format!("{path}.versions"), "name at least one version");
        }
        let mut seen = BTreeSet::new();
        for (index, version) in access.versions.iter().enumerate() {
            let path = format!("{path}.versions[{index}]");
            if !model.versions.contains(version) {
                faults.push(path, format!("model {} has no version {version}", access.model));
            } else if !seen.insert(version) {
                faults.push(path, format!("version {version} is named twice"));
            }
        }
        if let Some(adapter) = access.adapter.as_ref().filter(|it| !model.adapters.contains(*it)) {
            let message = format!("model {} has no adapter {adapter}", access.model);
            faults.push(format!("{path}.adapter"), message);
        }
    }

    fn check_model(&self, name: &ModelName, model: &Model, faults: &mut Faults) {
        let path = format!("models.{name}");
        if model.versions.is_empty() {
            faults.push(format!("{path}.versions"), "name at least one version");
        }
        if model.context_tokens == 0 {
            faults.push(format!("{path}.context_tokens"), "expected at least 1");
        }
        self.check_endpoint_names(&path, &model.endpoints, faults);
    }

    fn check_endpoint_names(
        &self,
        path: &str,
        endpoints: &BTreeSet<EndpointName>,
        faults: &mut Faults,
    ) {
        for endpoint in endpoints.iter().filter(|it| !self.endpoints.contains_key(*it)) {
            faults.push(format!("{path}.endpoints.{endpoint}"), "there is no such endpoint");
        }
    }

    fn check_endpoints(&self, faults: &mut Faults) {
        let mut owners = HashMap::default();
        for (name, endpoint) in &self.endpoints {
            let path = format!("endpoints.{name}.address");
            if endpoint.address.port() == 0 || endpoint.address.ip().is_unspecified() {
                faults.push(path, format!("{} cannot be connected to", endpoint.address));
            } else if let Some(owner) = owners.insert(endpoint.address, name) {
                faults.push(path, format!("the same address as endpoint {owner}"));
            }
        }
    }

    fn check_services(&self, faults: &mut Faults) {
        for (name, service) in &self.services {
            let path = format!("services.{name}");
            self.check_endpoint_names(&path, &service.endpoints, faults);
            for endpoint in &service.endpoints {
                if self.models.values().any(|model| model.endpoints.contains(endpoint)) {
                    let message = "it serves models; an endpoint serves models or one service";
                    faults.push(format!("{path}.endpoints.{endpoint}"), message);
                }
            }
        }
        for (name, action) in &self.actions {
            let path = format!("actions.{name}");
            if !self.services.contains_key(&action.service) {
                let message = format!("there is no service {}", action.service);
                faults.push(format!("{path}.service"), message);
            }
            let is_visible = action.path.bytes().all(|byte| byte.is_ascii_graphic());
            if !action.path.starts_with('/') || !is_visible {
                let message = "expected a path that starts with '/', without spaces";
                faults.push(format!("{path}.path"), message);
            }
            if action.timeout.is_zero() || action.timeout > TIMEOUT_MAX {
                faults.push(format!("{path}.timeout_ms"), "expected 1 to 3600000 (one hour)");
            }
        }
    }

    fn check_operators(&self, faults: &mut Faults) {
        for (name, operator) in &self.operators {
            if matches!(&operator.role, Role::Accounts(accounts) if accounts.is_empty()) {
                faults.push(format!("operators.{name}.role.accounts"), "name at least one account");
            }
        }
        let has_admin = self.operators.values().any(|operator| operator.role == Role::Admin);
        if !self.operators.is_empty() && !has_admin {
            let message = "at least one operator needs the role admin; add one in the same intent";
            faults.push("operators".to_owned(), message);
        }
    }
}

fn is_fingerprint(text: &str) -> bool {
    let is_digit = |byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    text.len() == FINGERPRINT_DIGITS && text.bytes().all(is_digit)
}

/// The faults found so far.
#[derive(Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn push(&mut self, path: String, message: impl Into<String>) {
        self.0.push(Fault::new(path, message));
    }
}
