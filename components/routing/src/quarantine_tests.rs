//! Tests of `quarantine`.

use super::*;

fn endpoint(number: u32) -> EndpointName {
    EndpointName::new(&format!("engine-{number}")).unwrap()
}

const NOW: Timestamp = Timestamp::ZERO;

#[test]
fn two_losses_with_one_isolated_run_quarantine_the_content() {
    let mut quarantine = Quarantine::default();
    let poison = Digest::from_content(b"poison");
    quarantine.on_loss(poison, &endpoint(1), false, false, NOW);
    assert_eq!(quarantine.verdict(&poison), Verdict::Suspect);
    quarantine.on_loss(poison, &endpoint(2), false, true, NOW);
    assert_eq!(quarantine.verdict(&poison), Verdict::Quarantined);
    quarantine.on_survived(&poison);
    assert_eq!(quarantine.verdict(&poison), Verdict::Quarantined);
}

#[test]
fn bystander_that_survives_an_isolated_run_is_cleared() {
    let mut quarantine = Quarantine::default();
    let bystander = Digest::from_content(b"bystander");
    quarantine.on_loss(bystander, &endpoint(1), false, false, NOW);
    quarantine.on_loss(bystander, &endpoint(2), false, false, NOW);
    assert_eq!(quarantine.verdict(&bystander), Verdict::Suspect);
    quarantine.on_survived(&bystander);
    assert_eq!(quarantine.verdict(&bystander), Verdict::Clear);
}

#[test]
fn one_endpoint_lost_twice_is_one_loss() {
    let mut quarantine = Quarantine::default();
    let content = Digest::from_content(b"content");
    quarantine.on_loss(content, &endpoint(1), false, true, NOW);
    quarantine.on_loss(content, &endpoint(1), false, true, NOW);
    assert_eq!(quarantine.verdict(&content), Verdict::Suspect);
}

#[test]
fn records_merge_to_the_same_verdict_in_any_order() {
    let poison = Digest::from_content(b"poison");
    let mut sources = [Quarantine::default(), Quarantine::default()];
    let first = sources[0].on_loss(poison, &endpoint(1), false, false, NOW).unwrap();
    let second = sources[1].on_loss(poison, &endpoint(2), true, true, NOW).unwrap();
    for order in [[&first, &second, &first], [&second, &first, &second]] {
        let mut quarantine = Quarantine::default();
        let changes = order.map(|record| quarantine.merge(record, NOW));
        assert_eq!(changes, [true, true, false]);
        assert_eq!(quarantine.verdict(&poison), Verdict::Quarantined);
    }
}

#[test]
fn operators_list_and_release() {
    let mut quarantine = Quarantine::default();
    let poison = Digest::from_content(b"poison");
    let record = quarantine.on_loss(poison, &endpoint(1), false, true, NOW).unwrap();
    quarantine.on_loss(poison, &endpoint(2), false, true, NOW);
    assert_eq!(quarantine.quarantined().len(), 1);
    quarantine.set_operator_lists(HashSet::default(), HashSet::from_iter([poison]));
    assert_eq!(quarantine.verdict(&poison), Verdict::Clear);
    assert!(!quarantine.merge(&record, NOW));
    quarantine.set_operator_lists(HashSet::from_iter([poison]), HashSet::default());
    assert_eq!(quarantine.verdict(&poison), Verdict::Quarantined);
}

#[test]
fn suspicion_expires_and_the_quarantine_stays() {
    let mut quarantine = Quarantine::default();
    let (poison, other) = (Digest::from_content(b"poison"), Digest::from_content(b"other"));
    quarantine.on_loss(poison, &endpoint(1), false, true, NOW);
    quarantine.on_loss(poison, &endpoint(2), false, true, NOW);
    quarantine.on_loss(other, &endpoint(1), false, false, NOW);
    quarantine.expire(NOW + SUSPICION_TIME);
    assert_eq!(quarantine.verdict(&poison), Verdict::Quarantined);
    assert_eq!(quarantine.verdict(&other), Verdict::Clear);
}
