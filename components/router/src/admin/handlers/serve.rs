//! Wrapper around all handlers.

use std::future::Future;

use serde::Serialize;
use viz::{Request, Response};

use crate::{
    admin::{
        AdminError,
        context::{AdminCall, AdminContext},
        respond::respond,
    },
    http::bearer_key,
};

/// Authenticates a call, runs `handler`, and creates the response.
pub(in crate::admin) async fn serve<T, F>(
    cx: AdminContext,
    req: Request,
    handler: impl FnOnce(AdminContext, AdminCall, Request) -> F,
) -> Response
where
    T: Serialize,
    F: Future<Output = Result<T, AdminError>>,
{
    let call = cx.authenticate(bearer_key(req.headers())).await;
    match call {
        Ok(call) => respond(handler(cx, call, req).await),
        Err(error) => respond::<()>(Err(error.into())),
    }
}
