//! Tests of `prompt`.

use super::*;

#[test]
fn prompts_with_a_shared_prefix_share_block_hashes() {
    let start = "stave ".repeat(100);
    let first = [ChatMessage::from_text("user", &format!("{start} first"))];
    let second = [ChatMessage::from_text("user", &format!("{start} other ending here"))];
    let (first, second) = (prompt_blocks(&first), prompt_blocks(&second));
    assert_eq!(first.len(), 2);
    assert_eq!(first, second);
}
