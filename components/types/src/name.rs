//! Validated names, stored as shared immutable strings.

use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Reason why a text is not a valid name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text has more than [`NAME_MAX_BYTES`] bytes.
    #[error("a name has at most {NAME_MAX_BYTES} bytes")]
    TooLong,
    /// The text contains a character that is not allowed.
    #[error("a name is made of a-z, A-Z, 0-9, '-', '_' and '.'; found {0:?}")]
    BadCharacter(char),
}

/// Checks that `text` is a valid name.
pub(crate) fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_MAX_BYTES {
        return Err(NameError::TooLong);
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|&c| !is_allowed(c)) {
        Some(c) => Err(NameError::BadCharacter(c)),
        None => Ok(()),
    }
}

/// Defines a name type: a shared immutable string that is validated on creation.
macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Creates the name, or returns why `text` is not a valid name.
            pub fn new(text: &str) -> Result<$name, $crate::NameError> {
                $crate::name::check_name(text)?;
                Ok($name(text.into()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(&self.0)
            }
        }

        impl std::fmt::Debug for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::NameError;

            fn from_str(text: &str) -> Result<$name, $crate::NameError> {
                $name::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::NameError;

            fn try_from(text: String) -> Result<$name, $crate::NameError> {
                $name::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }
    };
}

pub(crate) use define_name;

#[cfg(test)]
#[path = "name_tests.rs"]
mod tests;
