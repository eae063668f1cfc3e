//! A simulated router.

use std::{collections::VecDeque, sync::Arc};

use relay::{
    endpoints::{AdmissionBook, Choice, EndpointRegistry, PlacementRequest},
    peers::{Member, Roster, process_key},
    room::RouterRoom,
};
use types::Timestamp;
use utils::{HashSet, Rng};

/// A router and the time of its last start.
pub(crate) struct SimRouter {
    pub(crate) number: usize,
    pub(crate) started_at: Timestamp,
    pub(crate) registry: EndpointRegistry,
    pub(crate) roster: Roster,
    pub(crate) book: AdmissionBook,
    /// Key of its process in liveness reports.
    pub(crate) process_key: u64,
    /// Requests that wait for an endpoint with room, by number.
    pub(crate) waiting: VecDeque<usize>,
    /// Whether the process runs.
    pub(crate) is_running: bool,
    /// Part of the network; routers reach only those in the same part.
    pub(crate) part: u8,
}

impl SimRouter {
    pub(crate) fn new(number: usize, now: Timestamp) -> SimRouter {
        let mut router = SimRouter {
            number,
            started_at: now,
            registry: EndpointRegistry::default(),
            roster: Roster::default(),
            book: AdmissionBook::default(),
            waiting: VecDeque::new(),
            is_running: true,
            part: 0,
            process_key: 0,
        };
        router.process_key = process_key(&router.member());
        router
    }

    pub(crate) fn name(&self) -> Arc<str> {
        format!("router-{}", self.number).into()
    }

    pub(crate) fn member(&self) -> Member {
        let address = |port: u16| format!("10.0.0.{}:{port}", self.number % 250).parse().unwrap();
        Member {
            name: self.name(),
            process: self.started_at.0,
            caller_address: address(80),
            peer_address: address(7_200),
            failure_domain: "zlin".into(),
            is_ready: true,
            config_version: 1,
            processor_millis: 250,
            arrivals_per_s: 25,
            room: RouterRoom::default(),
        }
    }

    /// Does what a router does in each round of status messages.
    pub(crate) fn update(&mut self, now: Timestamp) {
        let own = self.name();
        let mut sharers = self.roster.limit_sharers(now);
        sharers.push(own.clone());
        self.roster.expire(now);
        self.registry.expire(now);
        self.registry.update_rate_shares(&own, &sharers, now);
        let live = self.roster.live_processes(now).into_iter().map(|it| it.router);
        let live: HashSet<Arc<str>> = live.chain([own.clone()]).collect();
        self.book.set_share(self.roster.reachable_share(now), now);
        self.book.reconcile(&own, &self.registry.own_loads(), now);
        self.book.expire(&live, |id| self.registry.owner_of(id).as_ref() == Some(&own), now);
    }

    pub(crate) fn place(&mut self, now: Timestamp, rng: &mut Rng) -> Choice {
        let service: Arc<str> = "portal".into();
        let request = PlacementRequest {
            service: &service,
            spec: None,
            tokens: None,
            parts: &[],
            failed_endpoints: &[],
            failure_domain: "zlin",
            routers: self.roster.count(),
            begins_stream: false,
            version: None,
            is_stream: false,
            suspect: None,
            fill_share: 1.0,
        };
        self.registry.place(&request, now, rng)
    }
}
