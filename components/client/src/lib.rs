//! HTTP clients for the platform's services, endpoints and routers.

mod admin;
mod caller;
mod http_client;
mod platform_client;
mod send_error;

pub use self::{
    admin::{AdminClient, AdminClientError},
    caller::{
        AddressEntry, AddressList, Caller, CallerAnswer, CallerError, CallerRequest, ERROR_HEADER,
    },
    http_client::{Connections, HttpClient, RESPONSE_MAX_BYTES, ReceiveTimeouts},
    platform_client::{
        CommitRequest, HostsResponse, LoadEstimate, PlatformClient, ReadRequest, ReadResponse,
        ScanRequest, ScanResponse,
    },
    send_error::SendError,
};
