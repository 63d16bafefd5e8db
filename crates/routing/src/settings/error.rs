//! Why settings could not be decoded.

/// Why settings could not be decoded. The texts name the key as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A required setting is absent.
    #[error("setting {0} is missing")]
    Missing(String),
    /// A number was expected.
    #[error("setting {key}: '{text}' is no number")]
    NotANumber {
        /// The key.
        key: String,
        /// Its value.
        text: String,
    },
    /// A number is infinite or not a number.
    #[error("setting {0} is not finite")]
    NotFinite(String),
    /// A number is negative, or larger than any setting can be.
    #[error("setting {key}: {value} is out of range")]
    OutOfRange {
        /// The key.
        key: String,
        /// Its value, as decoded.
        value: String,
    },
    /// A boolean was expected.
    #[error("setting {key}: '{text}' is neither true nor false")]
    NotABoolean {
        /// The key.
        key: String,
        /// Its value.
        text: String,
    },
    /// A word is none of those that the key accepts.
    #[error("unknown {key} '{text}'")]
    UnknownWord {
        /// The key.
        key: String,
        /// Its value.
        text: String,
    },
    /// A list has fewer values than there are request classes.
    #[error("{0} is too short")]
    ListTooShort(&'static str),
    /// The staleness bound of a class is missing or not a number.
    #[error("{0} is unreadable")]
    Unreadable(&'static str),
    /// Two request classes have the same name.
    #[error("two classes are named '{0}'")]
    DuplicateClass(String),
}
