//! JSON with comments.
//!
//! Settings and configuration documents are JSON with `//` and `/* */`
//! comments. Comments are blanked before parsing, so that line and column
//! of an error are those of the text as written.

use serde::de::DeserializeOwned;

/// Why a text cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JsoncError {
    /// The text is larger than its limit.
    TooLarge {
        /// Its size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The text is malformed or has a wrong field.
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What is wrong.
        message: String,
    },
    /// A field's value is not allowed.
    Value {
        /// Path of the field, such as `services.katalog.shards`.
        field: String,
        /// What is wrong, with the limit.
        message: String,
    },
}

impl std::fmt::Display for JsoncError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge { size, limit } => {
                write!(f, "text has {size} bytes, limit is {limit}")
            }
            Self::Syntax { line, column, message } => {
                write!(f, "line {line}, column {column}: {message}")
            }
            Self::Value { field, message } => {
                write!(f, "field {field}: {message}")
            }
        }
    }
}

impl std::error::Error for JsoncError {}

/// Parses a text of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the text is oversized, malformed, or has a field
/// that is unknown, missing or of the wrong type.
pub fn parse<T: DeserializeOwned>(
    text: &[u8],
    limit: usize,
) -> Result<T, JsoncError> {
    if text.len() > limit {
        return Err(JsoncError::TooLarge { size: text.len(), limit });
    }
    let plain = json_comments::StripComments::new(text);
    serde_json::from_reader(plain).map_err(|e| JsoncError::Syntax {
        line: e.line(),
        column: e.column(),
        message: e.to_string(),
    })
}
