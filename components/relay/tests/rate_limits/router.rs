//! A simulated router: what it knows about endpoints and other routers.

use std::sync::Arc;

use relay::{
    endpoints::{
        BrittleStatement, Choice, EndpointChange, EndpointRegistry, PlacementRequest,
        RateStatement, Statements,
    },
    model::{EndpointEntry, EndpointPhase},
    peers::{Member, Roster},
    room::RouterRoom,
};
use types::Timestamp;
use utils::Rng;

/// Id of the endpoint that states a rate limit.
pub(crate) const LIMITED: &str = "limited";

/// A router and the time of its last start.
pub(crate) struct SimRouter {
    pub(crate) number: usize,
    pub(crate) started_at: Timestamp,
    pub(crate) registry: EndpointRegistry,
    pub(crate) roster: Roster,
    /// Whether the process runs.
    pub(crate) is_running: bool,
    /// Part of the network; routers reach only those in the same part.
    pub(crate) part: u8,
}

impl SimRouter {
    pub(crate) fn new(number: usize, now: Timestamp) -> SimRouter {
        let mut registry = EndpointRegistry::default();
        for id in [LIMITED, "other"] {
            registry.apply_change(EndpointChange::Written(entry(id)), now);
        }
        let roster = Roster::default();
        SimRouter { number, started_at: now, registry, roster, is_running: true, part: 0 }
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

    pub(crate) fn update_shares(&mut self, now: Timestamp) {
        let mut routers = self.roster.limit_sharers(now);
        routers.push(self.name());
        self.registry.update_rate_shares(&self.name(), &routers, now);
    }
}

/// Places a request to the plain service.
pub(crate) fn place(registry: &mut EndpointRegistry, now: Timestamp, rng: &mut Rng) -> Choice {
    let service: Arc<str> = "portal".into();
    let request = PlacementRequest {
        service: &service,
        spec: None,
        tokens: None,
        parts: &[],
        failed_endpoints: &[],
        failure_domain: "zlin",
        routers: 1,
        begins_stream: false,
        version: None,
        is_stream: false,
        suspect: None,
        fill_share: 1.0,
    };
    registry.place(&request, now, rng)
}

/// Records an answer that says nothing but the rate.
pub(crate) fn record_rate(
    registry: &mut EndpointRegistry,
    id: &str,
    rate: RateStatement,
    sent_at: Timestamp,
    now: Timestamp,
) -> bool {
    let statements = Statements {
        rate,
        is_leaving: false,
        pause: None,
        brittleness: BrittleStatement::Unknown,
        has_malformed: false,
    };
    registry.record_statements(id, &statements, sent_at, now)
}

pub(crate) fn entry(id: &str) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        started_at_ms: 1,
        version: "v1".into(),
        service: "portal".into(),
        address: "10.0.1.1:80".parse().unwrap(),
        failure_domain: "zlin".into(),
        capacity: 10_000,
        phase: EndpointPhase::Ready,
        cold_remaining: None,
    }
}
