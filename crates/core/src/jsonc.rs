//! JSON with comments.
//!
//! Settings and configuration documents are JSON with `//` and `/* */`
//! comments. A text is checked in four steps: size and syntax, duplicate
//! fields and format, the [`Rule`]s of its kind, and the fields of its type.
//! The first fault found is reported with the line and column of the text as
//! written. The field `format` may be present in every document; its only
//! value at present is [`FORMAT`].

use std::borrow::Cow;
use std::collections::HashSet;
use std::io::Read;
use std::ops::Range;

use json_comments::CommentSettings;
use serde::de::{DeserializeOwned, IgnoredAny};

/// The format of documents that this version reads.
pub const FORMAT: u64 = 1;

/// Longest name of an operator, domain, service, upstream or partner.
pub const NAME_MAX: usize = 63;

/// Longest part of a wrong value that an error repeats, in characters.
const QUOTE_MAX: usize = 64;

/// Longest message taken from the JSON parser, in characters.
const MESSAGE_MAX: usize = 240;

/// Least similarity, from 0 to 1, at which a field is suggested.
const SIMILAR: f64 = 0.7;

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

/// A check of all fields whose path matches a pattern; `*` matches any name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rule {
    /// The pattern, from the root.
    pub path: &'static [&'static str],
    /// The check.
    pub check: Check,
}

/// What a [`Rule`] demands of a field. A value of another JSON type is left
/// to the typed parser, which names the type it expects.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Check {
    /// A whole number within bounds, both included.
    Range(u64, u64),
    /// A string that is a name.
    Name,
    /// The field's own key is a name.
    Key,
    /// An object with at most this many entries.
    Entries(usize),
}

/// What is wrong with the value of one field.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    path: Vec<String>,
    message: String,
}

impl Fault {
    /// A fault of the field at `path`.
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
    (1..=NAME_MAX).contains(&name.len()) && name.bytes().all(plain)
}

/// The name among `known` that `word` most likely means.
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
    let mut score = SIMILAR;
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

/// Parses a text of at most `limit` bytes.
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

/// The names of the fields of the outermost object, in the order written.
///
/// # Errors
///
/// Returns an error if the text is oversized, is not JSON with comments, or
/// has a field twice.
///
/// # Example
///
/// ```
/// use lagoondyke_core::jsonc::fields;
///
/// let text = br#"{ "b": { "c": 1 }, "a": 2 } // end"#;
/// assert_eq!(fields(text, 100).unwrap(), ["b", "a"]);
/// ```
pub fn fields(text: &[u8], limit: usize) -> Result<Vec<String>, JsoncError> {
    let text = Text::new(text, limit)?;
    let top = text.places.iter().skip(1).filter(|p| p.parent == 0);
    Ok(top.map(|p| p.name.clone().into_owned()).collect())
}

/// Offsets of the value of the field at `path`, or `None` if the text has no
/// such field. An editor replaces these bytes and keeps all others.
///
/// # Errors
///
/// Returns an error if the text is oversized, is not JSON with comments, or
/// has a field twice.
///
/// # Example
///
/// ```
/// use lagoondyke_core::jsonc::span;
///
/// let text = br#"{ "a": { "b": /* one */ 1 } }"#;
/// assert_eq!(span(text, 100, &["a", "b"]).unwrap(), Some(24..25));
/// assert_eq!(span(text, 100, &["b"]).unwrap(), None);
/// ```
pub fn span(
    text: &[u8],
    limit: usize,
    path: &[&str],
) -> Result<Option<Range<usize>>, JsoncError> {
    let text = Text::new(text, limit)?;
    let path: Vec<String> = path.iter().map(|&s| s.to_owned()).collect();
    let place = text.find(&path).map(|i| &text.places[i]);
    Ok(place.map(|p| p.start..p.end))
}

/// Parses a text and applies `rules` and then `check` to it.
pub(crate) fn parse_with<T: DeserializeOwned>(
    text: &[u8],
    limit: usize,
    rules: &[Rule],
    check: impl FnOnce(&T) -> Result<(), Fault>,
) -> Result<T, JsoncError> {
    let mut text = Text::new(text, limit)?;
    text.check_format()?;
    text.check_rules(rules)?;
    let value = serde_json::from_slice(&text.plain)
        .map_err(|e| text.typed_error(&e))?;
    check(&value).map_err(|fault| text.fault_error(fault))?;
    Ok(value)
}

/// One field or array element of a text.
#[derive(Debug)]
struct Place<'a> {
    /// Index of the object or array that contains it; the root contains
    /// itself.
    parent: usize,
    name: Cow<'a, str>,
    /// Offset of its key, or of its value if it has no key.
    key: usize,
    /// Offsets of its value.
    start: usize,
    end: usize,
    /// Number of entries or elements directly within it.
    count: usize,
}

/// A text that is valid JSON, and where its fields are.
#[derive(Debug)]
struct Text<'a> {
    written: &'a str,
    /// The text with each byte of a comment replaced by a space, so that
    /// offsets in both are the same.
    plain: Vec<u8>,
    places: Vec<Place<'a>>,
}

impl<'a> Text<'a> {
    fn new(bytes: &'a [u8], limit: usize) -> Result<Self, JsoncError> {
        let size = bytes.len();
        if size > limit {
            return Err(JsoncError::TooLarge { size, limit });
        }
        let written = std::str::from_utf8(bytes).map_err(|e| {
            let (line, column) = position(bytes, e.valid_up_to());
            let message = "text is not UTF-8".to_owned();
            JsoncError::Syntax { line, column, message }
        })?;
        let plain = blank_comments(bytes)?;
        let mut text = Self { written, plain, places: Vec::new() };
        serde_json::from_slice::<IgnoredAny>(&text.plain)
            .map_err(|e| text.syntax_error(&e))?;
        text.places = Walk::new(&text).run()?;
        Ok(text)
    }

    /// Checks the field `format` and blanks it, so that the types of
    /// documents need no field for it.
    fn check_format(&mut self) -> Result<(), JsoncError> {
        let found = self.find(&["format".to_owned()]);
        let Some(place) = found.map(|i| &self.places[i]) else {
            return Ok(());
        };
        let (key, end) = (place.key, place.end);
        let value = &self.plain[place.start..end];
        if serde_json::from_slice::<u64>(value).ok() != Some(FORMAT) {
            let message = format!(
                "this version reads format {FORMAT}, text has {}",
                quote(value)
            );
            let path = vec!["format".to_owned()];
            return Err(self.fault_error(Fault { path, message }));
        }
        self.plain[key..end].fill(b' ');
        let blank = |b: &u8| b.is_ascii_whitespace();
        let after = self.plain[end..].iter().position(|b| !blank(b));
        let before = self.plain[..key].iter().rposition(|b| !blank(b));
        let comma = [after.map(|i| end + i), before];
        for at in comma.into_iter().flatten() {
            if self.plain[at] == b',' {
                self.plain[at] = b' ';
                break;
            }
        }
        Ok(())
    }

    fn check_rules(&self, rules: &[Rule]) -> Result<(), JsoncError> {
        for place in 0..self.places.len() {
            for rule in rules {
                if !self.matches(place, rule.path) {
                    continue;
                }
                if let Some(message) = self.broken(place, rule.check) {
                    return Err(self.error_at(place, message));
                }
            }
        }
        Ok(())
    }

    fn matches(&self, place: usize, path: &[&str]) -> bool {
        let mut at = place;
        for &part in path.iter().rev() {
            let here = &self.places[at];
            if at == 0 || (part != "*" && part != here.name) {
                return false;
            }
            at = here.parent;
        }
        at == 0
    }

    /// What is wrong with the value at `place`, if anything is.
    fn broken(&self, place: usize, check: Check) -> Option<String> {
        let place = &self.places[place];
        let value = &self.plain[place.start..place.end];
        match check {
            Check::Range(low, high) => {
                if !matches!(value[0], b'-' | b'0'..=b'9') {
                    return None;
                }
                let number = serde_json::from_slice::<u64>(value).ok();
                let good = number.is_some_and(|n| n >= low && n <= high);
                (!good).then(|| {
                    let is = quote(value);
                    format!(
                        "must be a whole number from {low} to {high}, is {is}"
                    )
                })
            }
            Check::Name => {
                let name = serde_json::from_slice::<String>(value).ok()?;
                bad_name(&name)
            }
            Check::Key => bad_name(&place.name),
            Check::Entries(limit) => {
                let count = place.count;
                (count > limit)
                    .then(|| format!("has {count} entries, limit is {limit}"))
            }
        }
    }

    /// The field at `path`.
    fn find(&self, path: &[String]) -> Option<usize> {
        let mut at = 0;
        for name in path {
            let named = |p: &Place| p.parent == at && p.name == *name;
            at = 1 + self.places.iter().skip(1).position(named)?;
        }
        (at != 0).then_some(at)
    }

    /// The innermost field that contains the byte at `offset`.
    fn innermost(&self, offset: usize) -> usize {
        let inside = |p: &Place| p.key <= offset && offset < p.end;
        self.places.iter().rposition(inside).unwrap_or(0)
    }

    fn path(&self, place: usize) -> Vec<String> {
        let mut path = Vec::new();
        let mut at = place;
        while at != 0 {
            path.push(shorten(&self.places[at].name, QUOTE_MAX));
            at = self.places[at].parent;
        }
        path.reverse();
        path
    }

    /// Line and column of the text as written.
    fn position(&self, offset: usize) -> (usize, usize) {
        position(self.written.as_bytes(), offset)
    }

    fn error_at(
        &self,
        place: usize,
        message: impl Into<String>,
    ) -> JsoncError {
        let (line, column) = self.position(self.places[place].key);
        let mut field = self.path(place).join(".");
        if field.is_empty() {
            "(document)".clone_into(&mut field);
        }
        JsoncError::Value { line, column, field, message: message.into() }
    }

    /// The error for a fault, placed at its field or, if the field is
    /// absent, at the nearest object that should contain it.
    fn fault_error(&self, fault: Fault) -> JsoncError {
        let mut place = 0;
        for depth in (1..=fault.path.len()).rev() {
            if let Some(found) = self.find(&fault.path[..depth]) {
                place = found;
                break;
            }
        }
        let (line, column) = self.position(self.places[place].key);
        JsoncError::Value {
            line,
            column,
            field: fault.path.join("."),
            message: fault.message,
        }
    }

    /// The offset that an error of the JSON parser names: its columns count
    /// bytes, and its lines are those of the blanked text.
    fn offset(&self, error: &serde_json::Error) -> usize {
        let mut start = 0;
        for _ in 1..error.line() {
            let rest = &self.plain[start..];
            let Some(end) = rest.iter().position(|&b| b == b'\n') else {
                break;
            };
            start += end + 1;
        }
        let last = self.plain.len().saturating_sub(1);
        (start + error.column().saturating_sub(1)).min(last)
    }

    fn syntax_error(&self, error: &serde_json::Error) -> JsoncError {
        let empty = self.plain.trim_ascii().is_empty();
        let offset = if empty { 0 } else { self.offset(error) };
        let message = if empty {
            "text has no content".to_owned()
        } else if error.is_eof() {
            format!("text ends too early: {}", bare(error))
        } else {
            bare(error)
        };
        let (line, column) = self.position(offset);
        JsoncError::Syntax { line, column, message }
    }

    fn typed_error(&self, error: &serde_json::Error) -> JsoncError {
        let place = self.innermost(self.offset(error));
        let message = bare(error);
        if message.starts_with("unknown field") {
            let known = quoted(&message);
            return self.error_at(place, unknown(&known, "field"));
        }
        if message.starts_with("unknown variant") {
            let known = quoted(&message);
            return self.error_at(place, unknown(&known, "value"));
        }
        if message.starts_with("missing field") {
            let mut path = self.path(place);
            path.extend(quoted(&message).first().map(|&s| s.to_owned()));
            let message = "required field is missing".to_owned();
            return self.fault_error(Fault { path, message });
        }
        if message.starts_with("invalid socket address") {
            let message = "must be an IP address and port such as \
                           \"10.0.0.1:7101\"";
            return self.error_at(place, message);
        }
        let message = message
            .replace("expected u16", "expected a whole number")
            .replace("expected u32", "expected a whole number")
            .replace("expected struct", "expected an object for");
        self.error_at(place, message)
    }
}

/// Finds the fields of a text that is valid JSON.
#[derive(Debug)]
struct Walk<'t, 'a> {
    text: &'t Text<'a>,
    places: Vec<Place<'a>>,
    /// Indices of the objects and arrays that are open.
    open: Vec<usize>,
    /// A key whose value has not begun.
    key: Option<(Cow<'a, str>, usize)>,
    seen: HashSet<(usize, Cow<'a, str>)>,
}

impl<'t, 'a> Walk<'t, 'a> {
    fn new(text: &'t Text<'a>) -> Self {
        Self {
            text,
            places: Vec::new(),
            open: Vec::new(),
            key: None,
            seen: HashSet::new(),
        }
    }

    fn run(mut self) -> Result<Vec<Place<'a>>, JsoncError> {
        let bytes = &self.text.plain;
        let mut at = 0;
        while at < bytes.len() {
            match bytes[at] {
                b'{' | b'[' => {
                    let place = self.add(at, at + 1);
                    self.open.push(place);
                    at += 1;
                }
                b'}' | b']' => {
                    at += 1;
                    if let Some(place) = self.open.pop() {
                        self.places[place].end = at;
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
        Ok(self.places)
    }

    fn expects_key(&self) -> bool {
        let Some(&place) = self.open.last() else { return false };
        let start = self.places[place].start;
        self.key.is_none() && self.text.plain[start] == b'{'
    }

    fn set_key(&mut self, at: usize, end: usize) -> Result<(), JsoncError> {
        let quoted = &self.text.written[at..end];
        // Most keys have no escapes and need no copy.
        let name = if quoted.contains('\\') {
            Cow::Owned(serde_json::from_str(quoted).map_err(|e| {
                let (line, column) = self.text.position(at);
                JsoncError::Syntax { line, column, message: bare(&e) }
            })?)
        } else {
            Cow::Borrowed(&quoted[1..quoted.len() - 1])
        };
        let parent = self.open.last().copied().unwrap_or(0);
        if !self.seen.insert((parent, name.clone())) {
            return Err(self.twice(parent, &name, at));
        }
        self.key = Some((name, at));
        Ok(())
    }

    fn twice(&self, parent: usize, name: &str, at: usize) -> JsoncError {
        let same = |p: &&Place| p.parent == parent && p.name == name;
        let first = self.places.iter().skip(1).find(same);
        let (first, _) = self.text.position(first.map_or(at, |p| p.key));
        let (line, column) = self.text.position(at);
        let mut path = vec![shorten(name, QUOTE_MAX)];
        let mut up = parent;
        while up != 0 {
            path.push(shorten(&self.places[up].name, QUOTE_MAX));
            up = self.places[up].parent;
        }
        path.reverse();
        JsoncError::Value {
            line,
            column,
            field: path.join("."),
            message: format!("is given twice, first in line {first}"),
        }
    }

    /// Adds the value from `start` to `end` and returns its index.
    fn add(&mut self, start: usize, end: usize) -> usize {
        let mut parent = 0;
        let mut index = 0;
        if let Some(&open) = self.open.last() {
            parent = open;
            index = self.places[parent].count;
            self.places[parent].count += 1;
        }
        let element = || (Cow::Owned(index.to_string()), start);
        let (name, key) = self.key.take().unwrap_or_else(element);
        self.places.push(Place { parent, name, key, start, end, count: 0 });
        self.places.len() - 1
    }
}

/// Replaces each byte of a comment by a space.
fn blank_comments(text: &[u8]) -> Result<Vec<u8>, JsoncError> {
    let fault = |offset, message: &str| {
        let (line, column) = position(text, offset);
        JsoncError::Syntax { line, column, message: message.to_owned() }
    };
    let comments = CommentSettings::c_style();
    let mut plain = Vec::with_capacity(text.len());
    if comments.strip_comments(text).read_to_end(&mut plain).is_ok() {
        return Ok(plain);
    }
    // The reader does not tell where it failed, so it is read again one byte
    // at a time.
    let mut strip = comments.strip_comments(text);
    let mut count = 0;
    while strip.read(&mut [0]).is_ok() {
        count += 1;
    }
    Err(if count < text.len() {
        fault(count.saturating_sub(1), "`/` does not begin a comment")
    } else {
        let end = text.len().saturating_sub(1);
        fault(end, "text ends within a string or comment")
    })
}

/// Line and column, in characters, of the byte at `offset`.
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

/// What is wrong with `name`, if it is not a name.
pub(crate) fn bad_name(name: &str) -> Option<String> {
    (!is_name(name)).then(|| {
        format!(
            "{:?} is not a name: 1 to {NAME_MAX} lowercase letters, digits \
             and dashes",
            shorten(name, QUOTE_MAX)
        )
    })
}

/// The message of a parser error without its position.
fn bare(error: &serde_json::Error) -> String {
    let message = error.to_string();
    let end = message.rfind(" at line ").unwrap_or(message.len());
    shorten(&message[..end], MESSAGE_MAX)
}

/// The words in backquotes within a parser's message.
fn quoted(message: &str) -> Vec<&str> {
    message.split('`').skip(1).step_by(2).collect()
}

/// Message for an unknown word, the first of `words`; the rest are known.
fn unknown(words: &[&str], what: &str) -> String {
    let Some((&word, known)) = words.split_first() else {
        return format!("unknown {what}");
    };
    match suggest(word, known.iter().copied()) {
        Some(name) => format!("unknown {what}, did you mean {name:?}?"),
        None => format!("unknown {what}, known are {}", known.join(", ")),
    }
}

fn quote(value: &[u8]) -> String {
    shorten(&String::from_utf8_lossy(value), QUOTE_MAX)
}

fn shorten(text: &str, limit: usize) -> String {
    let mut out: String = text.chars().take(limit).collect();
    if out.len() < text.len() {
        out.push_str("...");
    }
    out
}
