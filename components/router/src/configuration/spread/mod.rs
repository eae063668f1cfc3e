//! Spreads accepted configurations between routers without the table.
//!
//! A router announces each version that it activates to a few others, and heartbeats carry the
//! active version too. A router that learns of a higher version requests it. An accepted
//! version thus becomes active on all routers even while the table is unavailable.

mod exchange;
mod history;
mod spreader;

pub(crate) use self::spreader::CONFIRMATION_MAX_AGE;
pub use self::spreader::start_config_spread;
