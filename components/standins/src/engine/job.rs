//! Jobs of an engine.

use types::Priority;

/// Number of a job on its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request as the batching sees it.
#[derive(Debug, Clone)]
pub struct Job {
    /// Number of the job.
    pub id: JobId,
    /// Priority: a more urgent job enters the batch first.
    pub priority: Priority,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Tokens to generate.
    pub output_tokens: u64,
    /// Whether processing the prompt crashes the engine.
    pub is_poison: bool,
}
