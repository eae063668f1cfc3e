//! Counts and the report of the demo.

use scene::Tally;
use serde::Serialize;

/// What callers saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct CallerCounts {
    /// Requests sent, retries not counted.
    pub(crate) requests: u64,
    /// Requests answered.
    pub(crate) answered: u64,
    /// Requests refused for good.
    pub(crate) refused: u64,
    /// Non-idempotent calls that a killed router had sent: their outcome is unknown.
    pub(crate) outcome_unknown: u64,
    /// Other requests without an answer in time.
    pub(crate) unanswered: u64,
    /// Retries of callers.
    pub(crate) retries: u64,
    /// Answers that were taken as whole and are not.
    pub(crate) incomplete_answers: u64,
}

impl CallerCounts {
    /// Adds the counts of another caller.
    pub(crate) fn add(&mut self, other: &CallerCounts) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.refused += other.refused;
        self.outcome_unknown += other.outcome_unknown;
        self.unanswered += other.unanswered;
        self.retries += other.retries;
        self.incomplete_answers += other.incomplete_answers;
    }
}

/// The demo's result, printed as its last line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct DemoResult {
    /// What callers saw.
    #[serde(flatten)]
    pub(crate) callers: CallerCounts,
    /// What the endpoints' logs and the table say.
    #[serde(flatten)]
    pub(crate) tally: Tally,
    /// Graceful shutdowns that cut something off.
    pub(crate) cut_off_shutdowns: u64,
}

impl DemoResult {
    /// Tells whether every check holds.
    pub(crate) fn is_sound(&self) -> bool {
        let faults = [
            self.tally.overspent_tokens,
            self.tally.duplicate_bills,
            self.tally.duplicate_runs,
            self.callers.incomplete_answers,
            self.cut_off_shutdowns,
        ];
        faults.iter().all(|&count| count == 0)
    }

    /// Prints a summary for people and, last, one line of JSON.
    pub(crate) fn print(&self) {
        let (callers, tally) = (&self.callers, &self.tally);
        println!("Requests            {:>8}", callers.requests);
        println!("  answered          {:>8}", callers.answered);
        println!("  refused           {:>8}", callers.refused);
        println!("  outcome unknown   {:>8}", callers.outcome_unknown);
        println!("  unanswered        {:>8}", callers.unanswered);
        println!("  callers' retries  {:>8}", callers.retries);
        println!("Bills               {:>8}", tally.bills);
        println!("  tokens billed     {:>8}", tally.billed_tokens);
        println!("  tokens generated  {:>8}", tally.generated_tokens);
        println!("Must be 0:");
        println!("  overspent tokens  {:>8}", tally.overspent_tokens);
        println!("  duplicate bills   {:>8}", tally.duplicate_bills);
        println!("  duplicate runs    {:>8}", tally.duplicate_runs);
        println!("  incomplete answers{:>8}", callers.incomplete_answers);
        println!("  shutdowns cut off {:>8}", self.cut_off_shutdowns);
        println!("{}", serde_json::to_string(self).expect("the result has a JSON form"));
    }
}
