//! Which bodies are given up when their memory runs out.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use bytes::Bytes;
use inbound::{BodyBook, BodyLimits, BodyLoss};

const KIB: usize = 1_024;

/// A part of a large body.
static PART: [u8; 100 * KIB] = [0; 100 * KIB];

/// Limit of the tests: 750 KiB of it are for large bodies.
fn book() -> BodyBook {
    BodyBook::new(BodyLimits { all_bytes: 1_000 * KIB, large_bytes: 750 * KIB })
}

/// Guards against bodies that never end and keep their memory.
#[test]
fn body_that_began_first_is_given_up_for_a_later_one() {
    let book = book();
    let bodies: Vec<_> = (0..7).map(|_| book.begin()).collect();
    for it in &bodies {
        it.push(&PART, PART.len()).unwrap();
    }
    let later = book.begin();
    later.push(&PART, PART.len()).unwrap();
    assert_eq!(bodies[0].push(b"x", PART.len() + 1), Err(BodyLoss::GivenUp));
    assert_eq!(book.held_bytes(), 7 * PART.len());
    assert_eq!(later.finish().unwrap().bytes().len(), PART.len());
}

/// Guards against a slow body that takes the memory of those that began later, part by part.
#[test]
fn body_that_began_first_is_given_up_when_it_grows_itself() {
    let book = book();
    let slow = book.begin();
    slow.push(&PART, 700 * KIB).unwrap();
    let later: Vec<_> = (0..6).map(|_| book.begin()).collect();
    for it in &later {
        it.push(&PART, PART.len()).unwrap();
    }
    assert_eq!(slow.push(&PART, 700 * KIB), Err(BodyLoss::GivenUp));
    for it in later {
        assert!(it.finish().is_ok());
    }
}

/// Guards against large bodies that leave no memory for the usual ones.
#[test]
fn small_body_is_held_beside_large_ones() {
    let book = book();
    let held: Vec<_> = (0..7).map(|_| book.hold(Bytes::from_static(&PART)).unwrap()).collect();
    assert_eq!(book.hold(Bytes::from_static(&PART)).unwrap_err(), BodyLoss::NoMemory);
    let small = book.hold(Bytes::from_static(&PART[..50 * KIB])).unwrap();
    drop((held, small));
    assert_eq!(book.held_bytes(), 0);
}

/// Guards against a whole body that is given up: its request may run already.
#[test]
fn whole_bodies_are_not_given_up() {
    let book = book();
    let whole = book.begin();
    whole.push(&PART, 700 * KIB).unwrap();
    whole.push(&[0; 600 * KIB], 700 * KIB).unwrap();
    let whole = whole.finish().unwrap();
    let next = book.begin();
    assert_eq!(next.push(&PART, PART.len()), Err(BodyLoss::NoMemory));
    assert_eq!(whole.bytes().len(), 700 * KIB);
}

/// Guards against bodies in small parts that take much more memory than their bytes, and against memory
/// that stays counted after a body broke off.
#[test]
fn memory_of_a_body_in_small_parts_is_counted_once() {
    let book = book();
    let body = book.begin();
    for _ in 0..300 {
        body.push(&[0; KIB], 400 * KIB).unwrap();
    }
    assert!(book.held_bytes() <= 400 * KIB, "{} bytes are counted", book.held_bytes());
    drop(body);
    assert_eq!(book.held_bytes(), 0);
}

/// Guards against a client that waits for its answer although its body was given up.
#[tokio::test]
async fn body_that_stands_still_learns_that_it_was_given_up() {
    let book = book();
    let (first, second) = (book.begin(), book.begin());
    first.push(&[0; 400 * KIB], 700 * KIB).unwrap();
    second.push(&[0; 400 * KIB], 700 * KIB).unwrap();
    assert_eq!(first.given_up().await, BodyLoss::GivenUp);
}
