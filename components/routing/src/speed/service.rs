//! Model of a service: how long answers take at a given load.

use types::Timestamp;

use super::{AnswerTime, EndpointSpeed, SpeedObservation, fit::LoadFit};

/// Time for a thousand prompt tokens before the first answer, in milliseconds.
const PRIOR_MS_PER_THOUSAND_TOKENS: f64 = 1_000.0 / 30.0;

/// Delay by each running request before the first answer, in milliseconds.
const PRIOR_MS_PER_REQUEST: f64 = 1.5;

/// Time to the first event of an empty prompt, and gap between two events, before the first
/// answer, in milliseconds.
const PRIOR_BASE_MS: f64 = 30.0;

/// Weight of a time to the first event relative to a gap, as it includes the wait in connections
/// and depends on what the endpoint has cached.
const FIRST_WEIGHT: f64 = 0.4;

/// Largest weight that one observation of an endpoint adds.
const OBSERVATION_WEIGHT_MAX: f64 = 1.5;

/// Largest factor by which an answer may differ from the model in its fit.
const FIT_OUTLIER_FACTOR: f64 = 3.0;

/// Answers from which on the model is good enough for endpoints to be compared with it.
const MODEL_ANSWERS_MIN: f64 = 40.0;

/// Endpoints in one report above which their common deviation is attributed to the reporting router.
const COMMON_DEVIATION_MIN: usize = 4;

/// Coefficients of the estimated cost of a request on an endpoint of mean speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementCosts {
    /// Time for one prompt token, in milliseconds.
    pub ms_per_token: f64,
    /// Delay by each running request, in milliseconds.
    pub ms_per_request: f64,
    /// Time that does not depend on the load, in milliseconds.
    pub base_ms: f64,
}

impl Default for PlacementCosts {
    fn default() -> PlacementCosts {
        PlacementCosts {
            ms_per_token: PRIOR_MS_PER_THOUSAND_TOKENS / 1_000.0,
            ms_per_request: PRIOR_MS_PER_REQUEST,
            base_ms: PRIOR_BASE_MS,
        }
    }
}

/// Model of the times of a service's answers against the load, for an endpoint of mean speed.
#[derive(Debug, Clone)]
pub struct ServiceSpeed {
    /// Time to the first event.
    first: LoadFit,
    /// Gap between two events.
    gap: LoadFit,
}

impl Default for ServiceSpeed {
    fn default() -> ServiceSpeed {
        let prior = [PRIOR_BASE_MS, PRIOR_MS_PER_THOUSAND_TOKENS, PRIOR_MS_PER_REQUEST];
        ServiceSpeed {
            first: LoadFit::new(prior),
            gap: LoadFit::new([PRIOR_BASE_MS, 0.0, PRIOR_MS_PER_REQUEST]),
        }
    }
}

impl ServiceSpeed {
    /// Records what one router observed of endpoints of this service. `endpoints` holds each one's
    /// speed and stated capacity, and `report` refers to it by index. If all differ from what is known
    /// by the same factor, that is attributed to the router.
    pub fn record(
        &mut self,
        endpoints: &mut [(EndpointSpeed, u32)],
        report: &[(usize, SpeedObservation)],
        now: Timestamp,
    ) {
        let report = report.iter().filter(|it| it.1.is_valid() && it.0 < endpoints.len());
        let report: Vec<(usize, SpeedObservation, f64)> =
            report.map(|(index, it)| (*index, *it, self.factor_of(it))).collect();
        let common = CommonDeviation::new(report.iter().map(|(index, it, factor)| {
            (matches!(it.time, AnswerTime::Gap(_)), endpoints[*index].0.deviation(*factor))
        }));
        self.first.decay(now);
        self.gap.decay(now);
        for (index, observation, factor) in report {
            let (speed, stated) = &mut endpoints[index];
            let weight = f64::from(observation.count).min(OBSERVATION_WEIGHT_MAX);
            let kind_weight = match observation.time {
                AnswerTime::First(_) if observation.tokens > 0.0 => FIRST_WEIGHT,
                AnswerTime::First(_) | AnswerTime::Gap(_) => 1.0,
            };
            let usual = speed.usual_factor();
            let fit = match observation.time {
                AnswerTime::First(_) => &mut self.first,
                AnswerTime::Gap(_) => &mut self.gap,
            };
            if fit.answers() >= MODEL_ANSWERS_MIN {
                let own_factor = factor / common.of(observation.time).exp();
                speed.record(own_factor, weight * kind_weight, observation.running, *stated, now);
            }
            let expected = observation.time.millis() / factor;
            let bounds = (expected / FIT_OUTLIER_FACTOR, expected * FIT_OUTLIER_FACTOR);
            let millis = (observation.time.millis() / usual).clamp(bounds.0, bounds.1);
            fit.add(observation.tokens, observation.running, millis, weight);
        }
        self.first.solve();
        self.gap.solve();
    }

    /// Returns the time of an answer relative to the model.
    fn factor_of(&self, observation: &SpeedObservation) -> f64 {
        let fit = match observation.time {
            AnswerTime::First(_) => &self.first,
            AnswerTime::Gap(_) => &self.gap,
        };
        observation.time.millis() / fit.predict(observation.tokens, observation.running)
    }
}

/// Median deviations of the answers in a report, as logarithms.
struct CommonDeviation {
    first: f64,
    gap: f64,
}

impl CommonDeviation {
    /// Computes the medians of deviations, each with whether it is that of a gap. If those of one
    /// kind are few, the median of all is taken.
    fn new(deviations: impl Iterator<Item = (bool, f64)>) -> CommonDeviation {
        let (gaps, firsts): (Vec<_>, Vec<_>) = deviations.partition(|it| it.0);
        let values = |it: &[(bool, f64)]| it.iter().map(|it| it.1).collect::<Vec<f64>>();
        let all = median([values(&gaps), values(&firsts)].concat()).unwrap_or_default();
        CommonDeviation {
            first: median(values(&firsts)).unwrap_or(all),
            gap: median(values(&gaps)).unwrap_or(all),
        }
    }

    fn of(&self, time: AnswerTime) -> f64 {
        match time {
            AnswerTime::First(_) => self.first,
            AnswerTime::Gap(_) => self.gap,
        }
    }
}

/// Returns the median; `None` if the values are few.
fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.len() < COMMON_DEVIATION_MIN {
        return None;
    }
    values.sort_by(f64::total_cmp);
    Some((values[values.len() / 2] + values[(values.len() - 1) / 2]) / 2.0)
}

#[cfg(test)]
#[path = "service_tests.rs"]
mod tests;
