//! Tests of `frame`.

use types::{Incarnation, RouterId, RouterName};

use super::*;
use crate::{MembershipMessage, PeerBody};

#[test]
fn frame_split_at_any_byte_is_decoded() {
    let from = RouterId::new(RouterName::new("zlin-1").unwrap(), Incarnation(7));
    let envelope = Envelope::new(&from, PeerBody::Membership(MembershipMessage::default()));
    let mut encoded = BytesMut::new();
    FrameCodec::new().encode(envelope.clone(), &mut encoded).unwrap();
    for cut in 0..encoded.len() {
        let mut codec = FrameCodec::new();
        let mut buf = BytesMut::from(&encoded[..cut]);
        assert_eq!(codec.decode(&mut buf).unwrap(), None);
        buf.extend_from_slice(&encoded[cut..]);
        assert_eq!(codec.decode(&mut buf).unwrap(), Some(envelope.clone()));
    }
    assert_eq!(envelope.sender(), Ok(from));
}

#[test]
fn malformed_and_overlong_frames_are_rejected() {
    let mut malformed = BytesMut::from(&[0, 0, 0, 2, 0xff, 0xff][..]);
    let result = FrameCodec::new().decode(&mut malformed);
    assert!(matches!(result, Err(FrameError::Malformed(_))));
    let mut overlong = BytesMut::from(&[0xff, 0xff, 0xff, 0xff][..]);
    assert!(matches!(FrameCodec::new().decode(&mut overlong), Err(FrameError::Io(_))));
}
