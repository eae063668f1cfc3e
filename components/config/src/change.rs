//! Changes of a configuration, entry by entry.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Debug,
};

use serde::{Deserialize, Serialize};
use types::{AccountName, ActionName, EndpointName, ModelName, OperatorName, ServiceName};

use crate::{Account, Action, Config, Endpoint, Model, Operator, Service};

/// Change of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryChange<N, V> {
    /// Name of the entry.
    pub name: N,
    /// Value before; absent where the entry is added.
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    pub before: Option<V>,
    /// Value after; absent where the entry is removed.
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    pub after: Option<V>,
}

/// Change of a list of content fingerprints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FingerprintChange {
    /// Content fingerprint.
    pub fingerprint: String,
    /// Whether it is on the list afterwards.
    pub listed: bool,
}

/// Change of one entry of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// A client account.
    Account(EntryChange<AccountName, Account>),
    /// A model.
    Model(EntryChange<ModelName, Model>),
    /// An endpoint.
    Endpoint(EntryChange<EndpointName, Endpoint>),
    /// A plain service.
    Service(EntryChange<ServiceName, Service>),
    /// An action.
    Action(EntryChange<ActionName, Action>),
    /// An operator.
    Operator(EntryChange<OperatorName, Operator>),
    /// A content fingerprint that operators have quarantined.
    Quarantine(FingerprintChange),
    /// A content fingerprint that operators have released.
    QuarantineReleased(FingerprintChange),
}

impl Change {
    /// Returns the kind of the entry, in words.
    pub fn kind(&self) -> &'static str {
        match self {
            Change::Account(_) => "account",
            Change::Model(_) => "model",
            Change::Endpoint(_) => "endpoint",
            Change::Service(_) => "service",
            Change::Action(_) => "action",
            Change::Operator(_) => "operator",
            Change::Quarantine(_) => "quarantine",
            Change::QuarantineReleased(_) => "quarantine_released",
        }
    }

    /// Returns the name of the entry.
    pub fn name(&self) -> &str {
        match self {
            Change::Account(it) => it.name.as_str(),
            Change::Model(it) => it.name.as_str(),
            Change::Endpoint(it) => it.name.as_str(),
            Change::Service(it) => it.name.as_str(),
            Change::Action(it) => it.name.as_str(),
            Change::Operator(it) => it.name.as_str(),
            Change::Quarantine(it) | Change::QuarantineReleased(it) => &it.fingerprint,
        }
    }

    /// Applies the change to `cfg`, whatever the entry is before.
    pub fn apply(&self, cfg: &mut Config) {
        match self {
            Change::Account(it) => it.apply(&mut cfg.accounts),
            Change::Model(it) => it.apply(&mut cfg.models),
            Change::Endpoint(it) => it.apply(&mut cfg.endpoints),
            Change::Service(it) => it.apply(&mut cfg.services),
            Change::Action(it) => it.apply(&mut cfg.actions),
            Change::Operator(it) => it.apply(&mut cfg.operators),
            Change::Quarantine(it) => it.apply(&mut cfg.quarantine),
            Change::QuarantineReleased(it) => it.apply(&mut cfg.quarantine_released),
        }
    }

    /// Returns the change that takes this one back.
    pub fn reverse(&self) -> Change {
        match self {
            Change::Account(it) => Change::Account(it.reverse()),
            Change::Model(it) => Change::Model(it.reverse()),
            Change::Endpoint(it) => Change::Endpoint(it.reverse()),
            Change::Service(it) => Change::Service(it.reverse()),
            Change::Action(it) => Change::Action(it.reverse()),
            Change::Operator(it) => Change::Operator(it.reverse()),
            Change::Quarantine(it) => Change::Quarantine(it.reverse()),
            Change::QuarantineReleased(it) => Change::QuarantineReleased(it.reverse()),
        }
    }

    /// Tells whether the entry in `cfg` is as it is after the change.
    pub fn is_applied(&self, cfg: &Config) -> bool {
        self.reverse().fits(cfg)
    }

    /// Tells whether the entry in `cfg` is as it was before the change.
    pub fn fits(&self, cfg: &Config) -> bool {
        match self {
            Change::Account(it) => it.fits(&cfg.accounts),
            Change::Model(it) => it.fits(&cfg.models),
            Change::Endpoint(it) => it.fits(&cfg.endpoints),
            Change::Service(it) => it.fits(&cfg.services),
            Change::Action(it) => it.fits(&cfg.actions),
            Change::Operator(it) => it.fits(&cfg.operators),
            Change::Quarantine(it) => it.fits(&cfg.quarantine),
            Change::QuarantineReleased(it) => it.fits(&cfg.quarantine_released),
        }
    }
}

/// Combines the changes of successive versions, so that each entry has at most one.
pub fn combine_changes<'a>(changes: impl IntoIterator<Item = &'a Change>) -> Vec<Change> {
    let (mut before, mut after) = (Config::default(), Config::default());
    let mut seen = BTreeSet::new();
    for change in changes {
        if seen.insert((change.kind(), change.name())) {
            change.reverse().apply(&mut before);
        }
        change.apply(&mut after);
    }
    diff_configs(&before, &after)
}

impl FingerprintChange {
    /// Adds what takes the change back.
    pub(crate) fn undo(&self, set: &mut BTreeSet<String>, remove: &mut BTreeSet<String>) {
        let undone = if self.listed { remove } else { set };
        undone.insert(self.fingerprint.clone());
    }

    fn apply(&self, list: &mut BTreeSet<String>) {
        if self.listed {
            list.insert(self.fingerprint.clone());
        } else {
            list.remove(&self.fingerprint);
        }
    }

    fn reverse(&self) -> FingerprintChange {
        FingerprintChange { fingerprint: self.fingerprint.clone(), listed: !self.listed }
    }

    fn fits(&self, list: &BTreeSet<String>) -> bool {
        list.contains(&self.fingerprint) != self.listed
    }
}

impl<N: Ord + Clone, V: Clone + PartialEq> EntryChange<N, V> {
    /// Adds what takes the change back.
    pub(crate) fn undo(&self, set: &mut BTreeMap<N, V>, remove: &mut BTreeSet<N>) {
        match &self.before {
            Some(value) => {
                set.insert(self.name.clone(), value.clone());
            }
            None => {
                remove.insert(self.name.clone());
            }
        }
    }

    fn reverse(&self) -> EntryChange<N, V> {
        EntryChange {
            name: self.name.clone(),
            before: self.after.clone(),
            after: self.before.clone(),
        }
    }

    fn apply(&self, entries: &mut BTreeMap<N, V>) {
        match &self.after {
            Some(value) => {
                entries.insert(self.name.clone(), value.clone());
            }
            None => {
                entries.remove(&self.name);
            }
        }
    }

    fn fits(&self, entries: &BTreeMap<N, V>) -> bool {
        entries.get(&self.name) == self.before.as_ref()
    }
}

/// Returns the changes that lead from `before` to `after`, in the order of kinds and
/// names.
pub fn diff_configs(before: &Config, after: &Config) -> Vec<Change> {
    // Named one by one, so that no new field is forgotten here.
    let Config {
        version: _,
        accounts,
        models,
        endpoints,
        services,
        actions,
        operators,
        quarantine,
        quarantine_released,
    } = after;
    let mut changes = Vec::new();
    changes.extend(diff_entries(&before.accounts, accounts).map(Change::Account));
    changes.extend(diff_entries(&before.models, models).map(Change::Model));
    changes.extend(diff_entries(&before.endpoints, endpoints).map(Change::Endpoint));
    changes.extend(diff_entries(&before.services, services).map(Change::Service));
    changes.extend(diff_entries(&before.actions, actions).map(Change::Action));
    changes.extend(diff_entries(&before.operators, operators).map(Change::Operator));
    let quarantined = diff_fingerprints(&before.quarantine, quarantine);
    changes.extend(quarantined.map(Change::Quarantine));
    let released = diff_fingerprints(&before.quarantine_released, quarantine_released);
    changes.extend(released.map(Change::QuarantineReleased));
    changes
}

fn diff_fingerprints<'a>(
    before: &'a BTreeSet<String>,
    after: &'a BTreeSet<String>,
) -> impl Iterator<Item = FingerprintChange> + 'a {
    before.symmetric_difference(after).map(|fingerprint| FingerprintChange {
        fingerprint: fingerprint.clone(),
        listed: after.contains(fingerprint),
    })
}

fn diff_entries<'a, N, V>(
    before: &'a BTreeMap<N, V>,
    after: &'a BTreeMap<N, V>,
) -> impl Iterator<Item = EntryChange<N, V>> + 'a
where
    N: Ord + Clone + Debug,
    V: Clone + PartialEq,
{
    let removed = before.keys().filter(|name| !after.contains_key(name));
    let changed = after.iter().filter(|(name, value)| before.get(name) != Some(value));
    removed.chain(changed.map(|(name, _)| name)).map(|name| EntryChange {
        name: name.clone(),
        before: before.get(name).cloned(),
        after: after.get(name).cloned(),
    })
}
