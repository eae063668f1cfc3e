//! Observations of this router that other routers have not been told yet.

use std::{collections::VecDeque, time::Duration};

use types::Timestamp;

use super::SpeedObservation;

/// Age up to which observations are reported.
const REPORT_AGE_MAX: Duration = Duration::from_secs(1);

/// Largest number of endpoints, and kinds of time, in a report.
const REPORT_LEN_MAX: usize = 32;

/// Largest number of observations that are kept.
const KEPT_MAX: usize = 512;

/// Observations of one router, by key of the endpoint. A report covers the last second, as a router
/// hears of another one about once a second, whatever the size of the fleet.
#[derive(Debug, Clone, Default)]
pub struct RecentObservations {
    /// Observations in order of their time.
    kept: VecDeque<(u32, SpeedObservation, Timestamp)>,
    /// Number of the last ones that have not been taken.
    untaken: usize,
}

impl RecentObservations {
    /// Records an observation.
    pub fn record(&mut self, key: u32, observation: SpeedObservation, now: Timestamp) {
        if self.kept.len() == KEPT_MAX {
            self.kept.pop_front();
        }
        self.kept.push_back((key, observation, now));
        self.untaken = (self.untaken + 1).min(self.kept.len());
    }

    /// Returns the observations since the last call, with one for each endpoint and kind.
    pub fn take_new(&mut self) -> Vec<(u32, SpeedObservation)> {
        let new = self.kept.iter().rev().take(self.untaken);
        self.untaken = 0;
        merge(new.map(|(key, it, _)| (*key, *it)), KEPT_MAX)
    }

    /// Returns the observations of the last second, with one for each endpoint and kind; the newest
    /// if they are many.
    pub fn report(&mut self, now: Timestamp) -> Vec<(u32, SpeedObservation)> {
        while self.kept.len() > self.untaken
            && self.kept.front().is_some_and(|it| now.since(it.2) > REPORT_AGE_MAX)
        {
            self.kept.pop_front();
        }
        let recent = self.kept.iter().rev().take_while(|it| now.since(it.2) <= REPORT_AGE_MAX);
        merge(recent.map(|(key, it, _)| (*key, *it)), REPORT_LEN_MAX)
    }
}

fn merge(
    observations: impl Iterator<Item = (u32, SpeedObservation)>,
    len_max: usize,
) -> Vec<(u32, SpeedObservation)> {
    let mut merged: Vec<(u32, SpeedObservation)> = Vec::new();
    for (key, observation) in observations {
        let is_same = |it: &(u32, SpeedObservation)| it.0 == key && it.1.is_same_kind(&observation);
        match merged.iter().position(is_same) {
            Some(index) => merged[index].1.merge(&observation),
            None if merged.len() < len_max => merged.push((key, observation)),
            None => {}
        }
    }
    merged
}
