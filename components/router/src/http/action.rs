//! Actions of services.

use std::sync::Arc;

use errors::{Error, ErrorKind, Result};
use http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE};
use types::{ActionName, RequestId, RequestKey};
use utils::Digest;
use viz::{Body, Request, RequestExt, Response};

use super::{
    HttpContext,
    auth::admit_caller,
    request_head::{deadline, request_id},
    respond::{respond_error, respond_with_id},
};
use crate::{
    answer::{AnswerEvent, AnswerLog},
    registry::{Begin, BeginRequest},
    traffic::ActionJob,
};

/// Serves `POST /v1/actions/NAME`.
pub(super) async fn serve_action(cx: HttpContext, mut req: Request) -> viz::Result<Response> {
    metrics::counter!(telemetry::REQUESTS_TOTAL, "interface" => "action").increment(1);
    let headers = req.headers().clone();
    let id = match request_id(&headers) {
        Ok(id) => id,
        Err(error) => return Ok(respond_error(&error, None)),
    };
    let result = answer_action(&cx, &headers, &mut req, &id).await;
    Ok(respond_with_id(result, &id))
}

async fn answer_action(
    cx: &HttpContext,
    headers: &HeaderMap,
    req: &mut Request,
    id: &RequestId,
) -> Result<Response> {
    let cfg = cx.router.cfg.load_full();
    let (account_name, account) = admit_caller(cx, &cfg, headers)?;
    let deadline = deadline(headers, &cx.router.clock)?;
    let name = req.param::<String>("name").ok().and_then(|name| ActionName::new(&name).ok());
    let allowed = name.filter(|name| account.actions.contains(name));
    let found = allowed.as_ref().and_then(|name| Some((name, cfg.actions.get(name)?)));
    let Some((name, action)) = found else {
        return Err(Error::new(
            ErrorKind::UnknownAction,
            "unknown action, or the client account has no access to it",
        ));
    };
    let body = cx.bodies.read(req).await?;
    let content = [name.as_str().as_bytes(), b"\n", body.bytes()].concat();
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let job = ActionJob {
        key: RequestKey::new(account_name.clone(), id.clone()),
        fingerprint: Digest::from_content(&content),
        action: action.clone(),
        account: account.clone(),
        content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
        body: body.bytes().clone(),
        deadline,
    };
    let log = begin_action(cx, job).await?;
    respond_complete(&log).await
}

async fn begin_action(cx: &HttpContext, job: ActionJob) -> Result<Arc<AnswerLog>> {
    let begin = BeginRequest {
        key: job.key.clone(),
        fingerprint: job.fingerprint,
        idempotent: job.action.idempotent,
        deadline: job.deadline,
    };
    match cx.router.registry.begin(&begin).await? {
        Begin::Run(log) => {
            cx.runs.start_action(job, log.clone());
            Ok(log)
        }
        Begin::Join(log) => Ok(log),
    }
}

/// Waits until the answer is complete and returns it.
async fn respond_complete(log: &Arc<AnswerLog>) -> Result<Response> {
    let mut reader = log.reader();
    while let Some(event) = reader.next().await {
        match event {
            AnswerEvent::Failed(error) => return Err(error),
            AnswerEvent::End(_) => break,
            AnswerEvent::Head(_) | AnswerEvent::Part(_) => {}
        }
    }
    let head = log.head();
    let head =
        head.ok_or_else(|| Error::new(ErrorKind::Internal, "the answer ended without a status"))?;
    let mut res = Response::new(Body::Full(log.body().into()));
    *res.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(content_type) = HeaderValue::from_str(&head.content_type) {
        res.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    Ok(res)
}
