//! Implements `account add-key` and `account remove-key`.

use serde_json::json;

use crate::{context::CommandContext, exit::CommandError, review::post_and_review};

/// Creates a plan that adds the key with this hash to an account or removes it from the account.
/// `field` is the field of the intent: `add_keys` or `remove_keys`.
pub(super) async fn change_key(
    cx: &CommandContext,
    field: &str,
    account: &str,
    hash: &str,
) -> Result<(), CommandError> {
    if utils::Digest::from_hex(hash).is_none() {
        let message = "HASH: expected the 64 hexadecimal digits that 'auburncrank key' prints";
        return Err(CommandError::Usage(message.to_owned()));
    }
    let intent = json!({ field: { account: [hash] } });
    post_and_review(cx, "/admin/v1/plans", intent.to_string().into()).await
}
