//! Tests of `prefix_index`.

use super::*;

#[test]
fn longest_cached_prefix_determines_the_endpoints() {
    let mut index = PrefixIndex::new(100);
    let (a, b) = (EndpointId(0), EndpointId(1));
    [1, 2, 3].iter().for_each(|&block| index.add(block, a));
    index.add(1, b);
    assert_eq!(index.longest_prefix_endpoints(&[1, 2, 3, 4]).collect::<Vec<_>>(), [a]);
    assert_eq!(index.longest_prefix_endpoints(&[1, 9]).collect::<Vec<_>>(), [b, a]);
    assert_eq!(index.cached_blocks(&[1, 2, 3, 4], a), 3);
    index.remove(3, a);
    assert_eq!(index.cached_blocks(&[1, 2, 3, 4], a), 2);
    index.forget(a);
    assert_eq!(index.longest_prefix_endpoints(&[1, 2]).collect::<Vec<_>>(), [b]);
}

#[test]
fn index_stays_within_its_bound() {
    let mut index = PrefixIndex::new(10);
    (0..1_000).for_each(|block| index.add(block, EndpointId(0)));
    assert!(index.recent.len() + index.old.len() <= 10);
}
