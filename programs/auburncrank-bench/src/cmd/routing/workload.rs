//! Generator of the callers' requests: urgent short questions in sessions, portal requests of
//! normal priority, and long requests of bulk priority.

use std::time::Duration;

use rand::Rng as _;
use standins::engine::{EngineCore, EngineEvent, EngineSettings, Job, JobId};
use types::{Priority, Timestamp};
use utils::{HashMap, Rng, stable_hash};

use super::{deployment::Deployment, request::RequestSpec};

/// Tokens per prompt block.
const BLOCK_TOKENS: u64 = 64;

/// Share of each client account in the requests, in percent: a few accounts are large.
const ACCOUNT_SHARES_PERCENT: [u32; 10] = [30, 20, 15, 10, 5, 5, 5, 4, 3, 3];

/// Number of blocks that all prompts of an account begin with.
const ACCOUNT_BLOCKS: u64 = 8;

/// Share of short questions, which are urgent, in percent.
const URGENT_PERCENT: u32 = 40;

/// Share of portal requests, which have normal priority, in percent.
const NORMAL_PERCENT: u32 = 20;

/// Number of concurrent sessions of each account on each router.
const SESSIONS_PER_ACCOUNT: u64 = 4;

/// Number of turns after which a session is replaced by a new one.
const SESSION_TURNS_MAX: u64 = 12;

/// Number of blocks that a turn adds to the history of its session.
const TURN_BLOCKS: u64 = 4;

/// Prompt tokens of a portal request, in addition to the account's shared blocks.
const NORMAL_PROMPT_TOKENS: u64 = 192;

/// Mean numbers of tokens in answers.
const URGENT_OUTPUT_TOKENS: u64 = 60;
const NORMAL_OUTPUT_TOKENS: u64 = 80;

/// Number of requests in the run that measures the capacity.
const CAPACITY_REQUESTS: u64 = 4_000;

/// Time between two requests of the caller whose content crashes engines.
const POISON_INTERVAL: Duration = Duration::from_secs(2);

/// Capacity of the engines for this workload.
#[derive(Debug, Clone, Copy)]
pub(super) struct Capacity {
    /// Requests per second of all engines.
    pub(super) requests_per_s: f64,
    /// Generated tokens per second of all engines.
    pub(super) tokens_per_s: f64,
}

/// Generator of random requests.
#[derive(Debug)]
pub(super) struct Workload {
    /// Deployment that receives the requests.
    deployment: &'static Deployment,
    /// Source of the random numbers.
    rng: Rng,
    /// Turns and epoch of each session, by router, account and session number. The epoch is the
    /// number of earlier sessions that it replaced.
    sessions: HashMap<(usize, usize, u64), (u64, u64)>,
    /// Number of the latest request.
    last_request: u64,
}

impl Workload {
    pub(super) fn new(deployment: &'static Deployment, rng: Rng) -> Workload {
        Workload { deployment, rng, sessions: HashMap::default(), last_request: 0 }
    }

    /// Returns requests that arrive at `rate` per second until `end`.
    pub(super) fn arrivals(&mut self, rate: f64, end: Timestamp) -> Vec<RequestSpec> {
        let mut specs = Vec::new();
        let mut at = Timestamp::ZERO;
        loop {
            let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
            at = at + Duration::from_secs_f64(-draw.ln() / rate);
            if at >= end {
                return specs;
            }
            specs.push(self.next_request(at));
        }
    }

    /// Returns the requests of a caller whose content crashes engines.
    pub(super) fn poison_arrivals(&mut self, start: Timestamp, end: Timestamp) -> Vec<RequestSpec> {
        let mut specs = Vec::new();
        let mut at = start;
        while at < end {
            let router = self.rng.random_range(0..self.deployment.routers);
            specs.push(RequestSpec {
                sent_at: at,
                router,
                account: 0,
                priority: Priority::Bulk,
                blocks: account_blocks(0).chain([stable_hash(&[b"poison"])]).collect(),
                prompt_tokens: (ACCOUNT_BLOCKS + 2) * BLOCK_TOKENS,
                output_tokens: 100,
                is_poison: true,
            });
            at = at + POISON_INTERVAL;
        }
        specs
    }

    /// Measures the capacity of the engines with only the accounts' shared blocks in the cache.
    pub(super) fn measure_capacity(&mut self) -> Capacity {
        let settings = EngineSettings::default();
        let batch = u64::from(settings.max_batch);
        let mut engine = EngineCore::new(settings);
        let (mut sent, mut ended, mut tokens, mut time) = (0, 0, 0_u64, Duration::ZERO);
        while ended < CAPACITY_REQUESTS {
            while sent < ended + 2 * batch {
                let spec = self.next_request(Timestamp::ZERO);
                sent += 1;
                engine.submit(cold_job(JobId(sent), &spec));
            }
            let Some(step) = engine.step() else { break };
            time += step.duration;
            tokens += step.events.len() as u64;
            let is_end = |event: &&EngineEvent| matches!(event, EngineEvent::Finished(_));
            ended += step.events.iter().filter(is_end).count() as u64;
        }
        let per_s = self.deployment.engines as f64 / time.as_secs_f64();
        Capacity { requests_per_s: ended as f64 * per_s, tokens_per_s: tokens as f64 * per_s }
    }

    fn next_request(&mut self, sent_at: Timestamp) -> RequestSpec {
        self.last_request += 1;
        let router = self.rng.random_range(0..self.deployment.routers);
        let account = self.draw_account();
        let draw = self.rng.random_range(0..100);
        if draw < URGENT_PERCENT {
            self.session_request(sent_at, router, account)
        } else if draw < URGENT_PERCENT + NORMAL_PERCENT {
            let (prompt, output) = (NORMAL_PROMPT_TOKENS, NORMAL_OUTPUT_TOKENS);
            self.standalone_request(sent_at, router, account, Priority::Normal, prompt, output)
        } else {
            let prompt = self.deployment.bulk_prompt_tokens;
            let output = self.deployment.bulk_output_tokens;
            self.standalone_request(sent_at, router, account, Priority::Bulk, prompt, output)
        }
    }

    /// Returns the next question of a session. Its prompt contains the earlier turns.
    fn session_request(
        &mut self,
        sent_at: Timestamp,
        router: usize,
        account: usize,
    ) -> RequestSpec {
        let number = self.rng.random_range(0..SESSIONS_PER_ACCOUNT);
        let (turns, epoch) = self.sessions.entry((router, account, number)).or_default();
        if *turns >= SESSION_TURNS_MAX {
            (*turns, *epoch) = (0, *epoch + 1);
        }
        *turns += 1;
        let (turns, epoch) = (*turns, *epoch);
        let session = stable_hash(&[
            b"session",
            &(router as u64).to_le_bytes(),
            &(account as u64).to_le_bytes(),
            &number.to_le_bytes(),
            &epoch.to_le_bytes(),
        ]);
        let history = (0..turns * TURN_BLOCKS).map(|block| mix(session, block));
        let blocks: Vec<u64> = account_blocks(account).chain(history).collect();
        let prompt_tokens = blocks.len() as u64 * BLOCK_TOKENS + BLOCK_TOKENS / 2;
        let output_tokens = self.draw_output(URGENT_OUTPUT_TOKENS);
        let (priority, is_poison) = (Priority::Urgent, false);
        RequestSpec {
            sent_at,
            router,
            account,
            priority,
            blocks,
            prompt_tokens,
            output_tokens,
            is_poison,
        }
    }

    /// Returns a request whose prompt shares only the account's blocks with other requests.
    fn standalone_request(
        &mut self,
        sent_at: Timestamp,
        router: usize,
        account: usize,
        priority: Priority,
        own_prompt_tokens: u64,
        mean_output_tokens: u64,
    ) -> RequestSpec {
        let seed = mix(stable_hash(&[b"single"]), self.last_request);
        let own = (0..own_prompt_tokens / BLOCK_TOKENS).map(|block| mix(seed, block));
        RequestSpec {
            sent_at,
            router,
            account,
            priority,
            blocks: account_blocks(account).chain(own).collect(),
            prompt_tokens: ACCOUNT_BLOCKS * BLOCK_TOKENS + own_prompt_tokens,
            output_tokens: self.draw_output(mean_output_tokens),
            is_poison: false,
        }
    }

    fn draw_account(&mut self) -> usize {
        let mut draw = self.rng.random_range(0..ACCOUNT_SHARES_PERCENT.iter().sum());
        for (account, &share) in ACCOUNT_SHARES_PERCENT.iter().enumerate() {
            if draw < share {
                return account;
            }
            draw -= share;
        }
        0
    }

    fn draw_output(&mut self, mean: u64) -> u64 {
        self.rng.random_range(mean / 2..=mean * 3 / 2)
    }
}

/// Returns a job whose prompt shares only the account's blocks with other jobs.
fn cold_job(id: JobId, spec: &RequestSpec) -> Job {
    let shared = usize::try_from(ACCOUNT_BLOCKS).unwrap_or(usize::MAX);
    let cold =
        |(index, &block): (usize, &u64)| if index < shared { block } else { mix(block, id.0) };
    Job {
        id,
        priority: Priority::Normal,
        prompt_tokens: spec.prompt_tokens,
        blocks: spec.blocks.iter().enumerate().map(cold).collect(),
        output_tokens: spec.output_tokens,
        is_poison: false,
    }
}

fn account_blocks(account: usize) -> impl Iterator<Item = u64> {
    let seed = stable_hash(&[b"account", &(account as u64).to_le_bytes()]);
    (0..ACCOUNT_BLOCKS).map(move |block| mix(seed, block))
}

/// Mixes both arguments into a pseudo-random number (SplitMix64).
fn mix(seed: u64, number: u64) -> u64 {
    let mut bits = seed.wrapping_add(number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
