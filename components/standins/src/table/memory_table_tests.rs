//! Tests of `memory_table`.

use platform::Write;

use super::*;

#[tokio::test(start_paused = true)]
async fn commit_with_lost_answer_takes_effect() {
    let table = MemoryTable::new(CallLimits::new(10, 10), 1);
    table.set_faults(TableFaults { lost_answers: 1.0, ..TableFaults::default() });
    let key = Key::new("a").unwrap();
    let commit = Commit { writes: vec![Write::put(key.clone(), &5)], ..Commit::default() };
    assert_eq!(table.commit(&commit).await, CommitOutcome::Unknown);
    let row = table.read(&[key]).await.unwrap().remove(0).unwrap();
    assert_eq!(row.decode::<u32>(), Ok(5));
}

#[tokio::test(start_paused = true)]
async fn table_that_is_down_applies_nothing() {
    let table = MemoryTable::new(CallLimits::new(10, 10), 1);
    table.set_faults(TableFaults { down: true, ..TableFaults::default() });
    let commit =
        Commit { writes: vec![Write::put(Key::new("a").unwrap(), &5)], ..Commit::default() };
    let expected = CommitOutcome::NotApplied(PlatformError::Unavailable);
    assert_eq!(table.commit(&commit).await, expected);
    assert!(table.inspect("").is_empty());
}
