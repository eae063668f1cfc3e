//! Choice of the endpoint with the fewest requests of this router: a baseline.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use config::Config;
use errors::{Error, ErrorKind, Result};
use types::EndpointName;
use utils::HashMap;

use super::{AttemptOutcome, Dispatcher, EndpointLease, EndpointNeed, Target};
use crate::configuration::ConfigHandle;

/// Most attempts of one request.
const ATTEMPTS_MAX: usize = 3;

/// Chooses the endpoint with the fewest requests of this router.
pub struct LeastRequests {
    /// Configuration in force.
    cfg: ConfigHandle,
    /// Requests in progress by endpoint, and the number of the next lease.
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Requests in progress.
    in_progress: HashMap<EndpointName, u32>,
    /// Number of the next lease.
    next_id: u64,
}

impl LeastRequests {
    /// Creates the dispatcher.
    pub fn new(cfg: ConfigHandle) -> LeastRequests {
        LeastRequests { cfg, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

#[async_trait]
impl Dispatcher for LeastRequests {
    async fn acquire(&self, need: &EndpointNeed) -> Result<EndpointLease> {
        let cfg = self.cfg.load();
        let mut state = self.lock();
        let chosen = candidates(&cfg, &need.target)
            .into_iter()
            .filter(|name| !need.avoid.contains(name))
            .min_by_key(|name| state.in_progress.get(name).copied().unwrap_or(0));
        let found = chosen.and_then(|name| Some((name, cfg.endpoints.get(name)?)));
        let Some((name, endpoint)) = found else {
            return Err(Error::new(ErrorKind::NoEndpoint, "no endpoint may serve the request"));
        };
        *state.in_progress.entry(name.clone()).or_default() += 1;
        state.next_id += 1;
        Ok(EndpointLease {
            id: state.next_id,
            endpoint: name.clone(),
            address: endpoint.address,
            failure_domain: endpoint.failure_domain.clone(),
            version: preferred_version(&need.target),
        })
    }

    fn report_first_token(&self, _lease: &EndpointLease, _latency: Duration) {}

    fn finish(&self, lease: EndpointLease, _need: &EndpointNeed, _outcome: AttemptOutcome) {
        if let Some(count) = self.lock().in_progress.get_mut(&lease.endpoint) {
            *count = count.saturating_sub(1);
        }
    }

    fn may_retry(&self, need: &EndpointNeed, _outcome: AttemptOutcome) -> bool {
        need.avoid.len() < ATTEMPTS_MAX
    }
}

fn candidates<'a>(cfg: &'a Config, target: &Target) -> Vec<&'a EndpointName> {
    let names = match target {
        Target::Model { model, .. } => cfg.models.get(model).map(|it| &it.endpoints),
        Target::Service(service) => cfg.services.get(service).map(|it| &it.endpoints),
    };
    let names = names.into_iter().flatten();
    names.filter(|&name| cfg.endpoints.get(name).is_some_and(|it| !it.leaving)).collect()
}

fn preferred_version(target: &Target) -> Option<types::ModelVersion> {
    match target {
        Target::Model { versions, .. } => versions.first().cloned(),
        Target::Service(_) => None,
    }
}
