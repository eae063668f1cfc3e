//! Continuous batching: which jobs each engine step works on, and for how long.

use std::{collections::VecDeque, time::Duration};

use super::{EngineSettings, Job, JobId, PrefixCache};

/// Tokens per cached block.
const TOKENS_PER_BLOCK: u64 = (engine_api::BLOCK_BYTES / 4) as u64;

/// Event of a job in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// The job's next token was generated.
    Token(JobId),
    /// The job's last token was generated.
    Finished(JobId),
    /// The job's prompt crashed the engine, which ends all jobs.
    Crashed(JobId),
}

/// One step of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Duration of the step. Its events happen at its end.
    pub duration: Duration,
    /// One event for each job that generated a token, or a single crash.
    pub events: Vec<EngineEvent>,
}

/// The engine's batch scheduler. It reads no clock: [`step`](EngineCore::step) returns how long the
/// step takes.
#[derive(Debug)]
pub struct EngineCore {
    settings: EngineSettings,
    /// Jobs in the batch, at most `max_batch`.
    running: Vec<Sequence>,
    /// Jobs waiting for the batch, ordered by descending priority, then by age.
    waiting: VecDeque<Job>,
    cache: PrefixCache,
    /// Prompt blocks looked up in the cache so far.
    blocks_seen: u64,
    /// Prompt blocks found in the cache so far.
    blocks_hit: u64,
}

/// A job in the batch.
#[derive(Debug)]
struct Sequence {
    job: Job,
    /// Prompt tokens not processed yet.
    prompt_left: u64,
    /// Output tokens not generated yet.
    output_left: u64,
}

impl EngineCore {
    /// Creates an idle engine.
    pub fn new(settings: EngineSettings) -> EngineCore {
        EngineCore {
            cache: PrefixCache::new(settings.cache_blocks),
            settings,
            running: Vec::new(),
            waiting: VecDeque::new(),
            blocks_seen: 0,
            blocks_hit: 0,
        }
    }

    /// Adds a job to the queue, behind the waiting jobs of the same or a higher priority.
    pub fn submit(&mut self, job: Job) {
        let index = self.waiting.iter().position(|other| other.priority < job.priority);
        self.waiting.insert(index.unwrap_or(self.waiting.len()), job);
    }

    /// Removes a waiting or running job. Does nothing if the job has ended.
    pub fn cancel(&mut self, id: JobId) {
        self.waiting.retain(|job| job.id != id);
        self.running.retain(|sequence| sequence.job.id != id);
    }

    /// Adds blocks that another engine exported to the prefix cache.
    pub fn import_blocks(&mut self, blocks: &[u64]) {
        self.cache.use_blocks(blocks);
    }

    /// Returns the number of jobs in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of jobs waiting for the batch.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of prompt tokens not processed yet, over all jobs.
    pub fn pending_prompt_tokens(&self) -> u64 {
        let running: u64 = self.running.iter().map(|sequence| sequence.prompt_left).sum();
        running + self.waiting.iter().map(|job| job.prompt_tokens).sum::<u64>()
    }

    /// Returns how many prompt blocks were looked up in the cache so far, and how many were found.
    pub fn cache_counts(&self) -> (u64, u64) {
        (self.blocks_seen, self.blocks_hit)
    }

    /// Returns the prefix cache, for reading its events.
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// Performs one step; returns `None` if there are no jobs.
    pub fn step(&mut self) -> Option<Step> {
        self.fill_batch();
        if self.running.is_empty() {
            return None;
        }
        if let Some(poison) = self.running.iter().find(|sequence| sequence.job.is_poison) {
            let events = vec![EngineEvent::Crashed(poison.job.id)];
            return Some(Step { duration: self.settings.step_base, events });
        }
        let processed = self.process_prompts();
        let events = self.generate_tokens();
        let batch = u32::try_from(events.len()).unwrap_or(u32::MAX);
        let prompt_tokens = u32::try_from(processed).unwrap_or(u32::MAX);
        let duration = self.settings.step_base
            + self.settings.step_per_request * batch
            + self.settings.step_per_prompt_token * prompt_tokens;
        self.running.retain(|sequence| sequence.output_left > 0);
        Some(Step { duration, events })
    }

    fn fill_batch(&mut self) {
        let max_batch = self.settings.max_batch as usize;
        while self.running.len() < max_batch {
            let Some(job) = self.waiting.pop_front() else { break };
            let hits = self.cache.use_blocks(&job.blocks);
            self.blocks_seen += job.blocks.len() as u64;
            self.blocks_hit += hits as u64;
            let cached = hits as u64 * TOKENS_PER_BLOCK;
            let prompt_left = job.prompt_tokens.saturating_sub(cached).max(1);
            self.running.push(Sequence { output_left: job.output_tokens, prompt_left, job });
        }
    }

    /// Processes prompts in batch order up to the limit per step; returns the tokens processed.
    fn process_prompts(&mut self) -> u64 {
        let mut remaining = self.settings.prompt_tokens_per_step;
        for sequence in &mut self.running {
            let tokens = sequence.prompt_left.min(remaining);
            sequence.prompt_left -= tokens;
            remaining -= tokens;
        }
        self.settings.prompt_tokens_per_step - remaining
    }

    /// Generates one token for each job whose prompt is fully processed.
    fn generate_tokens(&mut self) -> Vec<EngineEvent> {
        let ready = self.running.iter_mut().filter(|sequence| sequence.prompt_left == 0);
        ready
            .map(|sequence| {
                sequence.output_left = sequence.output_left.saturating_sub(1);
                match sequence.output_left {
                    0 => EngineEvent::Finished(sequence.job.id),
                    _ => EngineEvent::Token(sequence.job.id),
                }
            })
            .collect()
    }
}

#[cfg(test)]
#[path = "core_tests.rs"]
mod tests;
