//! Scenes of stand-ins and routers in one process over loopback, for the demo, the
//! experiment tool and tests.

mod error;
mod router_set;
mod running_scene;
mod scene_spec;
mod tally;
mod two_users;

pub use self::{
    error::SceneError,
    router_set::RouterSet,
    running_scene::Scene,
    scene_spec::{
        AccountSpec, ActionSpec, EngineSpec, RouterSpec, SceneSpec, ServiceSpec, account_key,
    },
    tally::Tally,
    two_users::two_account_spec,
};
