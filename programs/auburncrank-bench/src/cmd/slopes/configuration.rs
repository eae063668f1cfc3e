//! Size, memory and processing time of the configuration against client accounts and endpoints.

use std::hint::black_box;

use config::{Account, Config, Endpoint, KeyHash, ModelAccess, diff_configs};
use cpu_time::ThreadTime;
use serde_json::json;
use types::{AccountName, ConfigVersion, EndpointName, ModelName, ModelVersion};
use utils::Digest;

use super::fit::Slope;
use crate::{cmd::StudyError, memory::AllocationMeter};

/// Numbers of client accounts, and of endpoints.
const SIZES: [u32; 4] = [1_000, 2_000, 4_000, 8_000];

/// Number of times that a change is applied; the processor time is the mean.
const CHANGE_REPEATS: u32 = 10;

/// Measured values of one configuration.
struct Measurement {
    /// Size of the whole configuration as JSON, in bytes.
    whole_bytes: f64,
    /// Size of the changes between two versions that differ in one entry, as JSON, in bytes.
    change_bytes: f64,
    /// Processor time to send or to apply one change, in microseconds.
    change_us: f64,
    /// Memory of the configuration, in bytes.
    memory: f64,
}

/// Measures size, memory and the time to apply a change.
pub(super) fn measure(_seed: u64) -> Result<Vec<Slope>, StudyError> {
    let mut slopes = fit_against("client accounts", |count| config(count, 0))?;
    slopes.extend(fit_against("endpoints", |count| config(0, count))?);
    Ok(slopes)
}

fn fit_against(
    variable: &'static str,
    create: impl Fn(u32) -> Config,
) -> Result<Vec<Slope>, StudyError> {
    let measurements: Vec<_> =
        SIZES.map(|size| (f64::from(size), measure_one(|| create(size)))).into();
    let points = |value: fn(&Measurement) -> f64| {
        measurements.iter().map(|(size, it)| (*size, value(it))).collect()
    };
    Ok(vec![
        Slope::fit("whole configuration, B", variable, points(|it| it.whole_bytes))?,
        Slope::fit("one change between routers, B", variable, points(|it| it.change_bytes))?,
        Slope::fit("processor time of one change, us", variable, points(|it| it.change_us))?,
        Slope::fit("memory of the configuration, B", variable, points(|it| it.memory))?,
    ])
}

fn measure_one(create: impl Fn() -> Config) -> Measurement {
    let meter = AllocationMeter::start();
    let before = create();
    let memory = meter.net_bytes();
    let mut after = before.clone();
    after.version = ConfigVersion(2);
    after.accounts.insert(account_name(0), account(1));
    let changes = diff_configs(&before, &after);
    let started = ThreadTime::now();
    for _ in 0..CHANGE_REPEATS {
        apply_as_router(&before, &after);
    }
    let change_us = started.elapsed().as_micros() as f64 / f64::from(CHANGE_REPEATS);
    let bytes = |json: serde_json::Result<Vec<u8>>| json.map_or(f64::NAN, |it| it.len() as f64);
    Measurement {
        whole_bytes: bytes(serde_json::to_vec(&after)),
        change_bytes: bytes(serde_json::to_vec(&changes)),
        change_us,
        memory,
    }
}

/// Does what a router does with a change: compares, copies, applies and computes the digest.
fn apply_as_router(before: &Config, after: &Config) {
    let changes = diff_configs(before, after);
    let mut cfg = before.clone();
    changes.iter().for_each(|change| change.apply(&mut cfg));
    let digest = serde_json::to_vec(&cfg).map(|json| Digest::from_content(&json));
    black_box(digest.is_ok());
}

fn config(accounts: u32, endpoints: u32) -> Config {
    let accounts = (0..accounts).map(|number| (account_name(number), account(number)));
    let endpoints = (0..endpoints).map(|number| {
        let name = EndpointName::new(&format!("endpoint-{number}")).expect("a valid name");
        (name, endpoint(number))
    });
    Config {
        version: ConfigVersion(1),
        accounts: accounts.collect(),
        endpoints: endpoints.collect(),
        ..Config::default()
    }
}

fn account_name(number: u32) -> AccountName {
    AccountName::new(&format!("account-{number}")).expect("a valid name")
}

fn account(number: u32) -> Account {
    let key = config::ApiKey::new(&format!("key-of-account-{number}"));
    let hash: KeyHash = key.hash();
    let model = ModelName::new("assessment").expect("a valid name");
    let versions = vec![ModelVersion::new("v1").expect("a valid name")];
    let access = json!({ "model": model, "versions": versions });
    let access: ModelAccess = serde_json::from_value(access).expect("a valid model access");
    Account { keys: vec![hash], models: [(model, access)].into(), ..Account::default() }
}

fn endpoint(number: u32) -> Endpoint {
    let [.., high, low] = number.to_be_bytes();
    let address = format!("10.1.{high}.{low}:8000");
    let domain = format!("domain-{}", number % 12);
    let endpoint = json!({ "address": address, "failure_domain": domain });
    serde_json::from_value(endpoint).expect("a valid endpoint")
}
