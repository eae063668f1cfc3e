//! Intents: the changes that operators request.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_with::{MapPreventDuplicates, SetPreventDuplicates, serde_as};
use types::{AccountName, ActionName, EndpointName, ModelName, OperatorName, ServiceName};

use crate::{
    Account, Action, Change, Deposit, Endpoint, KeyHash, Model, Operator, Resolution, Service,
};

/// Maximum size of an intent, in bytes of its JSON form.
pub const INTENT_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The changes that an operator requests. [`Plan::new`](crate::Plan::new) makes a plan from it.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Intent {
    /// Entries to add, or to replace as a whole.
    pub set: SetIntent,
    /// Entries to remove.
    pub remove: RemoveIntent,
    /// Hashes of API keys to add to client accounts.
    #[serde_as(as = "MapPreventDuplicates<_, SetPreventDuplicates<_>>")]
    pub add_keys: BTreeMap<AccountName, BTreeSet<KeyHash>>,
    /// Hashes of API keys to remove from client accounts.
    #[serde_as(as = "MapPreventDuplicates<_, SetPreventDuplicates<_>>")]
    pub remove_keys: BTreeMap<AccountName, BTreeSet<KeyHash>>,
    /// Deposits to budgets.
    pub deposits: Vec<Deposit>,
    /// Resolutions of grants in doubt and of calls with unknown outcome.
    pub resolutions: Vec<Resolution>,
}

/// Entries to add, or to replace as a whole.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SetIntent {
    /// Client accounts.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub accounts: BTreeMap<AccountName, Account>,
    /// Models.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub models: BTreeMap<ModelName, Model>,
    /// Endpoints.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub endpoints: BTreeMap<EndpointName, Endpoint>,
    /// Plain services.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub services: BTreeMap<ServiceName, Service>,
    /// Actions.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub actions: BTreeMap<ActionName, Action>,
    /// Operators.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub operators: BTreeMap<OperatorName, Operator>,
    /// Content fingerprints to quarantine.
    #[serde_as(as = "SetPreventDuplicates<_>")]
    pub quarantine: BTreeSet<String>,
    /// Content fingerprints that routers must not quarantine.
    #[serde_as(as = "SetPreventDuplicates<_>")]
    pub quarantine_released: BTreeSet<String>,
}

/// Entries to remove.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RemoveIntent {
    /// Client accounts.
    #[serde_as(as = "SetPreventDuplicates<_>")]
    pub accounts: BTreeSet<AccountName>,
    /// Models.
    #[serde_as(as = "SetPreventDuplicates<_>")]
    pub models: BTreeSet<ModelName>,
    /// Endpoints.
    #[serde_as(as = "SetPreventDuplicates<_>")]
    pub endpoints: BTreeSet<EndpointName>,
    /// Plain services.
    #[serde_as(as = "SetPreventDuplicates<_>")]
    pub services: BTreeSet<ServiceName>,
    /// Actions.
    #[serde_as(as = "SetPreventDuplicates<_>")]
    pub actions: BTreeSet<ActionName>,
    /// Operators.
    #[serde_as(as = "SetPreventDuplicates<_>")]
    pub operators: BTreeSet<OperatorName>,
    /// Content fingerprints to remove from the operators' quarantine.
    #[serde_as(as = "SetPreventDuplicates<_>")]
    pub quarantine: BTreeSet<String>,
    /// Content fingerprints that routers may quarantine again.
    #[serde_as(as = "SetPreventDuplicates<_>")]
    pub quarantine_released: BTreeSet<String>,
}

impl Intent {
    /// Returns the intent that undoes `changes`.
    pub fn to_undo(changes: &[Change]) -> Intent {
        let mut intent = Intent::default();
        let (set, remove) = (&mut intent.set, &mut intent.remove);
        for change in changes {
            match change {
                Change::Account(it) => it.undo(&mut set.accounts, &mut remove.accounts),
                Change::Model(it) => it.undo(&mut set.models, &mut remove.models),
                Change::Endpoint(it) => it.undo(&mut set.endpoints, &mut remove.endpoints),
                Change::Service(it) => it.undo(&mut set.services, &mut remove.services),
                Change::Action(it) => it.undo(&mut set.actions, &mut remove.actions),
                Change::Operator(it) => it.undo(&mut set.operators, &mut remove.operators),
                Change::Quarantine(it) => it.undo(&mut set.quarantine, &mut remove.quarantine),
                Change::QuarantineReleased(it) => {
                    it.undo(&mut set.quarantine_released, &mut remove.quarantine_released);
                }
            }
        }
        intent
    }

    /// Returns whether the intent changes anything other than accounts, their keys, deposits
    /// and resolutions.
    pub fn changes_shared_entries(&self) -> bool {
        let (set, remove) = (&self.set, &self.remove);
        !(set.models.is_empty()
            && set.endpoints.is_empty()
            && set.services.is_empty()
            && set.actions.is_empty()
            && set.operators.is_empty()
            && set.quarantine.is_empty()
            && set.quarantine_released.is_empty()
            && remove.models.is_empty()
            && remove.endpoints.is_empty()
            && remove.services.is_empty()
            && remove.actions.is_empty()
            && remove.operators.is_empty()
            && remove.quarantine.is_empty()
            && remove.quarantine_released.is_empty())
    }

    /// Returns the client accounts that the intent affects; may contain duplicates.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountName> {
        let set = self.set.accounts.keys().chain(&self.remove.accounts);
        let keys = self.add_keys.keys().chain(self.remove_keys.keys());
        let deposits = self.deposits.iter().map(|deposit| &deposit.account);
        let resolutions = self.resolutions.iter().map(Resolution::account);
        set.chain(keys).chain(deposits).chain(resolutions)
    }
}
