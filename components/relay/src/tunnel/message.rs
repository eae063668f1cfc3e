//! The two messages that precede the bytes of a tunnel, and their frames.

use bytes::Bytes;
use prost::{Enumeration, Message};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum size of a message, in bytes.
const MESSAGE_MAX_BYTES: usize = 1_024;

/// Asks the receiver to connect to an endpoint.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct TunnelRequest {
    /// Id of the endpoint.
    #[prost(string, tag = "1")]
    pub(super) endpoint: String,
    /// Start time of the endpoint's process, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub(super) started_at_ms: u64,
}

/// Says whether the connection was opened. If so, all bytes that follow are those of the connection.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct TunnelReply {
    /// What became of the connection.
    #[prost(enumeration = "TunnelOutcome", tag = "1")]
    pub(super) outcome: i32,
}

/// What became of the connection at the far end of a tunnel. Nothing was sent to the endpoint unless
/// it was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub(super) enum TunnelOutcome {
    /// Not set; from a router of a later version.
    Unspecified = 0,
    /// It was opened.
    Opened = 1,
    /// The endpoint's address refused it.
    Refused = 2,
    /// The endpoint did not answer.
    Unreachable = 3,
    /// The router is itself cut off from the endpoint.
    CutOff = 4,
    /// The router is at a limit of its connections, or shutting down.
    Busy = 5,
    /// The router does not know the endpoint's process, or knows that it is leaving.
    UnknownEndpoint = 6,
}

/// Connection between two routers, before its bytes are those of a tunnel.
pub(super) type TunnelFrames = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames the messages on a connection.
pub(super) fn frames(stream: TcpStream) -> TunnelFrames {
    let codec = LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .max_frame_length(MESSAGE_MAX_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Encodes a message for a frame.
pub(super) fn encode(message: &impl Message) -> Bytes {
    message.encode_to_vec().into()
}
