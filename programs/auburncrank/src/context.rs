//! What commands need.

use std::{net::SocketAddr, time::Duration};

use client::AdminClient;
use config::ApiKey;
use settings::{SettingFaults, SettingValues};
use types::{PlanId, RequestId};

use crate::exit::CommandError;

/// What commands need: the settings and the arguments after the command's name.
pub(crate) struct CommandContext {
    /// Addresses of routers.
    pub(crate) routers: Vec<SocketAddr>,
    /// Key; empty where none is given.
    key: String,
    /// Whether answers are printed as JSON.
    pub(crate) json: bool,
    /// Whether a plan without effects that need care is confirmed at once.
    pub(crate) yes: bool,
    /// Plan that is confirmed in place of a new one.
    pub(crate) confirm: Option<PlanId>,
    /// Id of the request or deposit.
    pub(crate) id: Option<String>,
    /// Whether the operator has made sure that the router in question has ended.
    pub(crate) router_ended: bool,
    /// Where a list continues.
    pub(crate) after: Option<String>,
    /// Most tokens of an answer.
    pub(crate) max_tokens: u64,
    /// Whether a chat's answer is streamed.
    pub(crate) stream: bool,
    /// Longest time of a call with all its tries.
    pub(crate) timeout: Duration,
    /// Arguments after the command's name.
    pub(crate) arguments: Vec<String>,
}

impl CommandContext {
    /// Reads the settings.
    pub(crate) fn from_settings(
        values: &SettingValues,
        arguments: Vec<String>,
        faults: &mut SettingFaults,
    ) -> CommandContext {
        let confirm = values.optional("confirm").filter(|text| !text.is_empty());
        CommandContext {
            routers: values.list("router", faults),
            key: values.optional("key").unwrap_or_default().to_owned(),
            json: values.is_on("json"),
            yes: values.is_on("yes"),
            confirm: confirm.and_then(|_| values.parse("confirm", faults)),
            id: values.optional("id").map(str::to_owned),
            router_ended: values.is_on("router-ended"),
            after: values.optional("after").map(str::to_owned),
            max_tokens: values.parse("max-tokens", faults).unwrap_or_default(),
            stream: values.is_on("stream"),
            timeout: values.duration("timeout", faults),
            arguments,
        }
    }

    /// Returns the key.
    pub(crate) fn key(&self) -> Result<ApiKey, CommandError> {
        if self.key.is_empty() {
            let message = "--key: missing; give it or set AUBURNCRANK_KEY";
            return Err(CommandError::Usage(message.to_owned()));
        }
        Ok(ApiKey::new(&self.key))
    }

    /// Returns the client of the administration API.
    pub(crate) fn admin(&self) -> Result<AdminClient, CommandError> {
        if self.routers.is_empty() {
            let message = "--router: missing; give it or set AUBURNCRANK_ROUTER";
            return Err(CommandError::Usage(message.to_owned()));
        }
        self.admin_for(self.routers.clone())
    }

    /// Returns a client of the administration API of `routers`.
    pub(crate) fn admin_for(&self, routers: Vec<SocketAddr>) -> Result<AdminClient, CommandError> {
        let on_retry = |line: &str| eprintln!("trying again: {line}");
        Ok(AdminClient::new(routers, self.key()?, self.timeout, on_retry))
    }

    /// Returns the arguments as an array; `usage` is what the command expects.
    pub(crate) fn expect_arguments<const N: usize>(
        &self,
        usage: &str,
    ) -> Result<[&str; N], CommandError> {
        let arguments: Vec<_> = self.arguments.iter().map(String::as_str).collect();
        <[&str; N]>::try_from(arguments)
            .map_err(|_| CommandError::Usage(format!("usage: auburncrank {usage}")))
    }

    /// Returns the id of the request, or a new one.
    pub(crate) fn request_id(&self) -> Result<RequestId, CommandError> {
        use rand::Rng as _;
        let text = match &self.id {
            Some(id) => id.clone(),
            None => format!("{:032x}", utils::new_rng().random::<u128>()),
        };
        RequestId::new(&text).map_err(|error| CommandError::Usage(format!("--id: {error}")))
    }
}
