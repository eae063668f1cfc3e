//! Tests of `prefix_cache`.

use super::*;

#[test]
fn least_recently_used_block_is_evicted() {
    let mut cache = PrefixCache::new(2);
    assert_eq!(cache.use_blocks(&[1, 2]), 0);
    assert_eq!(cache.use_blocks(&[1]), 1);
    assert_eq!(cache.use_blocks(&[3]), 0);
    assert_eq!(cache.use_blocks(&[1, 2]), 1);
    let (first, events) = cache.events_from(2);
    assert_eq!(first, 2);
    assert_eq!(events[..2], [CacheEvent::Stored(3), CacheEvent::Evicted(2)]);
}
