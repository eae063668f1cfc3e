//! Times of answers, with the load under which they were made.

/// Part of an answer whose time was measured, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerTime {
    /// From sending to the first event, or to the end of an answer without events.
    First(f64),
    /// Between two events of a stream.
    Gap(f64),
}

impl AnswerTime {
    /// Returns the time, in milliseconds.
    pub fn millis(self) -> f64 {
        match self {
            AnswerTime::First(it) | AnswerTime::Gap(it) => it,
        }
    }
}

/// Measured times of one or several answers of an endpoint: their means.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedObservation {
    /// Mean time.
    pub time: AnswerTime,
    /// Mean number of requests that ran on the endpoint at the same time.
    pub running: f64,
    /// Mean number of prompt tokens that the endpoint had to process before the first event; zero
    /// for a gap.
    pub tokens: f64,
    /// Number of answers.
    pub count: u32,
}

impl SpeedObservation {
    /// Reports whether both are times to the first event, or both gaps.
    pub fn is_same_kind(&self, other: &SpeedObservation) -> bool {
        matches!(self.time, AnswerTime::First(_)) == matches!(other.time, AnswerTime::First(_))
    }

    /// Adds an observation of the same kind.
    pub(super) fn merge(&mut self, other: &SpeedObservation) {
        let (own, added) = (f64::from(self.count), f64::from(other.count));
        let share = added / (own + added).max(1.0);
        let mean = |a: f64, b: f64| a + (b - a) * share;
        let millis = mean(self.time.millis(), other.time.millis());
        self.time = match self.time {
            AnswerTime::First(_) => AnswerTime::First(millis),
            AnswerTime::Gap(_) => AnswerTime::Gap(millis),
        };
        self.running = mean(self.running, other.running);
        self.tokens = mean(self.tokens, other.tokens);
        self.count += other.count;
    }

    /// Reports whether all values are finite and in their range.
    pub(super) fn is_valid(&self) -> bool {
        let millis = self.time.millis();
        let in_range = |it: f64, max: f64| it.is_finite() && (0.0..=max).contains(&it);
        in_range(millis, 600_000.0)
            && millis > 0.0
            && in_range(self.running, 1e6)
            && in_range(self.tokens, 1e8)
            && self.count > 0
    }
}
