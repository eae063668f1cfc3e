//! Learns the speed of endpoints from the answers that this router and others observe.

use std::sync::Arc;

use routing::{AnswerTime, EndpointSpeed, SpeedObservation};
use types::Timestamp;
use utils::HashMap;

use super::{book::EndpointRegistry, endpoint::Endpoint, placement::Placement};

/// Largest number of observations that are read from one report of another router.
const PEER_REPORT_LEN_MAX: usize = 64;

/// Observation of an endpoint, as routers report it to each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedReport {
    /// Key of the endpoint.
    pub key: u32,
    /// What was observed there.
    pub observation: SpeedObservation,
}

impl EndpointRegistry {
    /// Records the time from sending a request to its first event, or to the end of an answer
    /// without events.
    pub fn record_first_event_time(&mut self, placement: &Placement, millis: f64, now: Timestamp) {
        let Some(endpoint) = self.endpoints.get(&placement.endpoint) else { return };
        let observation = SpeedObservation {
            time: AnswerTime::First(millis),
            running: f64::from(placement.running),
            tokens: placement.tokens_ahead as f64,
            count: 1,
        };
        self.recent_speeds.record(endpoint.speed_key, observation, now);
    }

    /// Records the usual gap between two events of a stream.
    pub fn record_event_gap(&mut self, id: &str, millis: f64, now: Timestamp) {
        let Some(endpoint) = self.endpoints.get(id) else { return };
        let observation = SpeedObservation {
            time: AnswerTime::Gap(millis),
            running: f64::from(endpoint.total_load(now).requests),
            tokens: 0.0,
            count: 1,
        };
        self.recent_speeds.record(endpoint.speed_key, observation, now);
    }

    /// Learns from what this router has observed since the last call.
    pub fn learn_own_speeds(&mut self, now: Timestamp) {
        let new = self.recent_speeds.take_new();
        let reports = new.into_iter().map(|(key, observation)| SpeedReport { key, observation });
        self.learn(reports.collect(), now);
    }

    /// Learns from a report of another router.
    pub fn apply_peer_speeds(&mut self, mut reports: Vec<SpeedReport>, now: Timestamp) {
        reports.truncate(PEER_REPORT_LEN_MAX);
        self.learn(reports, now);
    }

    /// Returns what other routers are told: this router's observations of the last second.
    pub fn speed_reports(&mut self, now: Timestamp) -> Vec<SpeedReport> {
        let recent = self.recent_speeds.report(now).into_iter();
        recent.map(|(key, observation)| SpeedReport { key, observation }).collect()
    }

    /// Returns the current slowness of an endpoint relative to its service's mean, from above zero;
    /// `None` if it is not known.
    pub fn slowness(&self, id: &str, now: Timestamp) -> Option<f64> {
        self.endpoints.get(id).map(|it| it.speed.slowness(now))
    }

    /// Sets whether nothing is learned of the endpoints' speed, so that all count as equally fast.
    pub fn set_ignores_speeds(&mut self, ignores_speeds: bool) {
        self.ignores_speeds = ignores_speeds;
    }

    fn learn(&mut self, reports: Vec<SpeedReport>, now: Timestamp) {
        if self.ignores_speeds {
            return;
        }
        let mut by_service: HashMap<Arc<str>, Vec<(Arc<str>, SpeedObservation)>> =
            HashMap::default();
        for report in reports {
            let Some(id) = self.speed_keys.get(&report.key) else { continue };
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            let of_service = by_service.entry(endpoint.entry.service.clone()).or_default();
            of_service.push((id.clone(), report.observation));
        }
        for (service, observations) in by_service {
            self.learn_service(service, &observations, now);
        }
    }

    fn learn_service(
        &mut self,
        service: Arc<str>,
        observations: &[(Arc<str>, SpeedObservation)],
        now: Timestamp,
    ) {
        let mut ids: Vec<&Arc<str>> = Vec::new();
        let mut report = Vec::new();
        for (id, observation) in observations {
            let index = ids.iter().position(|it| *it == id).unwrap_or_else(|| {
                ids.push(id);
                ids.len() - 1
            });
            report.push((index, *observation));
        }
        let take = |it: &mut Endpoint| (std::mem::take(&mut it.speed), it.entry.capacity);
        let mut speeds: Vec<(EndpointSpeed, u32)> = ids
            .iter()
            .map(|id| self.endpoints.get_mut(*id).map(take).unwrap_or_default())
            .collect();
        let before: Vec<f64> = speeds.iter().map(|it| it.0.usual_slowness()).collect();
        self.speeds.entry(service).or_default().record(&mut speeds, &report, now);
        for ((id, (speed, _)), before) in ids.into_iter().zip(speeds).zip(before) {
            let slowness = speed.usual_slowness();
            if (slowness - before).abs() > f64::EPSILON {
                log::info!(endpoint:% = id, slowness:% = format!("{slowness:.2}"); "usual speed of an endpoint changed");
            }
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.speed = speed;
            }
        }
    }

    /// Returns the number of endpoints whose usual speed differs from the mean of their service.
    pub fn count_uneven(&self) -> usize {
        self.endpoints.values().filter(|it| is_uneven(it)).count()
    }
}

/// Reports whether the usual speed of an endpoint differs from the mean of its service.
fn is_uneven(endpoint: &Endpoint) -> bool {
    (endpoint.speed.usual_slowness() - 1.0).abs() > f64::EPSILON
}
