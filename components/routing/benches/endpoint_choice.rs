//! Benchmark of endpoint selection for different numbers of endpoints.

use std::{collections::BTreeSet, hint::black_box, time::Duration};

use config::{Config, Endpoint, Model};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use engine_api::{LoadReport, LoadState, LoadedModel};
use routing::{AttemptOutcome, Decision, EndpointNeed, Scheduler, SchedulerSettings, Target};
use types::{
    AccountName, EndpointName, FailureDomain, ModelName, ModelVersion, Priority, RouterName,
    Timestamp,
};
use utils::{Digest, seeded_rng};

/// Pool sizes to measure, in endpoints.
const ENDPOINTS: [usize; 3] = [100, 1_000, 4_800];

/// Requests per endpoint in progress before the measurement starts.
const REQUESTS_PER_ENDPOINT: usize = 4;

const NOW: Timestamp = Timestamp::from_millis(10_000);

fn endpoint_name(number: usize) -> EndpointName {
    EndpointName::new(&format!("engine-{number}")).expect("a valid name")
}

fn need(number: u64) -> EndpointNeed {
    let model = ModelName::new("model").expect("a valid name");
    let versions = vec![ModelVersion::new("v1").expect("a valid name")];
    EndpointNeed {
        target: Target::Model { model, versions, adapter: None },
        account: AccountName::new("account").expect("a valid name"),
        weight: 1,
        priority: Priority::Normal,
        blocks: (0..32).map(|block| number * 32 + block).collect(),
        prompt_tokens: 2_048,
        max_output_tokens: 256,
        deadline: Timestamp::from_millis(1_000_000),
        avoid: Vec::new(),
        fingerprint: Digest::from_content(&number.to_le_bytes()),
    }
}

/// Creates a scheduler that uses all of its `endpoints` engines and has requests in
/// progress.
fn loaded_scheduler(endpoints: usize) -> Scheduler {
    let mut cfg = Config::default();
    for number in 0..endpoints {
        let [high, low] =
            u16::try_from(number).expect("the endpoint number fits in u16").to_be_bytes();
        let failure_domain = FailureDomain::new(&format!("domain-{}", number % 12));
        let endpoint = Endpoint {
            address: ([10, 0, high, low], 80).into(),
            failure_domain: failure_domain.expect("a valid name"),
            checks_fencing: true,
            leaving: false,
        };
        cfg.endpoints.insert(endpoint_name(number), endpoint);
    }
    let names: BTreeSet<_> = cfg.endpoints.keys().cloned().collect();
    let model = ModelName::new("model").expect("a valid name");
    cfg.models.insert(model.clone(), Model { endpoints: names, ..Model::default() });
    let settings =
        SchedulerSettings { pool_endpoints_max: usize::MAX, ..SchedulerSettings::default() };
    let router = RouterName::new("router").expect("a valid name");
    let domain = FailureDomain::new("domain-0").expect("a valid name");
    let mut scheduler = Scheduler::new(router, domain, settings);
    scheduler.apply_config(&cfg);
    let version = ModelVersion::new("v1").expect("a valid name");
    let loaded = LoadedModel { model, version, adapters: Vec::new(), state: LoadState::Ready };
    let models = vec![loaded];
    let report = LoadReport { max_batch: 16, step_us: 8_000, models, ..LoadReport::default() };
    for number in 0..endpoints {
        scheduler.on_report(&endpoint_name(number), &report, NOW);
    }
    let mut rng = seeded_rng(1);
    for number in 0..(endpoints * REQUESTS_PER_ENDPOINT) as u64 {
        drop(scheduler.submit(&need(number), NOW, &mut rng));
    }
    scheduler
}

fn choose_endpoint(c: &mut Criterion) {
    let mut group = c.benchmark_group("endpoint_choice");
    group.warm_up_time(Duration::from_millis(500));
    group.measurement_time(Duration::from_secs(2));
    for endpoints in ENDPOINTS {
        let mut scheduler = loaded_scheduler(endpoints);
        let mut rng = seeded_rng(2);
        let needs: Vec<EndpointNeed> = (0..256).map(|number| need(1_000_000 + number)).collect();
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| {
            b.iter(|| {
                next = (next + 1) % needs.len();
                if let Decision::Place(lease) = scheduler.submit(&needs[next], NOW, &mut rng) {
                    let outcome = AttemptOutcome::Completed;
                    scheduler.finish(black_box(lease).id, outcome, NOW, &mut rng);
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choose_endpoint);
criterion_main!(benches);
