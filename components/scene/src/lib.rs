//! Scenes for the demo, the experiment tool and tests. A scene consists of routers and of stand-ins
//! for the systems around them, which run in one process and communicate over loopback.

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
        first_version,
    },
    tally::Tally,
    two_account_spec::two_account_spec,
};
