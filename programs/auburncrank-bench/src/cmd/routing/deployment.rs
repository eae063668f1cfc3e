//! The two users' deployments, at the sizes of today.

use std::time::Duration;

use config::{Config, Endpoint, Model};
use types::{EndpointName, FailureDomain, ModelName, ModelVersion, RouterName};

/// Time from a caller to a router, one way.
pub(super) const CALLER_LATENCY: Duration = Duration::from_millis(1);

/// Time inside of a failure domain, one way.
const LOCAL_LATENCY: Duration = Duration::from_micros(100);

/// A deployment.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deployment {
    /// Failure domains.
    pub(super) failure_domains: &'static [&'static str],
    /// Model engines, spread over the failure domains.
    pub(super) engines: usize,
    /// Routers, spread over the failure domains.
    pub(super) routers: usize,
    /// Time between two failure domains, one way.
    pub(super) latency: Duration,
    /// Tokens of a long request's own prompt.
    pub(super) bulk_prompt_tokens: u64,
    /// Mean tokens of a long request's answer.
    pub(super) bulk_output_tokens: u64,
}

/// The coopers' cooperative: photos and descriptions, long assessments.
pub(super) const COOPERATIVE: Deployment = Deployment {
    failure_domains: &["zlin", "kromeriz", "vsetin", "uhersky-brod"],
    engines: 20,
    routers: 8,
    latency: Duration::from_micros(500),
    bulk_prompt_tokens: 1_536,
    bulk_output_tokens: 400,
};

/// The uniform maker: long measurement sheets, fitting plans.
pub(super) const UNIFORM_MAKER: Deployment = Deployment {
    failure_domains: &["tallinn-1", "tallinn-2", "tallinn-3"],
    engines: 10,
    routers: 7,
    latency: Duration::from_millis(1),
    bulk_prompt_tokens: 4_096,
    bulk_output_tokens: 600,
};

impl Deployment {
    /// Returns the number of the failure domain of engine or router `index`.
    pub(super) fn domain_of(&self, index: usize) -> usize {
        index % self.failure_domains.len()
    }

    /// Returns the time from a router to an engine, one way.
    pub(super) fn latency(&self, router: usize, engine: usize) -> Duration {
        if self.domain_of(router) == self.domain_of(engine) { LOCAL_LATENCY } else { self.latency }
    }

    pub(super) fn failure_domain(&self, index: usize) -> FailureDomain {
        FailureDomain::new(self.failure_domains[self.domain_of(index)]).expect("a name")
    }

    /// Returns the configuration.
    pub(super) fn config(&self) -> Config {
        let endpoints = (0..self.engines).map(|index| {
            let endpoint = Endpoint {
                address: ([10, 0, 0, u8::try_from(index).unwrap_or(u8::MAX)], 80).into(),
                failure_domain: self.failure_domain(index),
                checks_fencing: true,
                leaving: false,
            };
            (engine_name(index), endpoint)
        });
        let model = Model {
            versions: [version()].into(),
            endpoints: (0..self.engines).map(engine_name).collect(),
            ..Model::default()
        };
        Config {
            endpoints: endpoints.collect(),
            models: [(model_name(), model)].into(),
            ..Config::default()
        }
    }
}

pub(super) fn engine_name(index: usize) -> EndpointName {
    EndpointName::new(&format!("engine-{index:03}")).expect("a name")
}

pub(super) fn router_name(index: usize) -> RouterName {
    RouterName::new(&format!("router-{index}")).expect("a name")
}

pub(super) fn model_name() -> ModelName {
    ModelName::new("model").expect("a name")
}

pub(super) fn version() -> ModelVersion {
    ModelVersion::new("v1").expect("a name")
}
