//! What a scene is made of.

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

/// Longest prompt and answer together, in tokens, of every model of a scene.
const CONTEXT_TOKENS: u64 = 8_192;

/// Longest time of an action of a scene.
const ACTION_TIMEOUT: Duration = Duration::from_secs(5);

/// What a scene is made of.
#[derive(Debug, Clone)]
pub struct SceneSpec {
    /// Seed of all random choices.
    pub seed: u64,
    /// Limits of the platform's table.
    pub limits: CallLimits,
    /// Client accounts.
    pub accounts: Vec<AccountSpec>,
    /// Model engines.
    pub engines: Vec<EngineSpec>,
    /// Plain services.
    pub services: Vec<ServiceSpec>,
    /// Actions of the plain services.
    pub actions: Vec<ActionSpec>,
    /// Routers.
    pub routers: Vec<RouterSpec>,
    /// Limits on what callers send.
    pub http_limits: HttpLimits,
    /// Longest time of a graceful shutdown of a router.
    pub drain_timeout: Duration,
}

/// A client account.
#[derive(Debug, Clone)]
pub struct AccountSpec {
    /// Name.
    pub name: AccountName,
    /// Deposit.
    pub deposit: Tokens,
    /// What happens when the budget is short.
    pub shortage: ShortagePolicy,
    /// Models by the name that callers write, each with its priority.
    pub models: Vec<(ModelName, ModelName, Priority)>,
    /// Actions.
    pub actions: Vec<ActionName>,
}

/// A model engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Name.
    pub name: EndpointName,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Model that it serves.
    pub model: ModelName,
    /// Settings.
    pub settings: EngineSettings,
}

/// A plain service.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Endpoints and their failure domains; all share one log.
    pub endpoints: Vec<(EndpointName, FailureDomain)>,
}

/// An action.
#[derive(Debug, Clone)]
pub struct ActionSpec {
    /// Name.
    pub name: ActionName,
    /// Service that runs it.
    pub service: ServiceName,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Price of one run.
    pub price: Tokens,
}

/// A router.
#[derive(Debug, Clone)]
pub struct RouterSpec {
    /// Name.
    pub name: RouterName,
    /// Failure domain.
    pub failure_domain: FailureDomain,
}

/// Returns the API key of a client account or operator of a scene.
pub fn account_key(name: &str) -> ApiKey {
    ApiKey::new(&format!("scene-key-of-{name}-0123456789"))
}

impl SceneSpec {
    /// Returns the loopback address of a failure domain: domains differ in their IP
    /// number, as hosts do.
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

    /// Returns the configuration of the scene, whose endpoints have `addresses`.
    pub fn config(&self, addresses: &BTreeMap<EndpointName, SocketAddr>) -> Config {
        Config {
            version: ConfigVersion(1),
            accounts: self.accounts.iter().map(|it| (it.name.clone(), it.account())).collect(),
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
            model.versions.insert(first_version());
            model.endpoints.insert(engine.name.clone());
        }
        models
    }

    fn endpoints(
        &self,
        addresses: &BTreeMap<EndpointName, SocketAddr>,
    ) -> BTreeMap<EndpointName, Endpoint> {
        let engines = self.engines.iter().map(|it| (&it.name, &it.failure_domain));
        let services = self.services.iter().flat_map(|it| it.endpoints.iter());
        let all = engines.chain(services.map(|(name, domain)| (name, domain)));
        let placed = all.filter_map(|(name, domain)| Some((name, domain, addresses.get(name)?)));
        placed
            .map(|(name, failure_domain, &address)| {
                let failure_domain = failure_domain.clone();
                let endpoint =
                    Endpoint { address, failure_domain, checks_fencing: false, leaving: false };
                (name.clone(), endpoint)
            })
            .collect()
    }

    fn operators(&self) -> BTreeMap<OperatorName, Operator> {
        let name = OperatorName::new("admin").expect("a name");
        let operator = Operator { key: account_key("admin").hash(), role: Role::Admin };
        BTreeMap::from([(name, operator)])
    }
}

/// Returns the version of every model that a scene starts with.
pub(crate) fn first_version() -> ModelVersion {
    ModelVersion::new("v1").expect("a name")
}

impl AccountSpec {
    fn account(&self) -> Account {
        let access = |(name, model, priority): &(ModelName, ModelName, Priority)| {
            let versions = vec![first_version()];
            let (model, priority) = (model.clone(), *priority);
            (name.clone(), ModelAccess { model, versions, adapter: None, priority })
        };
        Account {
            keys: vec![account_key(self.name.as_str()).hash()],
            models: self.models.iter().map(access).collect(),
            actions: self.actions.iter().cloned().collect(),
            shortage: self.shortage,
            weight: 1,
        }
    }
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
