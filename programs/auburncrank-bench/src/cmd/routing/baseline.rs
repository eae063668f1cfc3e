//! Baseline policies, which send every request to an engine immediately, in order of arrival and
//! without limits.

use config::Config;
use errors::{Error, ErrorKind};
use rand::Rng as _;
use routing::{AttemptOutcome, CrashRecord, Decision, EndpointLease, EndpointNeed};
use types::{EndpointName, Timestamp};
use utils::{HashMap, Rng};

use super::router_policy::RouterPolicy;

/// How a baseline chooses an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BaselineChoice {
    /// A random engine.
    Random,
    /// One engine after the other.
    RoundRobin,
    /// The engine with the fewest requests of this router; ties are broken at random.
    LeastRequests,
}

/// State of a baseline on one router.
#[derive(Debug)]
pub(super) struct Baseline {
    /// How it chooses an engine.
    choice: BaselineChoice,
    /// Names and configurations of the engines.
    engines: Vec<(EndpointName, config::Endpoint)>,
    /// Requests of this router in progress, by engine.
    in_progress: Vec<u32>,
    /// Index of the engine, by lease ID.
    leases: HashMap<u64, usize>,
    /// ID of the latest lease.
    last_lease_id: u64,
    /// Round-robin counter.
    next_engine: usize,
}

impl Baseline {
    pub(super) fn new(choice: BaselineChoice, cfg: &Config) -> Baseline {
        let engines: Vec<_> = cfg.endpoints.clone().into_iter().collect();
        Baseline {
            choice,
            in_progress: vec![0; engines.len()],
            engines,
            leases: HashMap::default(),
            last_lease_id: 0,
            next_engine: 0,
        }
    }

    fn pick(&mut self, candidates: &[usize], rng: &mut Rng) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let random = candidates[rng.random_range(0..candidates.len())];
        match self.choice {
            BaselineChoice::Random => Some(random),
            BaselineChoice::RoundRobin => {
                self.next_engine += 1;
                Some(candidates[self.next_engine % candidates.len()])
            }
            BaselineChoice::LeastRequests => {
                let least = candidates.iter().map(|&it| self.in_progress[it]).min()?;
                let is_least = |it: &&usize| self.in_progress[**it] == least;
                let tied: Vec<usize> = candidates.iter().filter(is_least).copied().collect();
                Some(tied[rng.random_range(0..tied.len())])
            }
        }
    }
}

impl RouterPolicy for Baseline {
    fn submit(&mut self, need: &EndpointNeed, _now: Timestamp, rng: &mut Rng) -> Decision {
        let is_allowed = |it: &usize| !need.avoid.contains(&self.engines[*it].0);
        let candidates: Vec<usize> = (0..self.engines.len()).filter(is_allowed).collect();
        let Some(engine) = self.pick(&candidates, rng) else {
            return Decision::Refuse(Error::new(ErrorKind::NoEndpoint, "no engine is left to try"));
        };
        self.last_lease_id += 1;
        self.in_progress[engine] += 1;
        self.leases.insert(self.last_lease_id, engine);
        let (name, endpoint) = &self.engines[engine];
        Decision::Place(EndpointLease {
            id: self.last_lease_id,
            endpoint: name.clone(),
            address: endpoint.address,
            failure_domain: endpoint.failure_domain.clone(),
            version: None,
        })
    }

    fn finish(
        &mut self,
        lease: u64,
        _outcome: AttemptOutcome,
        _now: Timestamp,
        _rng: &mut Rng,
    ) -> Option<CrashRecord> {
        let engine = self.leases.remove(&lease)?;
        self.in_progress[engine] -= 1;
        None
    }
}
