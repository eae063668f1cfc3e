//! Changes to a configuration, by entry.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Debug,
};

use serde::{Deserialize, Serialize};
use types::{AccountName, ActionName, EndpointName, ModelName, OperatorName, ServiceName};

use crate::{Account, Action, Config, Endpoint, Model, Operator, Service};

/// Change of one named entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryChange<N, V> {
    /// Name of the entry.
    pub name: N,
    /// Value before; absent if the entry is added.
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    pub before: Option<V>,
    /// Value after; absent if the entry is removed.
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    pub after: Option<V>,
}

/// Addition of a content fingerprint to a list, or its removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FingerprintChange {
    /// Content fingerprint, as hexadecimal digits.
    pub fingerprint: String,
    /// Whether the fingerprint is on the list after the change.
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
    /// Returns the kind of the entry, as it is written in descriptions.
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

    /// Returns the name of the entry, or the fingerprint.
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

    /// Applies the change to `cfg` without checking the current value of the entry.
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

    /// Returns the change that undoes this one.
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

    /// Returns whether the entry in `cfg` has the value after the change.
    pub fn is_applied(&self, cfg: &Config) -> bool {
        self.reverse().matches_before(cfg)
    }

    /// Returns whether the entry in `cfg` has the value before the change.
    pub fn matches_before(&self, cfg: &Config) -> bool {
        match self {
            Change::Account(it) => it.matches_before(&cfg.accounts),
            Change::Model(it) => it.matches_before(&cfg.models),
            Change::Endpoint(it) => it.matches_before(&cfg.endpoints),
            Change::Service(it) => it.matches_before(&cfg.services),
            Change::Action(it) => it.matches_before(&cfg.actions),
            Change::Operator(it) => it.matches_before(&cfg.operators),
            Change::Quarantine(it) => it.matches_before(&cfg.quarantine),
            Change::QuarantineReleased(it) => it.matches_before(&cfg.quarantine_released),
        }
    }
}

/// Combines the changes of successive versions into at most one change for each entry.
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
    /// Adds the entry that undoes the change to `set` or `remove` of an intent.
    pub(crate) fn undo(&self, set: &mut BTreeSet<String>, remove: &mut BTreeSet<String>) {
        let target = if self.listed { remove } else { set };
        target.insert(self.fingerprint.clone());
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

    fn matches_before(&self, list: &BTreeSet<String>) -> bool {
        list.contains(&self.fingerprint) != self.listed
    }
}

impl<N: Ord + Clone, V: Clone + PartialEq> EntryChange<N, V> {
    /// Adds the entry that undoes the change to `set` or `remove` of an intent.
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

    fn matches_before(&self, entries: &BTreeMap<N, V>) -> bool {
        entries.get(&self.name) == self.before.as_ref()
    }
}

/// Returns the changes that lead from `before` to `after`, ordered by kind. Within a kind,
/// removed entries come first and added or changed ones after them, each group ordered by
/// name; changes of fingerprints are ordered by fingerprint.
pub fn diff_configs(before: &Config, after: &Config) -> Vec<Change> {
    // Destructured without `..`, so that a new field does not compile until it is handled.
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
