//! Tests the JSON sizes of a configuration and of a change for a fleet of the size that the design
//! targets.

#![allow(clippy::unwrap_used)]

use config::{Account, Config, Intent, Plan, PlanFacts};
use serde_json::json;
use types::{AccountName, OperatorName, PlanId, UnixMillis};

/// Numbers of client accounts, endpoints and models of the target fleet.
const TARGET_COUNTS: (usize, usize, usize) = (3_700, 4_800, 9);

fn target_config() -> Config {
    let (accounts, endpoints, models) = TARGET_COUNTS;
    let endpoint = |index: usize| {
        let address =
            format!("10.{}.{}.{}:8000", index / 62_500, index / 250 % 250, index % 250 + 1);
        let value = json!({ "address": address, "failure_domain": format!("domain-{}", index % 12),
            "checks_fencing": true });
        (format!("engine-{index}"), value)
    };
    let endpoints: serde_json::Map<_, _> = (0..endpoints).map(endpoint).collect();
    let names: Vec<_> = endpoints.keys().cloned().collect();
    let model = |index: usize| {
        let own: Vec<_> = names.iter().skip(index).step_by(models).collect();
        let value = json!({ "versions": ["v1", "v2"], "endpoints": own, "context_tokens": 8192 });
        (format!("model-{index}"), value)
    };
    let models: serde_json::Map<_, _> = (0..models).map(model).collect();
    let account = |index: usize| {
        let keys: Vec<_> = (0..2).map(|key| format!("{:064x}", index * 2 + key)).collect();
        let access = |alias: usize| {
            let name = format!("model-{}", (index + alias) % models.len());
            (format!("alias-{alias}"), json!({ "model": name, "versions": ["v2", "v1"] }))
        };
        let access: serde_json::Map<_, _> = (0..3).map(access).collect();
        (format!("account-{index}"), json!({ "keys": keys, "models": access, "weight": 1 }))
    };
    let accounts: serde_json::Map<_, _> = (0..accounts).map(account).collect();
    let value =
        json!({ "version": 7, "accounts": accounts, "models": models, "endpoints": endpoints });
    serde_json::from_value(value).unwrap()
}

#[test]
fn snapshot_fits_one_row_and_a_change_of_an_account_is_small() {
    let base = target_config();
    assert_eq!(base.validate(), Vec::new());
    let snapshot = serde_json::to_string(&base).unwrap();
    let mut intent = Intent::default();
    let name = AccountName::new("account-17").unwrap();
    let account = Account { weight: 3, ..base.accounts[&name].clone() };
    intent.set.accounts.insert(name, account);
    let plan = Plan::new(
        PlanId::new("p").unwrap(),
        &base,
        &intent,
        &PlanFacts::default(),
        OperatorName::new("ada").unwrap(),
        UnixMillis(0),
    );
    let changes = serde_json::to_string(&plan.unwrap().changes).unwrap();
    // A router reads this for each change. All control traffic of a router may use 27 KB per
    // second.
    assert!(changes.len() < 2_700, "{} bytes", changes.len());
    // Snapshots are read by 1,400 router starts and written 55 times per day, so a few
    // megabytes are acceptable.
    assert!(snapshot.len() < 4 * 1024 * 1024, "{} bytes", snapshot.len());
}
