//! Edits the text of a configuration document and keeps comments and layout.

use lagoondyke_core::config::{Config, MAX_DOCUMENT_BYTES};
use lagoondyke_core::jsonc::{self, JsoncError};

/// Why a text cannot be edited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EditError {
    /// The text is not a valid document, before or after the edit.
    Invalid(JsoncError),
    /// The document has no such domain.
    NoDomain {
        /// The name that the operator gave.
        name: String,
        /// A domain of the document with a similar name, if there is one.
        similar: Option<String>,
    },
    /// The edit would change more than the domain, or its place in the text
    /// was not found.
    NotEditable,
}

impl std::fmt::Display for EditError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Invalid(e) => e.fmt(f),
            Self::NoDomain { name, similar: None } => {
                write!(f, "document has no domain {name:?}")
            }
            Self::NoDomain { name, similar: Some(similar) } => write!(
                f,
                "document has no domain {name:?}, did you mean {similar:?}?"
            ),
            Self::NotEditable => f.write_str(
                "the text cannot be edited safely; edit it and use apply",
            ),
        }
    }
}

impl std::error::Error for EditError {}

impl From<JsoncError> for EditError {
    fn from(error: JsoncError) -> Self {
        Self::Invalid(error)
    }
}

/// Returns the text with the domain `name` taken out of service or put back,
/// or `None` if it is in that state already. All other bytes are kept.
///
/// # Errors
///
/// See [`EditError`].
///
/// # Example
///
/// ```
/// use lagoondyke_cli::edit::set_domain;
///
/// let text = br#"{
///     "operator": "jutland",
///     "domains": { "aarhus": {}, "vejle": {} }, // two sites
///     "services": {}
/// }"#;
/// let edited = set_domain(text, "vejle", true).unwrap().unwrap();
/// let edited = String::from_utf8(edited).unwrap();
/// assert!(edited.contains(r#""vejle": { "out": true } }, // two sites"#));
/// ```
pub fn set_domain(
    text: &[u8],
    name: &str,
    out: bool,
) -> Result<Option<Vec<u8>>, EditError> {
    let before = Config::parse(text, None)?;
    let Some(domain) = before.domains.get(name) else {
        let known = before.domains.keys().map(String::as_str);
        let similar = jsonc::suggest(name, known).map(str::to_owned);
        return Err(EditError::NoDomain { name: name.to_owned(), similar });
    };
    if domain.out == out {
        return Ok(None);
    }
    let mut expected = before.clone();
    expected.domains.entry(name.to_owned()).or_default().out = out;
    let edited = set_out_field(text, name, out)?;
    if Config::parse(&edited, Some(&before))? != expected {
        return Err(EditError::NotEditable);
    }
    Ok(Some(edited))
}

/// Replaces the value of the domain's field `out`, or adds the field.
fn set_out_field(
    text: &[u8],
    name: &str,
    out: bool,
) -> Result<Vec<u8>, EditError> {
    let field = ["domains", name, "out"];
    if let Some(span) = jsonc::value_span(text, MAX_DOCUMENT_BYTES, &field)? {
        let value = out.to_string();
        return Ok(splice(text, span.start, span.end, &value));
    }
    let object = jsonc::value_span(text, MAX_DOCUMENT_BYTES, &field[..2])?;
    let object = object.ok_or(EditError::NotEditable)?;
    // A domain has no other field, so the object has at most comments.
    let content = &text[object.start + 1..object.end - 1];
    let space = if content.is_empty() { " " } else { "" };
    let value = format!(" \"out\": {out}{space}");
    Ok(splice(text, object.start + 1, object.start + 1, &value))
}

/// Replaces the bytes from `start` to `end` of a text.
fn splice(text: &[u8], start: usize, end: usize, value: &str) -> Vec<u8> {
    [&text[..start], value.as_bytes(), &text[end..]].concat()
}
