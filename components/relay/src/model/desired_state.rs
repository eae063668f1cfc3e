//! The desired state that operators configure, in the form that the relay uses.

use std::{sync::Arc, time::Duration};

use utils::HashMap;

use super::Route;

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub head_max_bytes: usize,
    /// Longest request body, in bytes.
    pub body_max_bytes: usize,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
    /// Time within which the head of a request has to arrive; `None` if it is not limited.
    pub head_timeout: Option<Duration>,
}

/// What an endpoint takes shortly after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time from its start until it is warm.
    pub time: Duration,
    /// Requests per second that it takes until then, from all routers together.
    pub per_s: f64,
}

/// Specification of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Maximum number of connections that one endpoint accepts from all routers together.
    pub max_connections: u32,
    /// Maximum number of requests that one endpoint runs at a time; if `None`, the capacity in its
    /// entry applies.
    pub capacity: Option<u32>,
    /// Tokens that fit into the memory of one model engine; `None` if it is not limited.
    pub memory_tokens: Option<u64>,
    /// Maximum number of tokens in one event of a stream; `None` if events are not counted as
    /// tokens.
    pub tokens_per_event: Option<u64>,
    /// What its endpoints take shortly after their start; `None` if they need no warming up.
    pub cold_start: Option<ColdStart>,
}

impl ServiceSpec {
    /// Reports whether the service consists of model engines, whose requests use tokens.
    pub fn is_engine(&self) -> bool {
        self.memory_tokens.is_some() || self.tokens_per_event.is_some()
    }
}

/// One client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name, unique among the accounts.
    pub name: Arc<str>,
    /// Priority that overrides the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Tokens that the account may use in total; `None` if it is not limited.
    pub prepaid_tokens: Option<u64>,
}

/// One version of the desired state.
#[derive(Debug, Clone, PartialEq)]
pub struct DesiredState {
    /// Version number; a higher one is newer.
    pub version: u64,
    /// Routes, keyed by host; within a host the longest path prefix comes first.
    pub routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services, keyed by name.
    pub services: HashMap<Arc<str>, ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Client accounts, keyed by API key; `None` if requests need no key.
    pub accounts: Option<HashMap<Arc<str>, Arc<Account>>>,
}

impl DesiredState {
    /// Returns the route of `host` whose path prefix is the longest that matches `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|it| path.starts_with(&*it.path_prefix))
    }

    /// Reports whether the state specifies a service, or has a route that leads to it.
    pub fn has_service(&self, service: &str) -> bool {
        let is_target = |it: &Arc<Route>| it.targets.iter().any(|it| *it.service == *service);
        self.services.contains_key(service) || self.routes.values().flatten().any(is_target)
    }

    /// Reports whether requests of a service differ in priority or account, so that the order in which
    /// waiting ones are served matters.
    pub fn has_competing_requests(&self, service: &str) -> bool {
        if self.accounts.as_ref().is_some_and(|it| it.len() > 1) {
            return true;
        }
        let routes = self.routes.values().flatten();
        let of_service =
            routes.filter(|it| it.targets.iter().any(|target| *target.service == *service));
        let mut priorities = of_service.map(|it| it.priority);
        priorities.next().is_some_and(|first| priorities.any(|it| it != first))
    }

    /// Returns the accounts keyed by name, so that one with several keys appears once.
    pub fn distinct_accounts(&self) -> HashMap<Arc<str>, Arc<Account>> {
        let accounts = self.accounts.iter().flat_map(|it| it.values());
        accounts.map(|it| (it.name.clone(), it.clone())).collect()
    }

    /// Groups routes by host; within a host the longest path prefix comes first.
    pub fn group_routes(routes: Vec<Route>) -> HashMap<Arc<str>, Vec<Arc<Route>>> {
        let mut groups: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::default();
        for route in routes {
            groups.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for group in groups.values_mut() {
            group.sort_by_key(|it| std::cmp::Reverse(it.path_prefix.len()));
        }
        groups
    }
}
