//! The two deployments in which the software is used, at their present sizes.

use std::time::Duration;

use config::{Config, Endpoint, Model};
use types::{EndpointName, FailureDomain, ModelName, ModelVersion, RouterName};

/// One-way latency between a caller and a router.
pub(super) const CALLER_LATENCY: Duration = Duration::from_millis(1);

/// One-way latency within a failure domain.
const LOCAL_LATENCY: Duration = Duration::from_micros(100);

/// Size and latencies of a deployment, with the token counts of its long requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deployment {
    /// Names of the failure domains.
    pub(super) failure_domains: &'static [&'static str],
    /// Number of model engines, which are spread over the failure domains.
    pub(super) engines: usize,
    /// Number of routers, which are spread over the failure domains.
    pub(super) routers: usize,
    /// One-way latency between two failure domains.
    pub(super) latency: Duration,
    /// Prompt tokens of a long request, without those shared by the account's requests.
    pub(super) bulk_prompt_tokens: u64,
    /// Mean number of tokens in the answer to a long request.
    pub(super) bulk_output_tokens: u64,
}

/// Deployment of a coopers' cooperative: long assessments from photos and descriptions.
pub(super) const COOPERATIVE: Deployment = Deployment {
    failure_domains: &["zlin", "kromeriz", "vsetin", "uhersky-brod"],
    engines: 20,
    routers: 8,
    latency: Duration::from_micros(500),
    bulk_prompt_tokens: 1_536,
    bulk_output_tokens: 400,
};

/// Deployment of a uniform maker: fitting plans from long measurement sheets.
pub(super) const UNIFORM_MAKER: Deployment = Deployment {
    failure_domains: &["tallinn-1", "tallinn-2", "tallinn-3"],
    engines: 10,
    routers: 7,
    latency: Duration::from_millis(1),
    bulk_prompt_tokens: 4_096,
    bulk_output_tokens: 600,
};

impl Deployment {
    /// Returns the index of the failure domain of engine or router `index`.
    pub(super) fn domain_of(&self, index: usize) -> usize {
        index % self.failure_domains.len()
    }

    /// Returns the one-way latency between a router and an engine.
    pub(super) fn latency(&self, router: usize, engine: usize) -> Duration {
        if self.domain_of(router) == self.domain_of(engine) { LOCAL_LATENCY } else { self.latency }
    }

    pub(super) fn failure_domain(&self, index: usize) -> FailureDomain {
        FailureDomain::new(self.failure_domains[self.domain_of(index)]).expect("a valid name")
    }

    /// Returns the configuration, in which every engine serves the same model.
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
    EndpointName::new(&format!("engine-{index:03}")).expect("a valid name")
}

pub(super) fn router_name(index: usize) -> RouterName {
    RouterName::new(&format!("router-{index}")).expect("a valid name")
}

pub(super) fn model_name() -> ModelName {
    ModelName::new("model").expect("a valid name")
}

pub(super) fn version() -> ModelVersion {
    ModelVersion::new("v1").expect("a valid name")
}
