//! The operators' desired state as the relay uses it.

use std::{sync::Arc, time::Duration};

use utils::HashMap;

use super::Route;

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub head_max_bytes: usize,
    /// Longest body, in bytes.
    pub body_max_bytes: usize,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Connections that one endpoint accepts from all routers together.
    pub max_connections: u32,
    /// Requests that one endpoint runs at a time, where the state says so.
    pub capacity: Option<u32>,
    /// Tokens that fit into the memory of one model engine.
    pub memory_tokens: Option<u64>,
    /// Most tokens in one event of a stream.
    pub tokens_per_event: Option<u64>,
}

impl ServiceSpec {
    /// Tells whether the service is one of model engines, whose requests use tokens.
    pub fn is_engine(&self) -> bool {
        self.memory_tokens.is_some() || self.tokens_per_event.is_some()
    }
}

/// One client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name.
    pub name: Arc<str>,
    /// Rank that goes before the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Tokens that the account may use in total; `None` where it is not limited.
    pub prepaid_tokens: Option<u64>,
}

/// The desired state in one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// Version; a higher one is newer.
    pub version: u64,
    /// Routes by host, longest prefix first.
    pub routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Accounts by key; `None` where requests need no key.
    pub accounts: Option<HashMap<Arc<str>, Arc<Account>>>,
}

impl DesiredState {
    /// Returns the route of a request: the longest prefix of its host that begins `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|it| path.starts_with(&*it.path_prefix))
    }

    /// Returns the accounts, each once.
    pub fn distinct_accounts(&self) -> HashMap<Arc<str>, Arc<Account>> {
        let accounts = self.accounts.iter().flat_map(|it| it.values());
        accounts.map(|it| (it.name.clone(), it.clone())).collect()
    }

    /// Groups routes by host, longest prefix first.
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
