//! A simulated endpoint with limited room.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use relay::model::{EndpointEntry, EndpointPhase};
use types::Timestamp;

/// Window in which refusals are counted.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

/// What happened to a request that arrived at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// It runs or waits.
    Accepted,
    /// It was refused for want of room.
    Refused,
    /// It was refused, and the endpoint fell over.
    Fell,
    /// The endpoint is down.
    Unreachable,
}

pub(crate) struct SimEndpoint {
    pub(crate) number: usize,
    /// Number of its processes before this one.
    pub(crate) restarts: u64,
    pub(crate) is_up: bool,
    /// Requests that it runs at a time.
    pub(crate) capacity: u32,
    /// Requests that may wait there.
    pub(crate) waiting_max: usize,
    /// Number of running requests.
    running: u32,
    /// Requests that wait, by number.
    waiting: VecDeque<usize>,
    refusals: VecDeque<Timestamp>,
}

impl SimEndpoint {
    pub(crate) fn new(number: usize, capacity: u32) -> SimEndpoint {
        SimEndpoint {
            number,
            restarts: 0,
            is_up: true,
            capacity,
            waiting_max: 4 * capacity as usize,
            running: 0,
            waiting: VecDeque::new(),
            refusals: VecDeque::new(),
        }
    }

    /// Returns its id; each process has another one.
    pub(crate) fn id(&self) -> Arc<str> {
        format!("endpoint-{}-{}", self.number, self.restarts).into()
    }

    pub(crate) fn entry(&self) -> EndpointEntry {
        EndpointEntry {
            id: self.id(),
            started_at_ms: self.restarts + 1,
            version: "v1".into(),
            service: "portal".into(),
            address: "10.0.1.1:80".parse().unwrap(),
            failure_domain: "zlin".into(),
            capacity: self.capacity,
            phase: EndpointPhase::Ready,
            cold_remaining: None,
        }
    }

    /// Handles the arrival of a request. It falls over if it refuses more than `refusals_max`
    /// requests within a second.
    pub(crate) fn arrive(
        &mut self,
        request: usize,
        refusals_max: Option<u32>,
        now: Timestamp,
    ) -> Arrival {
        if !self.is_up {
            return Arrival::Unreachable;
        }
        if (self.running as usize + self.waiting.len()) < self.capacity as usize + self.waiting_max
        {
            self.waiting.push_back(request);
            return Arrival::Accepted;
        }
        self.refusals.push_back(now);
        self.refusals.retain(|it| now.since(*it) < REFUSAL_WINDOW);
        if refusals_max.is_none_or(|it| self.refusals.len() <= it as usize) {
            return Arrival::Refused;
        }
        self.is_up = false;
        self.running = 0;
        self.waiting.clear();
        self.refusals.clear();
        Arrival::Fell
    }

    /// Returns the next request that begins to run, if there is a free place.
    pub(crate) fn begin_next(&mut self) -> Option<usize> {
        if self.running >= self.capacity {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.running += 1;
        Some(next)
    }

    pub(crate) fn finish(&mut self) {
        self.running -= 1;
    }

    pub(crate) fn restart(&mut self) {
        self.restarts += 1;
        self.is_up = true;
    }
}
