//! Tests of `address_book`.

use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn failures_move_to_the_next_address_and_finally_make_the_list_stale() {
    let mut book = AddressBook::new(vec![address(9)]);
    let now = Instant::now();
    assert!(book.is_stale(now));
    assert_eq!(book.current(), Some(address(9)));
    let entry = |port| AddressEntry {
        address: address(port),
        failure_domain: FailureDomain::new("zlin").unwrap(),
    };
    let list = AddressList { addresses: vec![entry(1), entry(2)], keep: Duration::from_secs(10) };
    book.update(&list, now);
    assert_eq!(book.current(), Some(address(1)));
    book.record_failure();
    assert!(!book.is_stale(now));
    assert_eq!(book.current(), Some(address(2)));
    book.record_failure();
    assert!(book.is_stale(now));
    assert_eq!(book.candidates(), [address(1), address(2), address(9)]);
}
