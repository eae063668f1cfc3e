//! The deployments of two client accounts, scaled down to one machine.

use std::time::Duration;

use config::ShortagePolicy;
use router::HttpLimits;
use standins::{CallLimits, engine::EngineSettings};
use types::{
    AccountName, ActionName, EndpointName, FailureDomain, ModelName, Priority, RouterName,
    ServiceName, Tokens,
};

use crate::{
    AccountSpec, ActionSpec, EngineSpec, RouterSpec, SceneSpec, ServiceSpec, first_version,
};

/// Failure domains of the scene, each with a router.
const FAILURE_DOMAINS: [&str; 3] = ["zlin", "kromeriz", "vsetin"];

/// Number of engines for each model in each failure domain.
const ENGINES_PER_DOMAIN: usize = 2;

/// Returns a scene with the deployments of two client accounts.
///
/// A coopers' cooperative sends assessments, which can wait, and short urgent questions. A uniform
/// maker sends fitting plans, which can wait, and urgent questions. Each has a plain service of its
/// own.
pub fn two_account_spec(seed: u64) -> SceneSpec {
    SceneSpec {
        seed,
        limits: CallLimits::new(2_000, 300),
        accounts: vec![cooperative(), uniform_maker()],
        engines: ["barrel-7b", "fitting-7b"].into_iter().flat_map(engines_of).collect(),
        services: vec![service("portal"), service("order-desk")],
        actions: vec![
            action("order-repair", "portal", false, 20),
            action("find-barrel", "portal", true, 1),
            action("reserve-cloth", "order-desk", false, 10),
            action("charge-deposit", "order-desk", false, 15),
            action("find-stock", "order-desk", true, 1),
        ],
        routers: FAILURE_DOMAINS.iter().map(|domain| router(domain)).collect(),
        http_limits: HttpLimits::default(),
        drain_timeout: Duration::from_secs(20),
        stream_idle_timeout: Duration::from_secs(30),
    }
}

fn cooperative() -> AccountSpec {
    AccountSpec {
        name: name(AccountName::new, "cooperative"),
        deposit: Tokens(400_000),
        shortage: ShortagePolicy { max_wait: Duration::from_secs(10) },
        models: vec![
            access("assessment", "barrel-7b", Priority::Bulk),
            access("workshop-question", "barrel-7b", Priority::Urgent),
        ],
        actions: vec![name(ActionName::new, "order-repair"), name(ActionName::new, "find-barrel")],
    }
}

fn uniform_maker() -> AccountSpec {
    AccountSpec {
        name: name(AccountName::new, "uniform-maker"),
        deposit: Tokens(300_000),
        shortage: ShortagePolicy { max_wait: Duration::from_secs(1) },
        models: vec![
            access("fitting-plan", "fitting-7b", Priority::Bulk),
            access("fitting-question", "fitting-7b", Priority::Urgent),
        ],
        actions: vec![
            name(ActionName::new, "reserve-cloth"),
            name(ActionName::new, "charge-deposit"),
            name(ActionName::new, "find-stock"),
        ],
    }
}

fn access(alias: &str, model: &str, priority: Priority) -> (ModelName, ModelName, Priority) {
    (name(ModelName::new, alias), name(ModelName::new, model), priority)
}

fn engines_of(model: &str) -> Vec<EngineSpec> {
    let instances = FAILURE_DOMAINS.iter().flat_map(|domain| {
        (1..=ENGINES_PER_DOMAIN).map(move |number| (domain, format!("{domain}-{number}")))
    });
    instances
        .map(|(domain, suffix)| EngineSpec {
            name: name(EndpointName::new, &format!("{model}-{suffix}")),
            failure_domain: name(FailureDomain::new, domain),
            model: name(ModelName::new, model),
            version: first_version(),
            settings: EngineSettings::default(),
        })
        .collect()
}

fn service(service: &str) -> ServiceSpec {
    let endpoints = FAILURE_DOMAINS.iter().map(|domain| {
        let endpoint = name(EndpointName::new, &format!("{service}-{domain}"));
        (endpoint, name(FailureDomain::new, domain))
    });
    ServiceSpec { name: name(ServiceName::new, service), endpoints: endpoints.collect() }
}

fn action(action: &str, service: &str, idempotent: bool, price: u64) -> ActionSpec {
    ActionSpec {
        name: name(ActionName::new, action),
        service: name(ServiceName::new, service),
        idempotent,
        price: Tokens(price),
    }
}

fn router(domain: &str) -> RouterSpec {
    RouterSpec {
        name: name(RouterName::new, &format!("router-{domain}")),
        failure_domain: name(FailureDomain::new, domain),
    }
}

fn name<T, E: std::fmt::Debug>(new: impl Fn(&str) -> Result<T, E>, text: &str) -> T {
    new(text).expect("a valid name")
}
