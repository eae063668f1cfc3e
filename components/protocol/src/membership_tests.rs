//! Tests of `membership`.

use super::*;

fn record() -> MemberRecord {
    MemberRecord {
        id: RouterId::new(RouterName::new("zlin-1").unwrap(), Incarnation(7)),
        failure_domain: FailureDomain::new("zlin").unwrap(),
        caller_address: "127.0.0.1:8000".parse().unwrap(),
        peer_address: "[::1]:8001".parse().unwrap(),
        refutation: 3,
        heartbeat: 9,
        status: MemberStatus::Dead,
        dead_for: Duration::from_millis(1_500),
        is_leaving: true,
        load: 12,
        config_version: ConfigVersion(4),
    }
}

#[test]
fn decoded_messages_equal_the_encoded_ones() {
    let target = RouterName::new("vsetin-2").unwrap();
    let target_address = "10.0.0.2:8001".parse().unwrap();
    for kind in [
        MessageKind::Ping { probe: 5 },
        MessageKind::Ack { probe: 5 },
        MessageKind::PingRequest { probe: 5, target, target_address },
        MessageKind::Join,
        MessageKind::Gossip,
    ] {
        let message = DetectorMessage { sender: record(), kind, updates: vec![record()] };
        let encoded = MembershipMessage::from(&message).encode_to_vec();
        let decoded = MembershipMessage::decode(&*encoded).unwrap();
        assert_eq!(DetectorMessage::try_from(&decoded), Ok(message));
    }
}

#[test]
fn malformed_fields_are_rejected() {
    let good = MemberRecordMessage::from(&record());
    let bad_status = MemberRecordMessage { status: 9, ..good.clone() };
    let bad_address = MemberRecordMessage { peer_address: vec![1], ..good.clone() };
    let bad_name = MemberRecordMessage { name: "a b".to_owned(), ..good };
    for bad in [bad_status, bad_address, bad_name] {
        assert!(MemberRecord::try_from(&bad).is_err());
    }
    assert!(DetectorMessage::try_from(&MembershipMessage::default()).is_err());
}
