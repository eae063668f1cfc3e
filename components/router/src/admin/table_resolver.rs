//! Converts resolutions to writes of budget and request rows.

use std::sync::Arc;

use async_trait::async_trait;
use budget::{budget_key, grant_key, resolve_in_doubt};
use config::Resolution;
use errors::{Error, ErrorKind, Result};
use platform::{Commit, Table};
use requests::{AnswerBody, Holder, StoredAnswer, intent_key, resolve};
use types::{OperatorName, RequestKey, RouterId, UnixMillis};

use super::Resolver;
use crate::{
    configuration::{read_row, store_error},
    peers::Peers,
};

/// Body of the answer to a call that ran according to an operator's resolution.
const RESOLVED_BODY: &str = r#"{"resolved_by_operator":true}"#;

/// Converts resolutions to writes of budget and request rows.
pub(crate) struct TableResolver {
    /// The platform's table.
    table: Arc<dyn Table>,
    /// The other routers. Grants of live routers are not in doubt.
    peers: Arc<dyn Peers>,
}

impl TableResolver {
    /// Creates a resolver that reads from `table`.
    pub(crate) fn new(table: Arc<dyn Table>, peers: Arc<dyn Peers>) -> TableResolver {
        TableResolver { table, peers }
    }

    fn live_routers(&self) -> Vec<RouterId> {
        self.peers.view().members().map(|member| member.id.clone()).collect()
    }
}

#[async_trait]
impl Resolver for TableResolver {
    async fn prepare(&self, resolution: &Resolution, operator: &OperatorName) -> Result<Commit> {
        match resolution {
            Resolution::CloseGrant { account, router, incarnation, spent } => {
                let router = RouterId::new(router.clone(), *incarnation);
                let keys = [budget_key(account), grant_key(account, &router)];
                let rows = self.table.read(&keys).await.map_err(store_error)?;
                let rows = (rows[0].as_ref(), rows[1].as_ref());
                let (live, now) = (self.live_routers(), UnixMillis::now().0);
                resolve_in_doubt(account, &router, *spent, rows, &live, now)
                    .map_err(|error| resolution_error(resolution, &error))
            }
            Resolution::SettleRequest { account, request, ran, router_ended } => {
                let key = intent_key(&RequestKey::new(account.clone(), request.clone()));
                let row = read_row(&*self.table, &key).await?;
                let row =
                    row.ok_or_else(|| resolution_error(resolution, &"no such call is recorded"))?;
                let holder = if *router_ended { Holder::Ended } else { Holder::MayRun };
                resolve(&row, request_resolution(*ran), holder, operator)
                    .map_err(|error| resolution_error(resolution, &error))
            }
        }
    }
}

fn request_resolution(ran: bool) -> requests::Resolution {
    if !ran {
        return requests::Resolution::DidNotRun;
    }
    requests::Resolution::Ran(StoredAnswer {
        status: 200,
        content_type: "application/json".into(),
        body: AnswerBody::from_bytes(RESOLVED_BODY.as_bytes()),
        finish_reason: None,
        prompt_tokens: 0,
        completion_tokens: 0,
    })
}

fn resolution_error(resolution: &Resolution, reason: &dyn std::fmt::Display) -> Error {
    let message = format!("cannot {resolution}: {reason}");
    Error::new(ErrorKind::InvalidConfig, message)
}
