//! Tests of `core`.

use types::Priority;

use super::*;

fn job(id: u64, priority: Priority) -> Job {
    Job {
        id: JobId(id),
        priority,
        prompt_tokens: 100,
        blocks: vec![1],
        output_tokens: 2,
        is_poison: false,
    }
}

fn engine_with_batch_of_one() -> EngineCore {
    EngineCore::new(EngineSettings { max_batch: 1, ..EngineSettings::default() })
}

#[test]
fn urgent_job_enters_the_batch_before_older_bulk_jobs() {
    let mut engine = engine_with_batch_of_one();
    engine.submit(job(1, Priority::Bulk));
    engine.submit(job(2, Priority::Urgent));
    assert_eq!(engine.step().unwrap().events, [EngineEvent::Token(JobId(2))]);
    assert_eq!(engine.step().unwrap().events, [EngineEvent::Finished(JobId(2))]);
    assert_eq!(engine.step().unwrap().events, [EngineEvent::Token(JobId(1))]);
}

#[test]
fn cached_prefix_shortens_the_step() {
    let mut engine = engine_with_batch_of_one();
    engine.submit(job(1, Priority::Normal));
    let first = engine.step().unwrap().duration;
    engine.cancel(JobId(1));
    engine.submit(job(2, Priority::Normal));
    let second = engine.step().unwrap().duration;
    assert!(second < first);
    assert_eq!(engine.cache_counts(), (2, 1));
}

#[test]
fn imported_blocks_count_as_cached() {
    let mut engine = engine_with_batch_of_one();
    engine.import_blocks(&[1]);
    engine.submit(job(1, Priority::Normal));
    engine.step();
    assert_eq!(engine.cache_counts(), (1, 1));
}

#[test]
fn poison_prompt_crashes_the_engine() {
    let mut engine = engine_with_batch_of_one();
    engine.submit(Job { is_poison: true, ..job(1, Priority::Normal) });
    assert_eq!(engine.step().unwrap().events, [EngineEvent::Crashed(JobId(1))]);
}
