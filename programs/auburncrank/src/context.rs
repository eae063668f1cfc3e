//! Settings and arguments of a command.

use std::{net::SocketAddr, time::Duration};

use client::AdminClient;
use config::ApiKey;
use settings::{SettingFaults, SettingValues};
use types::{PlanId, RequestId};

use crate::exit::CommandError;

/// Settings of the tool and arguments of the command.
pub(crate) struct CommandContext {
    /// Addresses of routers to call.
    pub(crate) routers: Vec<SocketAddr>,
    /// API key; empty if none is given.
    key: String,
    /// Whether results are printed as JSON.
    pub(crate) json: bool,
    /// Whether a plan without cautions is confirmed without asking.
    pub(crate) yes: bool,
    /// Existing plan to confirm instead of creating a new one.
    pub(crate) confirm: Option<PlanId>,
    /// Id of the request or of the deposit.
    pub(crate) id: Option<String>,
    /// Whether the operator has verified that the router that recorded the call has ended.
    pub(crate) router_ended: bool,
    /// Entry after which a list continues.
    pub(crate) after: Option<String>,
    /// Maximum length of a chat answer, in tokens.
    pub(crate) max_tokens: u64,
    /// Whether a chat answer is streamed.
    pub(crate) stream: bool,
    /// Maximum duration of a call, including its retries.
    pub(crate) timeout: Duration,
    /// Arguments after the command's name.
    pub(crate) arguments: Vec<String>,
}

impl CommandContext {
    /// Parses the settings; adds malformed ones to `faults`.
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

    /// Returns the API key, or a usage error if none is given.
    pub(crate) fn key(&self) -> Result<ApiKey, CommandError> {
        if self.key.is_empty() {
            let message = "--key: missing; give it or set AUBURNCRANK_KEY";
            return Err(CommandError::Usage(message.to_owned()));
        }
        Ok(ApiKey::new(&self.key))
    }

    /// Returns a client of the administration API that calls the configured routers.
    pub(crate) fn admin(&self) -> Result<AdminClient, CommandError> {
        if self.routers.is_empty() {
            let message = "--router: missing; give it or set AUBURNCRANK_ROUTER";
            return Err(CommandError::Usage(message.to_owned()));
        }
        self.admin_for(self.routers.clone())
    }

    /// Returns a client of the administration API that calls `routers`.
    pub(crate) fn admin_for(&self, routers: Vec<SocketAddr>) -> Result<AdminClient, CommandError> {
        let on_retry = |line: &str| eprintln!("retrying: {line}");
        Ok(AdminClient::new(routers, self.key()?, self.timeout, on_retry))
    }

    /// Returns the arguments of the command, or a usage error that shows `usage` if their number
    /// is not `N`.
    pub(crate) fn expect_arguments<const N: usize>(
        &self,
        usage: &str,
    ) -> Result<[&str; N], CommandError> {
        let arguments: Vec<_> = self.arguments.iter().map(String::as_str).collect();
        <[&str; N]>::try_from(arguments)
            .map_err(|_| CommandError::Usage(format!("usage: auburncrank {usage}")))
    }

    /// Returns the request id from `--id`, or a random one.
    pub(crate) fn request_id(&self) -> Result<RequestId, CommandError> {
        use rand::Rng as _;
        let text = match &self.id {
            Some(id) => id.clone(),
            None => format!("{:032x}", utils::new_rng().random::<u128>()),
        };
        RequestId::new(&text).map_err(|error| CommandError::Usage(format!("--id: {error}")))
    }
}
