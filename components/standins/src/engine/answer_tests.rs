//! Tests of `answer`.

use super::*;

#[test]
fn length_mark_sets_the_length_within_the_limit() {
    let messages = [ChatMessage::from_text("user", "hoops? [tokens=40]")];
    assert_eq!(expected_tokens(&messages, 100), 40);
    assert_eq!(expected_tokens(&messages, 10), 10);
    assert_eq!(expected_answer(&messages, 10).len(), 50);
}

#[test]
fn answers_to_two_prompts_differ() {
    let first = [ChatMessage::from_text("user", "first")];
    let second = [ChatMessage::from_text("user", "second")];
    assert_ne!(expected_answer(&first, 50), expected_answer(&second, 50));
}
