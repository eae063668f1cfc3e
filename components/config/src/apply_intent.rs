//! Application of intents to a configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
};

use crate::{Config, Fault, Intent};

/// Returns the configuration that results from `intent`, and the faults of the intent itself.
pub(crate) fn apply_intent(base: &Config, intent: &Intent) -> (Config, Vec<Fault>) {
    let (mut cfg, mut faults) = (base.clone(), Vec::new());
    let (set, remove) = (&intent.set, &intent.remove);
    apply_entries("accounts", &mut cfg.accounts, &set.accounts, &remove.accounts, &mut faults);
    apply_entries("models", &mut cfg.models, &set.models, &remove.models, &mut faults);
    apply_entries("endpoints", &mut cfg.endpoints, &set.endpoints, &remove.endpoints, &mut faults);
    apply_entries("services", &mut cfg.services, &set.services, &remove.services, &mut faults);
    apply_entries("actions", &mut cfg.actions, &set.actions, &remove.actions, &mut faults);
    apply_entries("operators", &mut cfg.operators, &set.operators, &remove.operators, &mut faults);
    let (listed, unlisted) = (&set.quarantine, &remove.quarantine);
    apply_fingerprints("quarantine", &mut cfg.quarantine, listed, unlisted, &mut faults);
    let (listed, unlisted) = (&set.quarantine_released, &remove.quarantine_released);
    apply_fingerprints(
        "quarantine_released",
        &mut cfg.quarantine_released,
        listed,
        unlisted,
        &mut faults,
    );
    apply_keys(&mut cfg, intent, &mut faults);
    (cfg, faults)
}

fn apply_entries<N: Ord + Clone + Display, V: Clone>(
    kind: &str,
    entries: &mut BTreeMap<N, V>,
    set: &BTreeMap<N, V>,
    remove: &BTreeSet<N>,
    faults: &mut Vec<Fault>,
) {
    for name in remove {
        let path = format!("remove.{kind}.{name}");
        if set.contains_key(name) {
            faults.push(Fault::new(path, "it is set and removed in the same intent"));
        } else if entries.remove(name).is_none() {
            faults.push(Fault::new(path, "there is no such entry"));
        }
    }
    entries.extend(set.iter().map(|(name, value)| (name.clone(), value.clone())));
}

fn apply_fingerprints(
    kind: &str,
    list: &mut BTreeSet<String>,
    set: &BTreeSet<String>,
    remove: &BTreeSet<String>,
    faults: &mut Vec<Fault>,
) {
    for fingerprint in remove {
        let path = format!("remove.{kind}.{fingerprint}");
        if set.contains(fingerprint) {
            faults.push(Fault::new(path, "it is set and removed in the same intent"));
        } else if !list.remove(fingerprint) {
            faults.push(Fault::new(path, "it is not on the list"));
        }
    }
    list.extend(set.iter().cloned());
}

fn apply_keys(cfg: &mut Config, intent: &Intent, faults: &mut Vec<Fault>) {
    for (name, keys) in &intent.add_keys {
        let Some(account) = cfg.accounts.get_mut(name) else {
            faults.push(Fault::new(format!("add_keys.{name}"), "there is no such account"));
            continue;
        };
        let known = account.keys.clone();
        account.keys.extend(keys.iter().filter(|key| !known.contains(key)));
    }
    for (name, keys) in &intent.remove_keys {
        let Some(account) = cfg.accounts.get_mut(name) else {
            faults.push(Fault::new(format!("remove_keys.{name}"), "there is no such account"));
            continue;
        };
        if keys.iter().any(|key| !account.keys.contains(key)) {
            let message = "the account has no such key; give the whole hash";
            faults.push(Fault::new(format!("remove_keys.{name}"), message));
        }
        account.keys.retain(|key| !keys.contains(key));
    }
}
