//! What a router keeps of endpoints' statements that they are brittle.

use relay::{
    endpoints::{
        BrittleStatement, EndpointChange, EndpointRegistry, RateStatement, StatementReport,
        Statements,
    },
    model::EndpointEntry,
    peers::StatementMessage,
};
use types::Timestamp;

use crate::endpoint::SimEndpoint;

fn registry(endpoints: &[&SimEndpoint]) -> EndpointRegistry {
    let mut registry = EndpointRegistry::default();
    for it in endpoints {
        registry.apply_change(EndpointChange::Written(it.entry()), Timestamp::ZERO);
    }
    registry
}

fn record(registry: &mut EndpointRegistry, id: &str, statement: BrittleStatement, sent_ms: u64) {
    let statements = Statements {
        rate: RateStatement::Unlimited,
        is_leaving: false,
        pause: None,
        brittleness: statement,
        has_malformed: false,
    };
    let at = Timestamp::from_millis;
    registry.record_statements(id, &statements, at(sent_ms), at(sent_ms + 20));
}

/// Passes reports through the wire format.
fn passed_on(reports: &[StatementReport]) -> Vec<StatementReport> {
    let messages = reports.iter().map(StatementMessage::from_report);
    messages.map(|it| it.to_report().unwrap()).collect()
}

/// Guards against siblings of a brittle endpoint that are treated as sturdy, or as brittle after they
/// have stated otherwise.
#[test]
fn statement_holds_for_the_service_until_others_state_otherwise() {
    let (first, second) = (SimEndpoint::new(0, 6), SimEndpoint::new(1, 6));
    let mut registry = registry(&[&first, &second]);
    let at = Timestamp::from_millis;
    record(&mut registry, &second.id(), BrittleStatement::NotBrittle, 100);
    record(&mut registry, &first.id(), BrittleStatement::Brittle(3), 1_000);
    assert!(registry.is_brittle(&first.id(), at(1_100)));
    assert!(registry.is_brittle(&second.id(), at(1_100)));
    record(&mut registry, &second.id(), BrittleStatement::NotBrittle, 1_200);
    assert!(!registry.is_brittle(&second.id(), at(1_300)));
    assert!(registry.is_brittle(&first.id(), at(60_000)), "no answer of its own says otherwise");
    assert_eq!(registry.brittle_count(), 1);
}

/// Guards against an answer that was under way before the statement and ends it, and against a
/// malformed statement that does.
#[test]
fn only_a_later_answer_ends_a_statement() {
    let endpoint = SimEndpoint::new(0, 6);
    let mut registry = registry(&[&endpoint]);
    let (id, at) = (endpoint.id(), Timestamp::from_millis);
    record(&mut registry, &id, BrittleStatement::Brittle(3), 100);
    record(&mut registry, &id, BrittleStatement::NotBrittle, 110);
    record(&mut registry, &id, BrittleStatement::Unknown, 500);
    assert!(registry.is_brittle(&id, at(600)));
    record(&mut registry, &id, BrittleStatement::NotBrittle, 700);
    assert!(!registry.is_brittle(&id, at(800)));
}

/// Guards against a statement that is kept for the next process of an endpoint, or that a report
/// about the former one brings back.
#[test]
fn restarted_endpoint_states_nothing() {
    let endpoint = SimEndpoint::new(0, 6);
    let mut registry = registry(&[&endpoint]);
    record(&mut registry, &endpoint.id(), BrittleStatement::Brittle(3), 100);
    let reports = registry.reports(Timestamp::from_millis(200));
    let entry = EndpointEntry { started_at_ms: 9, ..endpoint.entry() };
    let later = Timestamp::from_millis(20_000);
    registry.apply_change(EndpointChange::Written(entry), later);
    for report in passed_on(&reports) {
        registry.apply_report(&report, later);
    }
    assert_eq!(registry.brittle_count(), 0);
    assert!(!registry.is_brittle(&endpoint.id(), later));
}

/// Guards against statements, their ends and refusals that do not reach other routers.
#[test]
fn statements_and_refusals_travel_between_routers() {
    let endpoint = SimEndpoint::new(0, 6);
    let (mut sender, mut receiver) = (registry(&[&endpoint]), registry(&[&endpoint]));
    let (id, at) = (endpoint.id(), Timestamp::from_millis);
    let mut exchange = |sender: &EndpointRegistry, now: Timestamp| {
        for report in passed_on(&sender.reports(now)) {
            receiver.apply_report(&report, now);
        }
        (receiver.is_brittle(&id, now), receiver.owner_view(&id).unwrap().refused_at)
    };
    record(&mut sender, &endpoint.id(), BrittleStatement::Brittle(3), 100);
    assert_eq!(exchange(&sender, at(200)), (true, None));
    sender.record_brittle_refusal(&endpoint.id(), at(300));
    assert_eq!(exchange(&sender, at(310)), (true, Some(at(300))));
    record(&mut sender, &endpoint.id(), BrittleStatement::NotBrittle, 400);
    assert!(!exchange(&sender, at(500)).0);
}
