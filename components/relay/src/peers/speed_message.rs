//! Times of endpoints' answers in messages between routers.

use prost::Message;
use routing::{AnswerTime, SpeedObservation};

use crate::endpoints::SpeedReport;

/// Unit of [`SpeedMessage::tenths`], as a number of units per millisecond.
const UNITS_PER_MS: f64 = 10.0;

/// Answers that the sender observed in the last second. The lists have the same length, and each
/// observation has the same index in all of them, so that it takes about ten bytes.
#[derive(Clone, PartialEq, Message)]
pub struct SpeedMessage {
    /// Keys of the endpoints.
    #[prost(fixed32, repeated, tag = "1")]
    pub keys: Vec<u32>,
    /// Mean times, in tenths of a millisecond.
    #[prost(uint32, repeated, tag = "2")]
    pub tenths: Vec<u32>,
    /// Whether the times are gaps between events, not times to the first one.
    #[prost(bool, repeated, tag = "3")]
    pub are_gaps: Vec<bool>,
    /// Mean numbers of requests that ran on the endpoints.
    #[prost(uint32, repeated, tag = "4")]
    pub running: Vec<u32>,
    /// Mean numbers of prompt tokens before the first event.
    #[prost(uint32, repeated, tag = "5")]
    pub tokens: Vec<u32>,
    /// Numbers of answers.
    #[prost(uint32, repeated, tag = "6")]
    pub counts: Vec<u32>,
}

impl SpeedMessage {
    /// Creates a message from reports; `None` if there are none.
    pub fn from_reports(reports: &[SpeedReport]) -> Option<SpeedMessage> {
        if reports.is_empty() {
            return None;
        }
        let mut message = SpeedMessage::default();
        for SpeedReport { key, observation } in reports {
            message.keys.push(*key);
            message.tenths.push(round(observation.time.millis() * UNITS_PER_MS));
            message.are_gaps.push(matches!(observation.time, AnswerTime::Gap(_)));
            message.running.push(round(observation.running));
            message.tokens.push(round(observation.tokens));
            message.counts.push(observation.count);
        }
        Some(message)
    }

    /// Returns the reports; none if the lists differ in length.
    pub fn to_reports(&self) -> Vec<SpeedReport> {
        let lens = [self.tenths.len(), self.are_gaps.len(), self.running.len()];
        let more_lens = [self.tokens.len(), self.counts.len()];
        if lens.iter().chain(&more_lens).any(|it| *it != self.keys.len()) {
            return Vec::new();
        }
        let reports = (0..self.keys.len()).map(|index| {
            let millis = f64::from(self.tenths[index]) / UNITS_PER_MS;
            let time = match self.are_gaps[index] {
                true => AnswerTime::Gap(millis),
                false => AnswerTime::First(millis),
            };
            let observation = SpeedObservation {
                time,
                running: f64::from(self.running[index]),
                tokens: f64::from(self.tokens[index]),
                count: self.counts[index],
            };
            SpeedReport { key: self.keys[index], observation }
        });
        reports.collect()
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the cast saturates")]
fn round(value: f64) -> u32 {
    value.round() as u32
}
