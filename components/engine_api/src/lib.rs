//! Wire format of the API of model engines: chat completions, load reports, orders and cache
//! events.

mod cache_event;
mod chat_chunk;
mod chat_completion;
mod chat_request;
mod headers;
mod kv_export;
mod load_report;
mod order;
mod prompt;
mod sse;
mod usage;

pub use self::{
    cache_event::{CacheEvent, CacheEvents},
    chat_chunk::{ChatChunk, ChunkChoice, ChunkDelta},
    chat_completion::{ChatCompletion, CompletionChoice},
    chat_request::{ChatMessage, ChatRequest, StreamOptions},
    headers::{
        ADAPTER_HEADER, FENCING_HEADER, MODEL_VERSION_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER,
        RESUME_FROM_HEADER,
    },
    kv_export::KvExport,
    load_report::{LoadReport, LoadState, LoadedModel},
    order::{Order, OrderKind, OrderOutcome},
    prompt::{BLOCK_BYTES, prompt_blocks, prompt_tokens_bound},
    sse::{DONE_MARK, SseDecoder, encode_event},
    usage::Usage,
};
