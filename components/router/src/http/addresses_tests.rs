//! Tests of `addresses`.

use super::*;

#[test]
fn failure_domain_is_read_from_the_query() {
    let zlin = FailureDomain::new("zlin").ok();
    assert_eq!(caller_domain("failure_domain=zlin"), zlin);
    assert_eq!(caller_domain("a=b&failure_domain=zlin"), zlin);
    assert_eq!(caller_domain("failure_domain="), None);
    assert_eq!(caller_domain(""), None);
}
