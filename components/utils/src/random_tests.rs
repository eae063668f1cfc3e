//! Tests of `random`.

use super::*;

#[test]
fn jitter_stays_within_its_range() {
    let mut rng = seeded_rng(7);
    let base = Duration::from_millis(100);
    for _ in 0..1000 {
        let delay = jitter(base, &mut rng);
        assert!(delay >= base / 2 && delay < base * 3 / 2);
    }
}
