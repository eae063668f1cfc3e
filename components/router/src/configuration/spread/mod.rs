//! Spread of accepted configurations between routers, without the table.
//!
//! A router tells some others of each version that it brings into force; heartbeats carry
//! the version, too. One that hears of a higher version asks for it. So an accepted
//! version is in force everywhere also while the table is away.

mod exchange;
mod history;
mod spreader;

pub(crate) use self::spreader::CONFIRMED_SPAN;
pub use self::spreader::start_config_spread;
