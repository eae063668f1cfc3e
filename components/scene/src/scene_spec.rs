//! Specifications of scenes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use config::{
    Account, Action, ApiKey, Config, Endpoint, Model, ModelAccess, Operator, Role, Service,
    ShortagePolicy,
};
use router::HttpLimits;
use standins::{CallLimits, engine::EngineSettings};
use types::{
    AccountName, ActionName, ConfigVersion, EndpointName, FailureDomain, ModelName, ModelVersion,
    OperatorName, Priority, RouterName, ServiceName, Tokens,
};

/// Maximum length of prompt and answer together, in tokens, for each model of a scene.
const CONTEXT_TOKENS: u64 = 8_192;

/// Timeout of each action of a scene.
const ACTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Specification of a scene: its stand-ins, client accounts and routers.
#[derive(Debug, Clone)]
pub struct SceneSpec {
    /// Seed of the random choices of the platform's services.
    pub seed: u64,
    /// Limits on the rate of calls to the platform's table.
    pub limits: CallLimits,
    /// Client accounts and their deposits.
    pub accounts: Vec<AccountSpec>,
    /// Model engines, each of which is an endpoint.
    pub engines: Vec<EngineSpec>,
    /// Plain services, which run the actions.
    pub services: Vec<ServiceSpec>,
    /// Actions that the plain services offer.
    pub actions: Vec<ActionSpec>,
    /// Routers of the fleet.
    pub routers: Vec<RouterSpec>,
    /// Limits on the requests of callers.
    pub http_limits: HttpLimits,
    /// Maximum time for the graceful shutdown of a router.
    pub drain_timeout: Duration,
    /// Pause within an engine's stream after which a router may go on at another engine.
    pub stream_idle_timeout: Duration,
}

/// Specification of a client account.
#[derive(Debug, Clone)]
pub struct AccountSpec {
    /// Name of the account, from which its API key is derived.
    pub name: AccountName,
    /// Prepaid tokens of the account when the scene starts.
    pub deposit: Tokens,
    /// Handling of a request for which the budget has too few tokens available at the moment.
    pub shortage: ShortagePolicy,
    /// Models that the account may use: the name that callers send, the model, and the priority of
    /// the requests.
    pub models: Vec<(ModelName, ModelName, Priority)>,
    /// Actions that the account may request.
    pub actions: Vec<ActionName>,
}

/// Specification of a model engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Name of the engine as an endpoint.
    pub name: EndpointName,
    /// Failure domain of the engine, which determines its address.
    pub failure_domain: FailureDomain,
    /// Model that the engine serves.
    pub model: ModelName,
    /// Version of the model.
    pub version: ModelVersion,
    /// Settings of the stand-in.
    pub settings: EngineSettings,
}

/// Specification of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Endpoints of the service and their failure domains. All endpoints share one log.
    pub endpoints: Vec<(EndpointName, FailureDomain)>,
}

/// Specification of an action.
#[derive(Debug, Clone)]
pub struct ActionSpec {
    /// Name of the action, which is also its path on the service.
    pub name: ActionName,
    /// Service that runs the action.
    pub service: ServiceName,
    /// Whether the action may run more than once for a request.
    pub idempotent: bool,
    /// Price of one run, in tokens.
    pub price: Tokens,
}

/// Specification of a router.
#[derive(Debug, Clone)]
pub struct RouterSpec {
    /// Name of the router.
    pub name: RouterName,
    /// Failure domain of the router, which determines its address.
    pub failure_domain: FailureDomain,
}

/// Returns the API key of a client account or operator of a scene.
pub fn account_key(name: &str) -> ApiKey {
    ApiKey::new(&format!("scene-key-of-{name}-0123456789"))
}

impl SceneSpec {
    /// Returns the loopback address of a failure domain, with port 0. Each failure domain has an IP
    /// address of its own, like a separate host.
    pub fn address_of(&self, failure_domain: &FailureDomain) -> SocketAddr {
        let domains: BTreeSet<_> = self.failure_domains().collect();
        let index = domains.iter().position(|it| *it == failure_domain).unwrap_or(0);
        let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, last)), 0)
    }

    fn failure_domains(&self) -> impl Iterator<Item = &FailureDomain> {
        let engines = self.engines.iter().map(|engine| &engine.failure_domain);
        let services = self.services.iter().flat_map(|it| it.endpoints.iter().map(|it| &it.1));
        engines.chain(services).chain(self.routers.iter().map(|router| &router.failure_domain))
    }

    /// Returns the configuration of the scene. Endpoints missing from `addresses` are left out.
    pub fn config(&self, addresses: &BTreeMap<EndpointName, SocketAddr>) -> Config {
        Config {
            version: ConfigVersion(1),
            accounts: self.accounts.iter().map(|it| (it.name.clone(), self.account(it))).collect(),
            models: self.models(),
            endpoints: self.endpoints(addresses),
            services: self.services.iter().map(|it| (it.name.clone(), it.service())).collect(),
            actions: self.actions.iter().map(|it| (it.name.clone(), it.action())).collect(),
            operators: self.operators(),
            ..Config::default()
        }
    }

    fn models(&self) -> BTreeMap<ModelName, Model> {
        let mut models: BTreeMap<ModelName, Model> = BTreeMap::new();
        for engine in &self.engines {
            let model = models.entry(engine.model.clone()).or_default();
            model.context_tokens = CONTEXT_TOKENS;
            model.versions.insert(engine.version.clone());
            model.endpoints.insert(engine.name.clone());
        }
        models
    }

    /// Returns the versions of a model that its engines serve.
    fn versions(&self, model: &ModelName) -> Vec<ModelVersion> {
        let engines = self.engines.iter().filter(|it| it.model == *model);
        engines.map(|it| it.version.clone()).collect::<BTreeSet<_>>().into_iter().collect()
    }

    fn account(&self, spec: &AccountSpec) -> Account {
        let access = |(name, model, priority): &(ModelName, ModelName, Priority)| {
            let versions = self.versions(model);
            let (model, priority) = (model.clone(), *priority);
            (name.clone(), ModelAccess { model, versions, adapter: None, priority })
        };
        Account {
            keys: vec![account_key(spec.name.as_str()).hash()],
            models: spec.models.iter().map(access).collect(),
            actions: spec.actions.iter().cloned().collect(),
            shortage: spec.shortage,
            weight: 1,
        }
    }

    fn endpoints(
        &self,
        addresses: &BTreeMap<EndpointName, SocketAddr>,
    ) -> BTreeMap<EndpointName, Endpoint> {
        let engines = self.engines.iter().map(|it| (&it.name, &it.failure_domain));
        let services = self.services.iter().flat_map(|it| it.endpoints.iter());
        let all = engines.chain(services.map(|(name, domain)| (name, domain)));
        let with_address =
            all.filter_map(|(name, domain)| Some((name, domain, addresses.get(name)?)));
        with_address
            .map(|(name, failure_domain, &address)| {
                let failure_domain = failure_domain.clone();
                let endpoint =
                    Endpoint { address, failure_domain, checks_fencing: false, leaving: false };
                (name.clone(), endpoint)
            })
            .collect()
    }

    fn operators(&self) -> BTreeMap<OperatorName, Operator> {
        let name = OperatorName::new("admin").expect("a valid name");
        let operator = Operator { key: account_key("admin").hash(), role: Role::Admin };
        BTreeMap::from([(name, operator)])
    }
}

/// Returns the usual version of the models in a scene.
pub fn first_version() -> ModelVersion {
    ModelVersion::new("v1").expect("a valid name")
}

impl ServiceSpec {
    fn service(&self) -> Service {
        Service { endpoints: self.endpoints.iter().map(|(name, _)| name.clone()).collect() }
    }
}

impl ActionSpec {
    fn action(&self) -> Action {
        Action {
            service: self.service.clone(),
            path: format!("/{}", self.name),
            idempotent: self.idempotent,
            priority: Priority::Normal,
            price: self.price,
            timeout: ACTION_TIMEOUT,
        }
    }
}
