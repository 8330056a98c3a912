//! Parsing of JSON with comments.
//!
//! Settings files and configuration documents are JSON with `//` and `/* */`
//! comments. A document is checked in four steps: size and syntax, duplicate
//! fields and format version, the [`Rule`]s of its kind, and the fields of
//! its Rust type. The first error found is reported with its line and column
//! in the text with comments. Every document may have the field `format`,
//! whose only value at present is [`FORMAT_VERSION`].

use std::borrow::Cow;
use std::collections::HashSet;
use std::io::Read;
use std::ops::Range;

use json_comments::CommentSettings;
use serde::de::{DeserializeOwned, IgnoredAny};

/// The only value that the field `format` may have.
pub const FORMAT_VERSION: u64 = 1;

/// Longest name of an operator, domain, service, upstream or partner, in
/// ASCII characters.
pub const MAX_NAME_LEN: usize = 63;

/// Longest part of an invalid value or name that an error message repeats, in
/// characters.
const MAX_EXCERPT_LEN: usize = 64;

/// Longest message that is taken over from the JSON parser, in characters.
const MAX_MESSAGE_LEN: usize = 240;

/// Least similarity of two words, from 0 to 1, at which one is suggested for
/// the other.
const MIN_SIMILARITY_RATIO: f64 = 0.7;

/// Why a document cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JsoncError {
    /// The text is larger than its limit.
    TooLarge {
        /// Size of the text in bytes.
        size: usize,
        /// Largest size accepted, in bytes.
        limit: usize,
    },
    /// The text is not JSON with comments.
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column in characters, from 1.
        column: usize,
        /// What is wrong.
        message: String,
    },
    /// A field is unknown, missing or repeated, or its value is not allowed.
    Value {
        /// Line, from 1.
        line: usize,
        /// Column in characters, from 1.
        column: usize,
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
            Self::Value { line, column, field, message } => write!(
                f,
                "line {line}, column {column}: field {field}: {message}"
            ),
        }
    }
}

impl std::error::Error for JsoncError {}

/// A check of all fields whose path matches a pattern.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rule {
    /// The pattern: names of fields from the root on, where `*` matches any
    /// name.
    pub path: &'static [&'static str],
    /// What the matching fields must satisfy.
    pub check: Check,
}

/// What a [`Rule`] requires of a field. A value of the wrong JSON type passes;
/// the typed parser rejects it and names the type that it expects.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Check {
    /// The value is a whole number within these bounds, both included.
    Range(u64, u64),
    /// The value is a name; see [`is_name`].
    Name,
    /// The field's key is a name; see [`is_name`].
    Key,
    /// The value is an object with at most this many entries.
    Entries(usize),
}

/// An error in the value of one field, without its position in the text.
#[derive(Clone, Debug)]
pub(crate) struct FieldError {
    path: Vec<String>,
    message: String,
}

impl FieldError {
    /// An error of the field at `path`, named from the root on. `message`
    /// completes a sentence about the field, such as "must not be 0".
    pub(crate) fn new(path: &[&str], message: impl Into<String>) -> Self {
        let path = path.iter().map(|&s| s.to_owned()).collect();
        Self { path, message: message.into() }
    }
}

/// Whether `name` can name an operator, domain, service, upstream or
/// partner: 1 to 63 lowercase letters, digits and dashes.
///
/// # Example
///
/// ```
/// use lagoondyke_core::jsonc::is_name;
///
/// assert!(is_name("vendor-portal"));
/// assert!(!is_name("Vendor Portal"));
/// ```
#[must_use]
pub fn is_name(name: impl AsRef<str>) -> bool {
    let name = name.as_ref();
    let plain =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=MAX_NAME_LEN).contains(&name.len()) && name.bytes().all(plain)
}

/// The word of `known` that is most similar to the misspelt `word`, or `None`
/// if no word is similar enough.
///
/// # Example
///
/// ```
/// use lagoondyke_core::jsonc::suggest;
///
/// assert_eq!(suggest("shrads", ["groups", "shards"]), Some("shards"));
/// assert_eq!(suggest("colour", ["groups", "shards"]), None);
/// ```
#[must_use]
pub fn suggest<'a>(
    word: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let mut best = None;
    let mut score = MIN_SIMILARITY_RATIO;
    for name in known {
        let s = strsim::normalized_damerau_levenshtein(word, name)
            .max(strsim::jaro_winkler(word, name) - 0.1);
        if s >= score {
            score = s;
            best = Some(name);
        }
    }
    best
}

/// Parses a document of at most `limit` bytes as a value of type `T`.
///
/// # Errors
///
/// Returns an error if the text is oversized, malformed, or has a field
/// that is unknown, missing, repeated or of the wrong type.
///
/// # Example
///
/// ```
/// use std::collections::BTreeMap;
/// use lagoondyke_core::jsonc::parse;
///
/// let text = b"{\n  \"a\": 1, // first\n  \"a\": 2\n}";
/// let error = parse::<BTreeMap<String, u8>>(text, 100).unwrap_err();
/// assert_eq!(
///     error.to_string(),
///     "line 3, column 3: field a: is given twice, first in line 2"
/// );
/// ```
pub fn parse<T: DeserializeOwned>(
    text: &[u8],
    limit: usize,
) -> Result<T, JsoncError> {
    parse_with(text, limit, &[], |_| Ok(()))
}

/// Names of the fields of the outermost object, in the order of the text.
///
/// # Errors
///
/// Returns an error if the text is oversized, is not JSON with comments, or
/// has a field twice.
///
/// # Example
///
/// ```
/// use lagoondyke_core::jsonc::field_names;
///
/// let text = br#"{ "b": { "c": 1 }, "a": 2 } // end"#;
/// assert_eq!(field_names(text, 100).unwrap(), ["b", "a"]);
/// ```
pub fn field_names(
    text: &[u8],
    limit: usize,
) -> Result<Vec<String>, JsoncError> {
    let document = Document::new(text, limit)?;
    let top = document.fields.iter().skip(1).filter(|f| f.parent == 0);
    Ok(top.map(|f| f.name.clone().into_owned()).collect())
}

/// Byte range of the value of the field at `path`, or `None` if the text has
/// no such field. An editor replaces these bytes and leaves all others, with
/// the comments, as they are.
///
/// # Errors
///
/// Returns an error if the text is oversized, is not JSON with comments, or
/// has a field twice.
///
/// # Example
///
/// ```
/// use lagoondyke_core::jsonc::value_span;
///
/// let text = br#"{ "a": { "b": /* one */ 1 } }"#;
/// assert_eq!(value_span(text, 100, &["a", "b"]).unwrap(), Some(24..25));
/// assert_eq!(value_span(text, 100, &["b"]).unwrap(), None);
/// ```
pub fn value_span(
    text: &[u8],
    limit: usize,
    path: &[&str],
) -> Result<Option<Range<usize>>, JsoncError> {
    let document = Document::new(text, limit)?;
    let path: Vec<String> = path.iter().map(|&s| s.to_owned()).collect();
    let field = document.find(&path).map(|i| &document.fields[i]);
    Ok(field.map(|f| f.start..f.end))
}

/// Parses a document, and applies `rules` to its text and `check` to the
/// parsed value.
pub(crate) fn parse_with<T: DeserializeOwned>(
    text: &[u8],
    limit: usize,
    rules: &[Rule],
    check: impl FnOnce(&T) -> Result<(), FieldError>,
) -> Result<T, JsoncError> {
    let mut document = Document::new(text, limit)?;
    document.check_format()?;
    document.check_rules(rules)?;
    let value = serde_json::from_slice(&document.json)
        .map_err(|e| document.typed_error(&e))?;
    check(&value).map_err(|error| document.locate_error(error))?;
    Ok(value)
}

/// A field of an object, an element of an array, or the root of a document.
#[derive(Debug)]
struct Field<'a> {
    /// Index in [`Document::fields`] of the object or array that contains the
    /// field; the root contains itself.
    parent: usize,
    /// The key, or the index of an array element.
    name: Cow<'a, str>,
    /// Offset of the key, or of the value if there is no key.
    key: usize,
    /// Offset of the first byte of the value.
    start: usize,
    /// Offset after the last byte of the value.
    end: usize,
    /// Number of fields or elements directly within the value.
    count: usize,
}

/// The text of a document that is valid JSON, and the positions of its fields.
#[derive(Debug)]
struct Document<'a> {
    /// The text with comments, as the author wrote it.
    source: &'a str,
    /// The text with each byte of a comment replaced by a space, so that
    /// offsets in both texts are the same.
    json: Vec<u8>,
    /// All fields in the order of the text; the first one is the root.
    fields: Vec<Field<'a>>,
}

impl<'a> Document<'a> {
    fn new(bytes: &'a [u8], limit: usize) -> Result<Self, JsoncError> {
        let size = bytes.len();
        if size > limit {
            return Err(JsoncError::TooLarge { size, limit });
        }
        let source = std::str::from_utf8(bytes).map_err(|e| {
            let (line, column) = position(bytes, e.valid_up_to());
            let message = "text is not UTF-8".to_owned();
            JsoncError::Syntax { line, column, message }
        })?;
        let json = blank_comments(bytes)?;
        let mut document = Self { source, json, fields: Vec::new() };
        serde_json::from_slice::<IgnoredAny>(&document.json)
            .map_err(|e| document.syntax_error(&e))?;
        document.fields = Scanner::new(&document).run()?;
        Ok(document)
    }

    /// Checks the field `format` and overwrites it with spaces, so that the
    /// Rust types of documents need no field for it.
    fn check_format(&mut self) -> Result<(), JsoncError> {
        let index = self.find(&["format".to_owned()]);
        let Some(field) = index.map(|i| &self.fields[i]) else {
            return Ok(());
        };
        let (key, end) = (field.key, field.end);
        let value = &self.json[field.start..end];
        if serde_json::from_slice::<u64>(value).ok() != Some(FORMAT_VERSION) {
            let message = format!(
                "this version reads format {FORMAT_VERSION}, text has {}",
                excerpt(value)
            );
            let path = vec!["format".to_owned()];
            return Err(self.locate_error(FieldError { path, message }));
        }
        self.json[key..end].fill(b' ');
        // One of the commas around the field goes too.
        let blank = |b: &u8| b.is_ascii_whitespace();
        let after = self.json[end..].iter().position(|b| !blank(b));
        let before = self.json[..key].iter().rposition(|b| !blank(b));
        let neighbors = [after.map(|i| end + i), before];
        for at in neighbors.into_iter().flatten() {
            if self.json[at] == b',' {
                self.json[at] = b' ';
                break;
            }
        }
        Ok(())
    }

    fn check_rules(&self, rules: &[Rule]) -> Result<(), JsoncError> {
        for field in 0..self.fields.len() {
            for rule in rules {
                if !self.matches(field, rule.path) {
                    continue;
                }
                if let Some(message) = self.violation(field, rule.check) {
                    return Err(self.error_at(field, message));
                }
            }
        }
        Ok(())
    }

    /// Whether the path of the field with this index matches the pattern
    /// `path`.
    fn matches(&self, field: usize, path: &[&str]) -> bool {
        let mut at = field;
        for &part in path.iter().rev() {
            let here = &self.fields[at];
            if at == 0 || (part != "*" && part != here.name) {
                return false;
            }
            at = here.parent;
        }
        at == 0
    }

    /// The message if the field with this index violates `check`.
    fn violation(&self, field: usize, check: Check) -> Option<String> {
        let field = &self.fields[field];
        let value = &self.json[field.start..field.end];
        match check {
            Check::Range(low, high) => {
                if !matches!(value[0], b'-' | b'0'..=b'9') {
                    return None;
                }
                let number = serde_json::from_slice::<u64>(value).ok();
                let valid = number.is_some_and(|n| n >= low && n <= high);
                (!valid).then(|| {
                    let text = excerpt(value);
                    format!(
                        "must be a whole number from {low} to {high}, is \
                         {text}"
                    )
                })
            }
            Check::Name => {
                let name = serde_json::from_slice::<String>(value).ok()?;
                name_error(&name)
            }
            Check::Key => name_error(&field.name),
            Check::Entries(limit) => {
                let count = field.count;
                (count > limit)
                    .then(|| format!("has {count} entries, limit is {limit}"))
            }
        }
    }

    /// Index of the field at `path`. An empty path names no field.
    fn find(&self, path: &[String]) -> Option<usize> {
        let mut at = 0;
        for name in path {
            let named = |f: &Field| f.parent == at && f.name == *name;
            at = 1 + self.fields.iter().skip(1).position(named)?;
        }
        (at != 0).then_some(at)
    }

    /// Index of the innermost field that contains the byte at `offset`.
    fn innermost(&self, offset: usize) -> usize {
        let inside = |f: &Field| f.key <= offset && offset < f.end;
        self.fields.iter().rposition(inside).unwrap_or(0)
    }

    /// Names from the root to the field with this index, each shortened for
    /// an error message.
    fn path(&self, field: usize) -> Vec<String> {
        let mut path = Vec::new();
        let mut at = field;
        while at != 0 {
            path.push(shorten(&self.fields[at].name, MAX_EXCERPT_LEN));
            at = self.fields[at].parent;
        }
        path.reverse();
        path
    }

    /// Line and column in the text with comments.
    fn position(&self, offset: usize) -> (usize, usize) {
        position(self.source.as_bytes(), offset)
    }

    fn error_at(
        &self,
        field: usize,
        message: impl Into<String>,
    ) -> JsoncError {
        let (line, column) = self.position(self.fields[field].key);
        let mut field = self.path(field).join(".");
        if field.is_empty() {
            "(document)".clone_into(&mut field);
        }
        JsoncError::Value { line, column, field, message: message.into() }
    }

    /// Adds the position to a field error: that of the field or, if the field
    /// is absent, of the innermost object on its path that is present.
    fn locate_error(&self, error: FieldError) -> JsoncError {
        let mut field = 0;
        for depth in (1..=error.path.len()).rev() {
            if let Some(found) = self.find(&error.path[..depth]) {
                field = found;
                break;
            }
        }
        let (line, column) = self.position(self.fields[field].key);
        JsoncError::Value {
            line,
            column,
            field: error.path.join("."),
            message: error.message,
        }
    }

    /// Offset of an error of the JSON parser. The parser counts columns in
    /// bytes, and lines in the text without comments.
    fn offset(&self, error: &serde_json::Error) -> usize {
        let mut start = 0;
        for _ in 1..error.line() {
            let rest = &self.json[start..];
            let Some(end) = rest.iter().position(|&b| b == b'\n') else {
                break;
            };
            start += end + 1;
        }
        let last = self.json.len().saturating_sub(1);
        (start + error.column().saturating_sub(1)).min(last)
    }

    fn syntax_error(&self, error: &serde_json::Error) -> JsoncError {
        let empty = self.json.trim_ascii().is_empty();
        let offset = if empty { 0 } else { self.offset(error) };
        let message = if empty {
            "text has no content".to_owned()
        } else if error.is_eof() {
            format!("text ends too early: {}", unpositioned(error))
        } else {
            unpositioned(error)
        };
        let (line, column) = self.position(offset);
        JsoncError::Syntax { line, column, message }
    }

    /// The error for a value that is not of the Rust type that it is parsed
    /// as. Puts the messages of `serde_json` into the terms of documents.
    fn typed_error(&self, error: &serde_json::Error) -> JsoncError {
        let field = self.innermost(self.offset(error));
        let message = unpositioned(error);
        if message.starts_with("unknown field") {
            let words = backquoted(&message);
            return self.error_at(field, unknown_word(&words, "field"));
        }
        if message.starts_with("unknown variant") {
            let words = backquoted(&message);
            return self.error_at(field, unknown_word(&words, "value"));
        }
        if message.starts_with("missing field") {
            let mut path = self.path(field);
            path.extend(backquoted(&message).first().map(|&s| s.to_owned()));
            let message = "required field is missing".to_owned();
            return self.locate_error(FieldError { path, message });
        }
        if message.starts_with("invalid socket address") {
            let message = "must be an IP address and port such as \
                           \"10.0.0.1:7101\"";
            return self.error_at(field, message);
        }
        let message = message
            .replace("expected u16", "expected a whole number")
            .replace("expected u32", "expected a whole number")
            .replace("expected struct", "expected an object for");
        self.error_at(field, message)
    }
}

/// Finds the fields of a document, whose text must be valid JSON.
#[derive(Debug)]
struct Scanner<'t, 'a> {
    document: &'t Document<'a>,
    /// The fields found so far.
    fields: Vec<Field<'a>>,
    /// Indices of the objects and arrays that the scanner is in, the
    /// innermost last.
    open: Vec<usize>,
    /// Key and offset of a field whose value has not been scanned yet.
    key: Option<(Cow<'a, str>, usize)>,
    /// Parents and names of the fields found so far.
    seen: HashSet<(usize, Cow<'a, str>)>,
}

impl<'t, 'a> Scanner<'t, 'a> {
    fn new(document: &'t Document<'a>) -> Self {
        Self {
            document,
            fields: Vec::new(),
            open: Vec::new(),
            key: None,
            seen: HashSet::new(),
        }
    }

    fn run(mut self) -> Result<Vec<Field<'a>>, JsoncError> {
        let bytes = &self.document.json;
        let mut at = 0;
        while at < bytes.len() {
            match bytes[at] {
                b'{' | b'[' => {
                    let field = self.add(at, at + 1);
                    self.open.push(field);
                    at += 1;
                }
                b'}' | b']' => {
                    at += 1;
                    if let Some(field) = self.open.pop() {
                        self.fields[field].end = at;
                    }
                }
                b',' | b':' | b' ' | b'\t' | b'\r' | b'\n' => at += 1,
                b'"' => {
                    let end = string_end(bytes, at);
                    if self.expects_key() {
                        self.set_key(at, end)?;
                    } else {
                        self.add(at, end);
                    }
                    at = end;
                }
                _ => {
                    let end = scalar_end(bytes, at);
                    self.add(at, end);
                    at = end;
                }
            }
        }
        Ok(self.fields)
    }

    /// Whether a string at this point is a key rather than a value.
    fn expects_key(&self) -> bool {
        let Some(&field) = self.open.last() else { return false };
        let start = self.fields[field].start;
        self.key.is_none() && self.document.json[start] == b'{'
    }

    fn set_key(&mut self, at: usize, end: usize) -> Result<(), JsoncError> {
        let quoted = &self.document.source[at..end];
        // Most keys have no escapes and need no copy.
        let name = if quoted.contains('\\') {
            Cow::Owned(serde_json::from_str(quoted).map_err(|e| {
                let (line, column) = self.document.position(at);
                JsoncError::Syntax { line, column, message: unpositioned(&e) }
            })?)
        } else {
            Cow::Borrowed(&quoted[1..quoted.len() - 1])
        };
        let parent = self.open.last().copied().unwrap_or(0);
        if !self.seen.insert((parent, name.clone())) {
            return Err(self.duplicate_error(parent, &name, at));
        }
        self.key = Some((name, at));
        Ok(())
    }

    /// The error for a second field `name` in `parent`.
    fn duplicate_error(
        &self,
        parent: usize,
        name: &str,
        at: usize,
    ) -> JsoncError {
        let same = |f: &&Field| f.parent == parent && f.name == name;
        let first = self.fields.iter().skip(1).find(same);
        let (first, _) = self.document.position(first.map_or(at, |f| f.key));
        let (line, column) = self.document.position(at);
        let mut path = vec![shorten(name, MAX_EXCERPT_LEN)];
        let mut up = parent;
        while up != 0 {
            path.push(shorten(&self.fields[up].name, MAX_EXCERPT_LEN));
            up = self.fields[up].parent;
        }
        path.reverse();
        JsoncError::Value {
            line,
            column,
            field: path.join("."),
            message: format!("is given twice, first in line {first}"),
        }
    }

    /// Adds the field whose value extends from `start` to `end`, and returns
    /// its index.
    fn add(&mut self, start: usize, end: usize) -> usize {
        let mut parent = 0;
        let mut index = 0;
        if let Some(&open) = self.open.last() {
            parent = open;
            index = self.fields[parent].count;
            self.fields[parent].count += 1;
        }
        let element = || (Cow::Owned(index.to_string()), start);
        let (name, key) = self.key.take().unwrap_or_else(element);
        self.fields.push(Field { parent, name, key, start, end, count: 0 });
        self.fields.len() - 1
    }
}

/// Replaces each byte of a comment by a space. Fails if a comment or string
/// has no end, or if a `/` begins no comment.
fn blank_comments(text: &[u8]) -> Result<Vec<u8>, JsoncError> {
    let error = |offset, message: &str| {
        let (line, column) = position(text, offset);
        JsoncError::Syntax { line, column, message: message.to_owned() }
    };
    let comments = CommentSettings::c_style();
    let mut plain = Vec::with_capacity(text.len());
    if comments.strip_comments(text).read_to_end(&mut plain).is_ok() {
        return Ok(plain);
    }
    // The reader does not report the offset of its error, so the text is
    // read again one byte at a time.
    let mut strip = comments.strip_comments(text);
    let mut count = 0;
    while strip.read(&mut [0]).is_ok() {
        count += 1;
    }
    Err(if count < text.len() {
        error(count.saturating_sub(1), "`/` does not begin a comment")
    } else {
        let end = text.len().saturating_sub(1);
        error(end, "text ends within a string or comment")
    })
}

/// Line and column, both from 1, of the byte at `offset`. Columns count
/// characters.
fn position(text: &[u8], offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.split(|&b| b == b'\n').count();
    let start = before.iter().rposition(|&b| b == b'\n').map_or(0, |i| i + 1);
    let column = String::from_utf8_lossy(&before[start..]).chars().count() + 1;
    (line, column)
}

/// Offset after the closing quote of the string that begins at `at`.
fn string_end(text: &[u8], at: usize) -> usize {
    let mut end = at + 1;
    while end < text.len() {
        match text[end] {
            b'"' => return end + 1,
            b'\\' => end += 2,
            _ => end += 1,
        }
    }
    text.len()
}

/// Offset after the number or literal that begins at `at`.
fn scalar_end(text: &[u8], at: usize) -> usize {
    let stop = |b: &u8| b",:]} \t\r\n".contains(b);
    text[at..].iter().position(stop).map_or(text.len(), |i| at + i.max(1))
}

/// The message if `name` is not a name; see [`is_name`].
pub(crate) fn name_error(name: &str) -> Option<String> {
    (!is_name(name)).then(|| {
        format!(
            "{:?} is not a name: 1 to {MAX_NAME_LEN} lowercase letters, \
             digits and dashes",
            shorten(name, MAX_EXCERPT_LEN)
        )
    })
}

/// The message of a parser error without the position at its end.
fn unpositioned(error: &serde_json::Error) -> String {
    let message = error.to_string();
    let end = message.rfind(" at line ").unwrap_or(message.len());
    shorten(&message[..end], MAX_MESSAGE_LEN)
}

/// The words in backquotes in a message of the parser.
fn backquoted(message: &str) -> Vec<&str> {
    message.split('`').skip(1).step_by(2).collect()
}

/// The message for an unknown word, the first of `words`; the others are the
/// known ones. `what` says what they are, such as "field".
fn unknown_word(words: &[&str], what: &str) -> String {
    let Some((&word, known)) = words.split_first() else {
        return format!("unknown {what}");
    };
    match suggest(word, known.iter().copied()) {
        Some(name) => format!("unknown {what}, did you mean {name:?}?"),
        None => format!("unknown {what}, known are {}", known.join(", ")),
    }
}

/// The beginning of an invalid value, for an error message.
fn excerpt(value: &[u8]) -> String {
    shorten(&String::from_utf8_lossy(value), MAX_EXCERPT_LEN)
}

/// The first `limit` characters of `text`, with dots if that is not all.
fn shorten(text: &str, limit: usize) -> String {
    let mut out: String = text.chars().take(limit).collect();
    if out.len() < text.len() {
        out.push_str("...");
    }
    out
}
