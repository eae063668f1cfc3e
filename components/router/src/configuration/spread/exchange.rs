//! Versions of the configuration as messages.

use config::{Change, Config};
use protocol::{ConfigAnswer, FRAME_MAX_BYTES};
use thiserror::Error;
use types::ConfigVersion;
use utils::Digest;

use super::history::ConfigHistory;

/// Longest content of an answer, in bytes; the rest of a frame is for its envelope.
const CONTENT_MAX_BYTES: usize = FRAME_MAX_BYTES - 4_096;

/// Why a version was not passed on or taken over.
#[derive(Debug, Error)]
pub(super) enum SpreadError {
    /// It does not fit into a frame, and has to be read from the table.
    #[error("version {0} has {1} bytes, too many for one message")]
    TooLong(ConfigVersion, usize),
    /// It starts from a version that is not in force here any more.
    #[error("changes start from version {0}, which is not in force")]
    OtherBase(ConfigVersion),
    /// It is no configuration, or one of a newer program.
    #[error("malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// It is not what the sender has in force.
    #[error("the digest of version {0} differs")]
    OtherDigest(ConfigVersion),
}

/// Creates the answer that brings a router from version `base` to `current`: changes
/// where the base is known, and the whole otherwise.
pub(super) fn create_answer(
    current: &Config,
    base: ConfigVersion,
    history: &ConfigHistory,
) -> Result<ConfigAnswer, SpreadError> {
    let whole = serde_json::to_vec(current)?;
    let digest = Digest::from_content(&whole).as_bytes().to_vec();
    let (base, content) = match history.changes(base, current) {
        Some(changes) => (base.0, serde_json::to_vec(&changes)?),
        None => (0, whole),
    };
    if content.len() > CONTENT_MAX_BYTES {
        return Err(SpreadError::TooLong(current.version, content.len()));
    }
    Ok(ConfigAnswer { version: current.version.0, base, digest, content })
}

/// Reads the configuration from an answer; `current` is in force.
pub(super) fn read_answer(answer: &ConfigAnswer, current: &Config) -> Result<Config, SpreadError> {
    let version = ConfigVersion(answer.version);
    let mut cfg = if answer.base == 0 {
        serde_json::from_slice(&answer.content)?
    } else {
        let base = ConfigVersion(answer.base);
        if base != current.version {
            return Err(SpreadError::OtherBase(base));
        }
        apply_changes(current.clone(), &serde_json::from_slice::<Vec<Change>>(&answer.content)?)
    };
    cfg.version = version;
    let digest = Digest::from_content(&serde_json::to_vec(&cfg)?);
    if digest.as_bytes()[..] != answer.digest {
        return Err(SpreadError::OtherDigest(version));
    }
    Ok(cfg)
}

fn apply_changes(mut cfg: Config, changes: &[Change]) -> Config {
    changes.iter().for_each(|change| change.apply(&mut cfg));
    cfg
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use super::*;

    fn version(number: u64) -> Config {
        let fingerprint = Digest::from_content(&number.to_le_bytes()).to_string();
        let quarantine = [fingerprint].into();
        Config { version: ConfigVersion(number), quarantine, ..Config::default() }
    }

    #[test]
    fn router_gets_changes_where_its_version_is_known_and_the_whole_otherwise() {
        let mut history = ConfigHistory::default();
        [2, 3, 4].into_iter().for_each(|it| history.push(Arc::new(version(it))));
        for (base, expected_base) in [(3, 3), (2, 2), (1, 0), (0, 0)] {
            let answer = create_answer(&version(4), ConfigVersion(base), &history).unwrap();
            assert_eq!(answer.base, expected_base);
            assert_eq!(read_answer(&answer, &version(base)).unwrap(), version(4));
        }
    }

    #[test]
    fn answer_that_does_not_fit_is_refused() {
        let mut history = ConfigHistory::default();
        [2, 3].into_iter().for_each(|it| history.push(Arc::new(version(it))));
        let answer = create_answer(&version(3), ConfigVersion(2), &history).unwrap();
        let other_base = read_answer(&answer, &version(1));
        assert!(matches!(other_base, Err(SpreadError::OtherBase(_))));
        // A configuration with the number of the base but other content.
        let forked = Config { version: ConfigVersion(2), ..version(7) };
        assert!(matches!(read_answer(&answer, &forked), Err(SpreadError::OtherDigest(_))));
        let corrupt = ConfigAnswer { content: b"{".to_vec(), ..answer };
        assert!(matches!(read_answer(&corrupt, &version(2)), Err(SpreadError::Malformed(_))));
    }
}
