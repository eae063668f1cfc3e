//! `key`: makes a key and its hash.

use config::ApiKey;
use rand::Rng as _;
use serde::Serialize;

use crate::{context::CommandContext, exit::CommandError, output::print_json};

/// Forms of the arguments.
pub(super) const USAGE: &[&str] = &["key"];

/// What the command does.
pub(super) const ABOUT: &str =
    "Makes a random key and its hash; the hash goes into the configuration.";

/// A new key.
#[derive(Serialize)]
struct NewKey {
    /// Key in clear text, for its holder.
    key: String,
    /// Hash, for the configuration.
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
