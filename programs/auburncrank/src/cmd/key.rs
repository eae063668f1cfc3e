//! `key`: generates an API key and its hash.

use config::ApiKey;
use rand::Rng as _;
use serde::Serialize;

use crate::{context::CommandContext, exit::CommandError, output::print_json};

/// Usage lines, without the program's name.
pub(super) const USAGE: &[&str] = &["key"];

/// Description in the help text.
pub(super) const ABOUT: &str =
    "Generates a random API key and its hash; the hash goes into the configuration.";

/// New API key.
#[derive(Serialize)]
struct NewKey {
    /// Key in clear text, for the operator or client account that will use it.
    key: String,
    /// Hash of the key, for the configuration.
    hash: config::KeyHash,
}

/// Runs the command.
pub(super) async fn run(cx: &CommandContext) -> Result<(), CommandError> {
    let [] = cx.expect_arguments("key")?;
    let mut rng = utils::new_rng();
    let key = format!("ak-{:032x}{:032x}", rng.random::<u128>(), rng.random::<u128>());
    let new = NewKey { hash: ApiKey::new(&key).hash(), key };
    if cx.json {
        print_json(&new);
        return Ok(());
    }
    println!("key   {}", new.key);
    println!("hash  {}", serde_json::to_value(new.hash).unwrap_or_default().as_str().unwrap_or(""));
    Ok(())
}
