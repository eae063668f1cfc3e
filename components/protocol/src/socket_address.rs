//! Encoding of socket addresses: the IP address followed by the port, both big-endian.

use std::net::{IpAddr, SocketAddr};

use thiserror::Error;

/// Error for bytes whose length is not that of a socket address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("invalid length of a socket address: expected 6 or 18 bytes")]
pub struct AddressError;

/// Encodes `address` in 6 bytes (IPv4) or 18 bytes (IPv6).
pub(crate) fn encode_address(address: SocketAddr) -> Vec<u8> {
    let mut buf = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    buf.extend(address.port().to_be_bytes());
    buf
}

/// Decodes an address that [`encode_address`] has encoded.
///
/// # Errors
/// If `bytes` has neither 6 nor 18 bytes.
pub(crate) fn decode_address(bytes: &[u8]) -> Result<SocketAddr, AddressError> {
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or(AddressError)?;
    let port = u16::from_be_bytes(*port);
    if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        return Ok(SocketAddr::from((octets, port)));
    }
    let octets = <[u8; 16]>::try_from(ip).map_err(|_| AddressError)?;
    Ok(SocketAddr::from((octets, port)))
}
