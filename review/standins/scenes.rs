//! The scenes of the review cases.

use super::{clients::Call, runners::*, store::*, *};

mod world;
mod frozen_router;
mod named_tenant;
mod older_copy;
mod renewed_runner;


/// Plays a scene. Returns how the rule was broken, or why the scene could not run.
pub fn play(name: &str, is_troubled: bool, folder: &PathBuf, record: &Record) -> Result<Vec<String>, String> {
    match name {
        "frozen-router" => frozen_router::play(is_troubled, folder, record),
        "older-copy" => older_copy::play(is_troubled, folder, record),
        "named-tenant" => named_tenant::play(is_troubled, folder, record),
        "renewed-runner" => renewed_runner::play(is_troubled, folder, record),
        _ => Err(format!("no scene {name}")),
    }
}
