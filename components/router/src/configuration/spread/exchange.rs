//! Encodes and decodes configuration versions in peer messages.

use config::{Change, Config};
use protocol::{ConfigAnswer, FRAME_MAX_BYTES};
use thiserror::Error;
use types::ConfigVersion;
use utils::Digest;

use super::history::ConfigHistory;

/// Maximum size of an answer's content in bytes; the rest of the frame is left for its
/// envelope.
const CONTENT_MAX_BYTES: usize = FRAME_MAX_BYTES - 4_096;

/// Why a version was not sent to another router, or a received version was rejected.
#[derive(Debug, Error)]
pub(super) enum SpreadError {
    /// The version does not fit into a frame; the other router has to read it from the table.
    #[error("version {0} has {1} bytes, which exceeds the size limit of a message")]
    TooLarge(ConfigVersion, usize),
    /// The changes are based on a version that is not the active one.
    #[error("changes are based on version {0}, which is not active")]
    BaseMismatch(ConfigVersion),
    /// The content is not a configuration, or one of a newer release.
    #[error("malformed content: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The result differs from the sender's configuration.
    #[error("digest mismatch for version {0}")]
    DigestMismatch(ConfigVersion),
}

/// Creates the answer that brings a router from version `base` to `current`: only the changes
/// if `base` is in the history, otherwise the full configuration.
pub(super) fn create_answer(
    current: &Config,
    base: ConfigVersion,
    history: &ConfigHistory,
) -> Result<ConfigAnswer, SpreadError> {
    let full = serde_json::to_vec(current)?;
    let digest = Digest::from_content(&full).as_bytes().to_vec();
    let (base, content) = match history.changes(base, current) {
        Some(changes) => (base.0, serde_json::to_vec(&changes)?),
        None => (0, full),
    };
    if content.len() > CONTENT_MAX_BYTES {
        return Err(SpreadError::TooLarge(current.version, content.len()));
    }
    Ok(ConfigAnswer { version: current.version.0, base, digest, content })
}

/// Decodes the configuration from an answer; `current` is the active configuration.
pub(super) fn read_answer(answer: &ConfigAnswer, current: &Config) -> Result<Config, SpreadError> {
    let version = ConfigVersion(answer.version);
    let mut cfg = if answer.base == 0 {
        serde_json::from_slice(&answer.content)?
    } else {
        let base = ConfigVersion(answer.base);
        if base != current.version {
            return Err(SpreadError::BaseMismatch(base));
        }
        apply_changes(current.clone(), &serde_json::from_slice::<Vec<Change>>(&answer.content)?)
    };
    cfg.version = version;
    let digest = Digest::from_content(&serde_json::to_vec(&cfg)?);
    if digest.as_bytes()[..] != answer.digest {
        return Err(SpreadError::DigestMismatch(version));
    }
    Ok(cfg)
}

fn apply_changes(mut cfg: Config, changes: &[Change]) -> Config {
    changes.iter().for_each(|change| change.apply(&mut cfg));
    cfg
}

#[cfg(test)]
#[path = "exchange_tests.rs"]
mod tests;
