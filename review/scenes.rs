//! The scenes of the review cases.

use super::{clients::Call, runners::*, store::*, *};

#[path = "scene_world.rs"]
mod world;
#[path = "scene_frozen_router.rs"]
mod frozen_router;
#[path = "scene_named_tenant.rs"]
mod named_tenant;
#[path = "scene_older_copy.rs"]
mod older_copy;
#[path = "scene_renewed_runner.rs"]
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
