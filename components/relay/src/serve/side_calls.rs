//! Auxiliary API: readiness, router addresses and metrics.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;
use telemetry::MetricsHandle;
use utils::Rng;

use super::body::ResponseBody;
use crate::{
    context::RelayContext,
    peers::{Member, RouterLoad},
    room::{ListedRouter, RouterRoom, draw_list, is_drawn_by_room},
};

/// Maximum number of addresses in an answer.
const ADDRESSES_MAX: usize = 64;

/// Number of addresses up to which an answer is filled with those of crowded routers.
const ADDRESSES_MIN: usize = 3;

/// Serves readiness, router addresses and metrics; each listener serves all of them.
#[derive(Clone)]
pub(crate) struct AuxiliaryApi {
    /// Shared state of the relay.
    pub(crate) cx: Arc<RelayContext>,
    /// Metrics of the process.
    pub(crate) metrics: MetricsHandle,
}

impl AuxiliaryApi {
    /// Answers one call.
    pub(super) fn serve(
        &self,
        req: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let (head, _) = req.into_parts();
        let cx = &self.cx;
        if cx.dialect.is_readiness_call(&head) {
            let status =
                if cx.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return Ok(answer(status, "text/plain", Bytes::new()));
        }
        if let Some(failure_domain) = cx.dialect.read_address_call(&head) {
            return Ok(self.serve_addresses(failure_domain.as_deref()));
        }
        if head.uri.path() == "/metrics" {
            return Ok(answer(StatusCode::OK, "text/plain", self.metrics.render().into()));
        }
        Ok(answer(StatusCode::NOT_FOUND, "text/plain", Bytes::new()))
    }

    fn serve_addresses(&self, failure_domain: Option<&str>) -> Response<ResponseBody> {
        metrics::counter!(telemetry::ADDRESS_ANSWERS_TOTAL).increment(1);
        let cx = &self.cx;
        let own = cx.self_status();
        let roster = cx.lock_roster();
        let mut members = roster.ready_members(cx.now());
        if own.is_ready {
            members.push(&own);
        }
        let rooms: Vec<RouterRoom> = members.iter().map(|it| it.room).collect();
        if is_drawn_by_room(&rooms) {
            let addresses = draw_addresses(&members, failure_domain, &mut cx.lock_rng());
            let body = cx.dialect.write_addresses(&addresses, cx.settings.addresses_max_age);
            return answer(StatusCode::OK, "application/json", body);
        }
        let loads: Vec<RouterLoad> = members.iter().map(|it| it.load()).collect();
        let mean = RouterLoad::mean(&loads);
        // Crowded routers come last: they are listed only if there are few others.
        members.sort_by_key(|it| {
            (it.load().is_crowded(mean), Some(&*it.failure_domain) != failure_domain)
        });
        let uncrowded = members.iter().filter(|it| !it.load().is_crowded(mean)).count();
        members.truncate(uncrowded.max(ADDRESSES_MIN));
        let addresses: Vec<_> =
            members.iter().take(ADDRESSES_MAX).map(|it| it.caller_address).collect();
        if addresses.is_empty() {
            return answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Bytes::new());
        }
        let body = cx.dialect.write_addresses(&addresses, cx.settings.addresses_max_age);
        answer(StatusCode::OK, "application/json", body)
    }
}

/// Draws the addresses for a caller in `failure_domain` by the routers' room.
fn draw_addresses(
    members: &[&Member],
    failure_domain: Option<&str>,
    rng: &mut Rng,
) -> Vec<SocketAddr> {
    let listed: Vec<ListedRouter> = members
        .iter()
        .map(|it| ListedRouter { failure_domain: it.failure_domain.clone(), room: it.room })
        .collect();
    let drawn = draw_list(&listed, failure_domain, rng);
    drawn.into_iter().map(|index| members[index].caller_address).collect()
}

fn answer(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<ResponseBody> {
    let mut res = Response::new(ResponseBody::Whole(Some(body)));
    *res.status_mut() = status;
    res.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    res
}
