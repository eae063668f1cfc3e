//! Frames on connections between routers: a length prefix and an encoded envelope.

use std::io;

use bytes::{Bytes, BytesMut};
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::Envelope;

/// Maximum length of a frame without its length prefix, in bytes.
pub const FRAME_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Encodes and decodes the frames of one connection between routers.
#[derive(Debug)]
pub struct FrameCodec {
    /// Adds and strips length prefixes; rejects frames longer than [`FRAME_MAX_BYTES`].
    length_codec: LengthDelimitedCodec,
}

/// Error of a connection between routers, which must be closed after it.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection failed, or a frame exceeds [`FRAME_MAX_BYTES`].
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame does not contain a valid envelope.
    #[error("malformed frame: {0}")]
    Malformed(#[from] prost::DecodeError),
}

impl FrameCodec {
    /// Creates a codec for one connection.
    pub fn new() -> FrameCodec {
        let length_codec =
            LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec();
        FrameCodec { length_codec }
    }
}

impl Default for FrameCodec {
    fn default() -> FrameCodec {
        FrameCodec::new()
    }
}

impl Decoder for FrameCodec {
    type Item = Envelope;
    type Error = FrameError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Envelope>, FrameError> {
        match self.length_codec.decode(buf)? {
            Some(frame) => Ok(Some(Envelope::decode(frame)?)),
            None => Ok(None),
        }
    }
}

impl Encoder<Envelope> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, envelope: Envelope, buf: &mut BytesMut) -> Result<(), FrameError> {
        Ok(self.length_codec.encode(Bytes::from(envelope.encode_to_vec()), buf)?)
    }
}

#[cfg(test)]
#[path = "frame_tests.rs"]
mod tests;
