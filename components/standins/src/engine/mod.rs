//! Stand-in for a model engine.

mod answer;
mod chunks;
mod core;
mod handlers;
mod job;
mod log;
mod prefix_cache;
mod process;
mod server;
mod settings;
mod state;
mod stream;

pub use self::{
    answer::{expected_answer, expected_tokens, is_poison, prompt_tokens, token_text},
    core::{EngineCore, EngineEvent, Step},
    job::{Job, JobId},
    log::{EngineLog, EngineRecord},
    prefix_cache::PrefixCache,
    server::EngineServer,
    settings::EngineSettings,
    state::EngineState,
};
