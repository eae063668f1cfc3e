//! Jobs of an engine.

use types::Priority;

/// Number of a job, unique on its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request as seen by the batch scheduler.
#[derive(Debug, Clone)]
pub struct Job {
    /// Number of the job on its engine.
    pub id: JobId,
    /// Priority. A more urgent job enters the batch first.
    pub priority: Priority,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's blocks, in order.
    pub blocks: Vec<u64>,
    /// Number of tokens to generate.
    pub output_tokens: u64,
    /// Whether processing the prompt crashes the engine.
    pub is_poison: bool,
}
