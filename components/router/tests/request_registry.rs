//! Registry of request ids that is shared by routers: retries at other routers, races, killed
//! routers, network partitions and an unavailable table. Everything runs on one thread with
//! paused time.

#![allow(clippy::unwrap_used)]

mod fakes;

use std::time::Duration;

use errors::{Error, ErrorKind, Ran};
use fakes::{Fleet, expect_join, expect_run, read_answer, request};
use platform::Table;
use requests::{
    AnswerBody, Holder, INTENT_PREFIX, IntentRow, IntentState, Resolution, StoredAnswer, list_open,
    resolve,
};
use router::registry::RequestRegistry;
use standins::TableFaults;
use types::OperatorName;
use utils::Digest;

fn table_down() -> TableFaults {
    TableFaults { down: true, ..TableFaults::default() }
}

fn table_loses_answers() -> TableFaults {
    TableFaults { lost_answers: 1.0, ..TableFaults::default() }
}

fn budget_refusal() -> Error {
    Error::new(ErrorKind::BudgetExhausted, "the budget is spent")
}

fn lost_answer() -> Error {
    Error::new(ErrorKind::OutcomeUnknown, "the answer was lost")
}

fn intent_states(fleet: &Fleet) -> Vec<IntentState> {
    let rows = fleet.table.inspect(INTENT_PREFIX);
    rows.iter().map(|row| IntentRow::from_row(row).unwrap().state).collect()
}

#[tokio::test(start_paused = true)]
async fn retry_at_another_router_gets_the_complete_answer_of_the_running_attempt() {
    let fleet = Fleet::start(&["r1", "r2", "r3"]).await;
    fleet.set_faults(0.2, 0.3);
    for n in 0..20 {
        let req = request(&fleet, &format!("barrel-{n}"), true);
        let log = expect_run(fleet.begin("r1", &req).await);
        let joined = expect_join(fleet.begin("r2", &req).await);
        let reader = tokio::spawn(async move { read_answer(&joined).await });
        for part in ["stave", ", h\u{16f}l", ", head"] {
            log.push(part.as_bytes().to_vec().into());
            tokio::time::sleep(Duration::from_millis(120)).await;
        }
        fleet.finish("r1", &req.key, &log, ".").await;
        assert_eq!(reader.await.unwrap().unwrap(), "stave, h\u{16f}l, head.", "request {n}");
        let kept = expect_join(fleet.begin("r3", &req).await);
        assert_eq!(read_answer(&kept).await.unwrap(), "stave, h\u{16f}l, head.");
    }
}

#[tokio::test(start_paused = true)]
async fn answer_of_a_dead_router_is_read_from_the_object_store() {
    let mut fleet = Fleet::start(&["r1", "r2", "r3"]).await;
    let mut requests = Vec::new();
    for n in 0..30 {
        let req = request(&fleet, &format!("barrel-{n}"), true);
        let log = expect_run(fleet.begin("r1", &req).await);
        fleet.finish("r1", &req.key, &log, &format!("answer {n}")).await;
        requests.push((req.clone(), fleet.home_of(&req.key)));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(fleet.objects.len() < 10);
    fleet.kill("r1").await;
    for (n, (req, home)) in requests.iter().enumerate() {
        let begin = fleet.begin("r2", req).await;
        // If the dead router was also the home of the id, no other router knows of the answer,
        // and the request runs again.
        if home == "r1" {
            expect_run(begin);
            continue;
        }
        assert_eq!(read_answer(&expect_join(begin)).await.unwrap(), format!("answer {n}"));
    }
}

#[tokio::test(start_paused = true)]
async fn joined_answer_of_a_router_killed_midway_ends_with_an_error() {
    let mut fleet = Fleet::start(&["r1", "r2", "r3"]).await;
    let req = request(&fleet, "barrel-1", true);
    let log = expect_run(fleet.begin("r1", &req).await);
    log.push("half of ".into());
    let joined = expect_join(fleet.begin("r2", &req).await);
    let reader = tokio::spawn(async move { read_answer(&joined).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.kill("r1").await;
    let error = reader.await.unwrap().unwrap_err();
    assert_eq!((error.kind(), error.ran()), (ErrorKind::AttemptsFailed, Ran::Unknown));

    let log = expect_run(fleet.begin("r2", &req).await);
    let error = fleet.registry_of("r2").end(&req.key, Err(budget_refusal())).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::BudgetExhausted);
    assert_eq!(error.ran(), Ran::Unknown, "the attempt of r1 was sent");
    assert_eq!(log.body().len(), 0, "nothing of the first attempt is in the second answer");
}

#[tokio::test(start_paused = true)]
async fn refusal_after_an_attempt_that_failed_does_not_say_not_run() {
    let fleet = Fleet::start(&["r1", "r2", "r3"]).await;
    let req = request(&fleet, "barrel-1", true);
    expect_run(fleet.begin("r1", &req).await);
    let failed = Error::new(ErrorKind::AttemptsFailed, "the engine crashed");
    fleet.registry_of("r1").end(&req.key, Err(failed)).await.unwrap_err();
    expect_run(fleet.begin("r2", &req).await);
    let error = fleet.registry_of("r2").end(&req.key, Err(budget_refusal())).await.unwrap_err();
    assert_eq!(error.ran(), Ran::Unknown);

    let other = request(&fleet, "barrel-2", true);
    expect_run(fleet.begin("r2", &other).await);
    let error = fleet.registry_of("r2").end(&other.key, Err(budget_refusal())).await.unwrap_err();
    assert_eq!(error.ran(), Ran::Never);
}

#[tokio::test(start_paused = true)]
async fn id_reused_with_other_content_is_refused_by_every_router() {
    let fleet = Fleet::start(&["r1", "r2", "r3"]).await;
    for is_idempotent in [true, false] {
        let req = request(&fleet, &format!("order-{is_idempotent}"), is_idempotent);
        expect_run(fleet.begin("r1", &req).await);
        if !is_idempotent {
            let r1 = fleet.registry_of("r1");
            r1.record_intent(&req.key, &req.fingerprint, req.deadline).await.unwrap();
        }
        let mut other = req.clone();
        other.fingerprint = Digest::from_content(b"three barrels");
        for router in ["r1", "r2", "r3"] {
            let error = fleet.begin(router, &other).await.unwrap_err();
            assert_eq!(error.kind(), ErrorKind::RequestIdReused, "{router}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn idempotent_request_runs_on_both_sides_of_a_partition() {
    let fleet = Fleet::start(&["r1", "r2"]).await;
    fleet.set_partitioned("r1", "r2", true);
    let req = request(&fleet, "barrel-1", true);
    expect_run(fleet.begin("r1", &req).await);
    expect_run(fleet.begin("r2", &req).await);
}

#[tokio::test(start_paused = true)]
async fn only_one_of_two_routers_that_race_on_an_id_may_send_the_call() {
    let fleet = Fleet::start(&["r1", "r2"]).await;
    fleet.set_partitioned("r1", "r2", true);
    let req = request(&fleet, "order-1", false);
    expect_run(fleet.begin("r1", &req).await);
    expect_run(fleet.begin("r2", &req).await);
    let (r1, r2) = (fleet.registry_of("r1"), fleet.registry_of("r2"));
    let (first, second) = tokio::join!(
        r1.record_intent(&req.key, &req.fingerprint, req.deadline),
        r2.record_intent(&req.key, &req.fingerprint, req.deadline),
    );
    assert!(first.is_ok() != second.is_ok(), "{first:?} {second:?}");
    let error = first.err().or(second.err()).unwrap();
    assert_eq!(error.kind(), ErrorKind::OutcomeUnknown);
}

#[tokio::test(start_paused = true)]
async fn refused_request_can_no_longer_be_sent_by_a_router_that_admitted_it_earlier() {
    let fleet = Fleet::start(&["r1", "r2"]).await;
    fleet.set_partitioned("r1", "r2", true);
    let req = request(&fleet, "order-1", false);
    expect_run(fleet.begin("r1", &req).await);
    expect_run(fleet.begin("r2", &req).await);
    let error = fleet.registry_of("r1").end(&req.key, Err(budget_refusal())).await.unwrap_err();
    assert_eq!(error.ran(), Ran::Never);
    let late =
        fleet.registry_of("r2").record_intent(&req.key, &req.fingerprint, req.deadline).await;
    let error = late.unwrap_err();
    assert_eq!((error.kind(), error.ran()), (ErrorKind::StoreUnavailable, Ran::Never));
    let error = fleet.registry_of("r2").end(&req.key, Err(error)).await.unwrap_err();
    assert_eq!(error.ran(), Ran::Never);

    fleet.set_partitioned("r1", "r2", false);
    expect_run(fleet.begin("r1", &req).await);
    fleet.registry_of("r1").record_intent(&req.key, &req.fingerprint, req.deadline).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn permit_after_a_withdrawn_one_has_a_higher_fencing_number() {
    let fleet = Fleet::start(&["r1", "r2"]).await;
    let req = request(&fleet, "order-1", false);
    expect_run(fleet.begin("r1", &req).await);
    let r1 = fleet.registry_of("r1");
    let permit = r1.record_intent(&req.key, &req.fingerprint, req.deadline).await.unwrap();
    let first = permit.fencing;
    r1.withdraw_intent(permit).await.unwrap();
    let no_endpoint = Error::new(ErrorKind::NoEndpoint, "connection refused");
    let error = r1.end(&req.key, Err(no_endpoint)).await.unwrap_err();
    assert_eq!(error.ran(), Ran::Never);
    expect_run(fleet.begin("r2", &req).await);
    let r2 = fleet.registry_of("r2");
    let permit = r2.record_intent(&req.key, &req.fingerprint, req.deadline).await.unwrap();
    assert!(permit.fencing > first);
}

#[tokio::test(start_paused = true)]
async fn intent_commit_with_unknown_outcome_is_read_back() {
    let fleet = Fleet::start(&["r1"]).await;
    let req = request(&fleet, "order-1", false);
    expect_run(fleet.begin("r1", &req).await);
    fleet.table.set_faults(table_loses_answers());
    let r1 = fleet.registry_of("r1");
    let permit = r1.record_intent(&req.key, &req.fingerprint, req.deadline).await.unwrap();
    assert_eq!(fleet.table.inspect(INTENT_PREFIX)[0].revision, permit.revision);
    r1.withdraw_intent(permit).await.unwrap();
    assert_eq!(intent_states(&fleet), [IntentState::Withdrawn]);
}

#[tokio::test(start_paused = true)]
async fn without_the_table_a_request_waits_until_its_deadline_and_is_not_run() {
    let fleet = Fleet::start(&["r1", "r2"]).await;
    fleet.table.set_faults(table_down());
    let req = request(&fleet, "order-1", false);
    expect_run(fleet.begin("r1", &req).await);
    let r1 = fleet.registry_of("r1");
    let error = r1.record_intent(&req.key, &req.fingerprint, req.deadline).await.unwrap_err();
    assert!(fleet.clock.now() >= req.deadline);
    let error = r1.end(&req.key, Err(error)).await.unwrap_err();
    assert_eq!((error.kind(), error.ran()), (ErrorKind::StoreUnavailable, Ran::Never));
}

#[tokio::test(start_paused = true)]
async fn router_without_table_and_home_router_does_not_say_not_run() {
    let fleet = Fleet::start(&["r1", "r2"]).await;
    fleet.table.set_faults(table_down());
    let req = request(&fleet, "order-1", false);
    let home = fleet.home_of(&req.key);
    let other = if home == "r1" { "r2" } else { "r1" };
    expect_run(fleet.begin(&home, &req).await);
    fleet.set_partitioned("r1", "r2", true);
    let error = fleet.begin(other, &req).await.unwrap_err();
    assert_eq!((error.kind(), error.ran()), (ErrorKind::StoreUnavailable, Ran::Unknown));
}

#[tokio::test(start_paused = true)]
async fn intent_that_could_not_be_read_back_is_unknown_until_the_table_is_back() {
    let fleet = Fleet::start(&["r1", "r2"]).await;
    let req = request(&fleet, "order-1", false);
    expect_run(fleet.begin("r1", &req).await);
    let faults = TableFaults { delay: Duration::from_millis(100), ..table_loses_answers() };
    fleet.table.set_faults(faults);
    let (r1, r1_req) = (fleet.registry_of("r1"), req.clone());
    let record = tokio::spawn(async move {
        r1.record_intent(&r1_req.key, &r1_req.fingerprint, r1_req.deadline).await
    });
    tokio::time::sleep(Duration::from_millis(101)).await;
    fleet.table.set_faults(table_down());
    let error = record.await.unwrap().unwrap_err();
    let error = fleet.registry_of("r1").end(&req.key, Err(error)).await.unwrap_err();
    assert_eq!((error.kind(), error.ran()), (ErrorKind::OutcomeUnknown, Ran::Unknown));
    assert_eq!(intent_states(&fleet), [IntentState::Recorded]);

    fleet.table.set_faults(TableFaults::default());
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(intent_states(&fleet), [IntentState::Withdrawn]);
    expect_run(fleet.begin("r2", &req).await);
}

#[tokio::test(start_paused = true)]
async fn outcome_unknown_survives_retries_at_other_routers_until_an_operator_resolves_it() {
    let resolutions = [
        Resolution::Ran(StoredAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: AnswerBody::from_bytes(b"order 17"),
            finish_reason: None,
            prompt_tokens: 0,
            completion_tokens: 10,
        }),
        Resolution::DidNotRun,
    ];
    for resolution in resolutions {
        let mut fleet = Fleet::start(&["r1", "r2", "r3"]).await;
        let req = request(&fleet, "order-1", false);
        expect_run(fleet.begin("r1", &req).await);
        let r1 = fleet.registry_of("r1");
        r1.record_intent(&req.key, &req.fingerprint, req.deadline).await.unwrap();
        r1.end(&req.key, Err(lost_answer())).await.unwrap_err();
        tokio::time::sleep(Duration::from_secs(1)).await;
        drop(r1);
        fleet.kill("r1").await;
        for _ in 0..3 {
            let error = fleet.begin("r2", &req).await.unwrap_err();
            assert_eq!(error.kind(), ErrorKind::OutcomeUnknown);
        }
        let rows = fleet.table.scan(INTENT_PREFIX, None).await.unwrap();
        let open = list_open(&rows);
        assert_eq!(open.len(), 1);
        assert_eq!(open[0].request, req.key);
        assert_eq!(open[0].intent.state, IntentState::OutcomeUnknown);
        let operator = OperatorName::new("admin").unwrap();
        let commit = resolve(&open[0].row, resolution.clone(), Holder::MayRun, &operator).unwrap();
        fleet.table.commit(&commit).await;
        let begin = fleet.begin("r3", &req).await;
        match resolution {
            Resolution::Ran(_) => {
                assert_eq!(read_answer(&expect_join(begin)).await.unwrap(), "order 17");
            }
            Resolution::DidNotRun => drop(expect_run(begin)),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn router_killed_between_intent_and_answer_leaves_its_outcome_unknown() {
    let mut fleet = Fleet::start(&["r1", "r2", "r3"]).await;
    let req = request(&fleet, "order-1", false);
    expect_run(fleet.begin("r1", &req).await);
    fleet.registry_of("r1").record_intent(&req.key, &req.fingerprint, req.deadline).await.unwrap();
    fleet.kill("r1").await;
    let error = fleet.begin("r2", &req).await.unwrap_err();
    assert_eq!((error.kind(), error.ran()), (ErrorKind::OutcomeUnknown, Ran::Unknown));
    let rows = fleet.table.scan(INTENT_PREFIX, None).await.unwrap();
    let operator = OperatorName::new("admin").unwrap();
    let row = &list_open(&rows)[0].row;
    assert!(resolve(row, Resolution::DidNotRun, Holder::MayRun, &operator).is_err());
    assert!(resolve(row, Resolution::DidNotRun, Holder::Ended, &operator).is_ok());
}

#[tokio::test(start_paused = true)]
async fn answer_of_a_non_idempotent_request_is_available_after_its_router_was_killed() {
    let mut fleet = Fleet::start(&["r1", "r2", "r3"]).await;
    let req = request(&fleet, "order-1", false);
    let log = expect_run(fleet.begin("r1", &req).await);
    let r1 = fleet.registry_of("r1");
    let permit = r1.record_intent(&req.key, &req.fingerprint, req.deadline).await.unwrap();
    let answer = router::answer::KeptAnswer {
        head: router::answer::AnswerHead { status: 201, content_type: "text/plain".into() },
        body: vec![0xff, 0x00].into(),
        end: router::answer::AnswerEnd::default(),
    };
    fleet.table.commit(&r1.settle_intent(&permit, &answer)).await;
    drop((r1, log));
    fleet.kill("r1").await;
    let log = expect_join(fleet.begin("r2", &req).await);
    assert_eq!((log.body(), log.head()), (answer.body.clone(), Some(answer.head.clone())));
}

#[tokio::test(start_paused = true)]
async fn retry_of_a_caller_that_disconnected_during_begin_runs() {
    let fleet = Fleet::start(&["r1", "r2"]).await;
    let req = (0..20)
        .map(|n| request(&fleet, &format!("barrel-{n}"), true))
        .find(|req| fleet.home_of(&req.key) == "r2")
        .unwrap();
    fleet.set_partitioned("r1", "r2", true);
    let begin = fleet.begin("r1", &req);
    assert!(tokio::time::timeout(Duration::from_millis(50), begin).await.is_err());
    fleet.set_partitioned("r1", "r2", false);
    expect_run(fleet.begin("r1", &req).await);
}

#[tokio::test(start_paused = true)]
async fn new_home_does_not_report_a_first_attempt_for_ids_of_a_lost_router() {
    let fleet = Fleet::start(&["r1", "r2"]).await;
    let has_home_r1 = |req: &&router::registry::BeginRequest| fleet.home_of(&req.key) == "r1";
    let requests: Vec<_> = (0..20).map(|n| request(&fleet, &format!("barrel-{n}"), true)).collect();
    let req = requests.iter().find(has_home_r1).unwrap();
    expect_run(fleet.begin("r1", req).await);
    // The claim arrives before the registry next checks for changed members.
    fleet.remove_member("r1");
    expect_run(fleet.begin("r2", req).await);
    let error = fleet.registry_of("r2").end(&req.key, Err(budget_refusal())).await.unwrap_err();
    assert_eq!(error.ran(), Ran::Unknown);
}
