//! HTTP interface of an engine.

use engine_api::{
    ADAPTER_HEADER, CacheEvents, ChatRequest, KvExport, LoadState, MODEL_VERSION_HEADER, Order,
    OrderKind, OrderOutcome, PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_FROM_HEADER, prompt_blocks,
};
use types::Priority;
use viz::{IntoResponse, Request, RequestExt, Response, ResponseExt, Result, Router, StatusCode};

use super::{EngineState, chunks::encode_chunks};

pub(super) fn routes(state: &EngineState) -> Router {
    let (chat, load, orders) = (state.clone(), state.clone(), state.clone());
    let (cancel, events) = (state.clone(), state.clone());
    let (export, import) = (state.clone(), state.clone());
    Router::new()
        .post("/v1/chat/completions", move |req| serve_chat(chat.clone(), req))
        .delete("/v1/streams/*", move |req| cancel_stream(cancel.clone(), req))
        .get("/v1/load", move |_: Request| serve_load(load.clone()))
        .post("/v1/orders", move |req| serve_order(orders.clone(), req))
        .get("/v1/kv/*", move |req| export_kv(export.clone(), req))
        .post("/v1/kv", move |req| import_kv(import.clone(), req))
        .get("/v1/cache/events/:from", move |req| serve_events(events.clone(), req))
}

async fn serve_load(state: EngineState) -> Result<Response> {
    let report = state.lock().lagging_report();
    Ok(Response::json(report)?)
}

async fn serve_order(state: EngineState, mut req: Request) -> Result<Response> {
    let order: Order = req.json().await?;
    let outcome = state.lock().apply_order(&order);
    if let (OrderOutcome::Accepted, OrderKind::Load { model, version }) = (outcome, order.kind) {
        let load_time = state.lock().settings.load_time;
        tokio::spawn(async move {
            tokio::time::sleep(load_time).await;
            if let Some(loaded) = state.lock().find_model(&model, &version) {
                loaded.state = LoadState::Ready;
            }
        });
    }
    Ok(Response::json(outcome)?)
}

async fn serve_events(state: EngineState, req: Request) -> Result<Response> {
    let from: u64 = req.param("from")?;
    let (first, events) = state.lock().lagging_events(from);
    Ok(Response::json(CacheEvents { first, events })?)
}

/// Exports the KV cache of a stream's prompt, as the hashes of its blocks.
async fn export_kv(state: EngineState, req: Request) -> Result<Response> {
    let id = req.path().trim_start_matches("/v1/kv/");
    match state.lock().streams.get(id) {
        Some((stream, _)) => {
            Ok(Response::json(KvExport { blocks: prompt_blocks(&stream.messages) })?)
        }
        None => Ok(StatusCode::NOT_FOUND.into_response()),
    }
}

/// Adds a KV cache that another engine exported to the prefix cache.
async fn import_kv(state: EngineState, mut req: Request) -> Result<Response> {
    let export: KvExport = req.json().await?;
    state.lock().core.import_blocks(&export.blocks);
    Ok(StatusCode::NO_CONTENT.into_response())
}

async fn cancel_stream(state: EngineState, req: Request) -> Result<Response> {
    let id = req.path().trim_start_matches("/v1/streams/").to_owned();
    let mut shared = state.lock();
    shared.streams.remove(&id);
    let record = shared.log.records.iter().rposition(|record| record.request_id == id);
    let job = shared.jobs.iter().find(|(_, job)| Some(job.record) == record).map(|(id, _)| *id);
    if let Some(job) = job {
        shared.core.cancel(job);
        shared.jobs.remove(&job);
    }
    Ok(StatusCode::NO_CONTENT.into_response())
}

async fn serve_chat(state: EngineState, mut req: Request) -> Result<Response> {
    let id = header(&req, REQUEST_ID_HEADER).unwrap_or_default();
    let priority = match header(&req, PRIORITY_HEADER).as_deref() {
        Some("0") => Priority::Bulk,
        Some("2") => Priority::Urgent,
        _ => Priority::Normal,
    };
    let resume_from = header(&req, RESUME_FROM_HEADER).and_then(|text| text.parse().ok());
    let version = header(&req, MODEL_VERSION_HEADER);
    let adapter = header(&req, ADAPTER_HEADER);
    let chat: ChatRequest = req.json().await?;
    if !is_ready(&state, &chat.model, version.as_deref(), adapter.as_deref()) {
        return Ok((StatusCode::NOT_FOUND, "model not loaded").into_response());
    }
    let stream = state.open_stream(&id, priority, &chat, resume_from.is_some());
    let chunks = encode_chunks(id, chat.model, stream, resume_from.unwrap_or(0));
    let mut res = Response::stream(chunks);
    let event_stream = http::HeaderValue::from_static("text/event-stream");
    res.headers_mut().insert(http::header::CONTENT_TYPE, event_stream);
    Ok(res)
}

fn header(req: &Request, name: &str) -> Option<String> {
    req.headers().get(name)?.to_str().ok().map(str::to_owned)
}

fn is_ready(
    state: &EngineState,
    model: &str,
    version: Option<&str>,
    adapter: Option<&str>,
) -> bool {
    state.lock().models.iter().any(|it| {
        it.state == LoadState::Ready
            && it.model.as_str() == model
            && version.is_none_or(|version| it.version.as_str() == version)
            && adapter.is_none_or(|adapter| it.adapters.iter().any(|it| it.as_str() == adapter))
    })
}
