//! Counts of the callers and the result of the demo.

use scene::Tally;
use serde::Serialize;

/// Outcomes of requests, as callers saw them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct CallerCounts {
    /// Requests sent, not counting retries.
    pub(crate) requests: u64,
    /// Requests answered.
    pub(crate) answered: u64,
    /// Requests that the fleet refused and that no retry can complete.
    pub(crate) refused: u64,
    /// Non-idempotent calls whose outcome is unknown, because their router was killed after it
    /// had sent them.
    pub(crate) outcome_unknown: u64,
    /// Other requests that were not answered in time.
    pub(crate) unanswered: u64,
    /// Retries by callers.
    pub(crate) retries: u64,
    /// Answers that callers accepted as complete although they are not.
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

/// Result of the demo. The last line of the output is its JSON form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct DemoResult {
    /// Counts of all callers.
    #[serde(flatten)]
    pub(crate) callers: CallerCounts,
    /// Counts from the endpoints' logs and from the platform's table.
    #[serde(flatten)]
    pub(crate) tally: Tally,
    /// Graceful shutdowns that failed, for instance because they cut off requests.
    pub(crate) cut_off_shutdowns: u64,
}

impl DemoResult {
    /// Reports whether all checks passed.
    pub(crate) fn all_checks_pass(&self) -> bool {
        let violations = [
            self.tally.overspent_tokens,
            self.tally.duplicate_bills,
            self.tally.duplicate_runs,
            self.callers.incomplete_answers,
            self.cut_off_shutdowns,
        ];
        violations.iter().all(|&count| count == 0)
    }

    /// Prints a summary for people and then, as the last line, a JSON object.
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
        println!("{}", serde_json::to_string(self).expect("the result serializes to JSON"));
    }
}
