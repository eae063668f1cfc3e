//! Scenes: routers and stand-ins for the systems around them, all in one process and connected over
//! loopback. For the demo, the experiment tool and tests.

mod error;
mod router_set;
mod running_scene;
mod scene_spec;
mod tally;
mod two_account_spec;

pub use self::{
    error::SceneError,
    router_set::RouterSet,
    running_scene::Scene,
    scene_spec::{
        AccountSpec, ActionSpec, EngineSpec, RouterSpec, SceneSpec, ServiceSpec, account_key,
    },
    tally::Tally,
    two_account_spec::two_account_spec,
};
