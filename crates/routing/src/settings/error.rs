//! Errors in the decoding of settings.

/// An error in the decoding of settings. The message names the key as it is spelled in the input.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A required setting is absent.
    #[error("setting {0} is missing")]
    Missing(String),
    /// The value cannot be parsed as a number.
    #[error("setting {key}: '{text}' is not a number")]
    NotANumber {
        /// The key of the setting.
        key: String,
        /// The value as it was given.
        text: String,
    },
    /// The value is infinite or NaN.
    #[error("setting {0} is not a finite number")]
    NotFinite(String),
    /// The number is negative, or larger than the maximum for any setting.
    #[error("setting {key}: {value} is out of range")]
    OutOfRange {
        /// The key of the setting.
        key: String,
        /// The decoded number.
        value: String,
    },
    /// The value is not one of `true`, `false`, `1` and `0`.
    #[error("setting {key}: '{text}' is neither true nor false")]
    NotABoolean {
        /// The key of the setting.
        key: String,
        /// The value as it was given.
        text: String,
    },
    /// The value is not one of the words that the setting accepts.
    #[error("setting {key}: unknown value '{text}'")]
    UnknownWord {
        /// The key of the setting.
        key: String,
        /// The value as it was given.
        text: String,
    },
    /// A list has fewer values than there are request classes.
    #[error("setting {0} has fewer values than there are request classes")]
    ListTooShort(&'static str),
    /// The staleness bound of a request class is missing or not a number.
    #[error("setting {0}: the staleness bound of a request class is missing or not a number")]
    InvalidStalenessBound(&'static str),
    /// Two request classes have the same name.
    #[error("two classes are named '{0}'")]
    DuplicateClass(String),
}
