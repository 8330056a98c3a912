//! `lagoondyke check`: checks settings and configuration files without
//! network access.

use std::collections::BTreeSet;
use std::io::{Read, Write};

use lagoondyke_core::config::{Config, MAX_DOCUMENT_BYTES};
use lagoondyke_core::jsonc::{self, JsoncError};
use lagoondyke_core::settings::Settings;

use crate::exit::{Exit, Failure};

/// Content of a checked file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FileContent {
    /// Settings of a node.
    Settings(Box<Settings>),
    /// A configuration document.
    Config(Box<Config>),
}

impl std::fmt::Display for FileContent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Settings(s) => write!(
                f,
                "settings of node {} in domain {}, service {}",
                s.addr, s.domain, s.service
            ),
            Self::Config(c) => write!(
                f,
                "configuration of operator {}, {} domains, {} services",
                c.operator,
                c.domains.len(),
                c.services.len()
            ),
        }
    }
}

/// Parses a text as settings if more of its fields are specific to settings
/// than to configuration documents, and as a configuration document
/// otherwise.
///
/// # Errors
///
/// The first error in the text.
///
/// # Example
///
/// ```
/// use lagoondyke_cli::check::parse;
///
/// let error = parse(br#"{ "addr": 7101 }"#).unwrap_err();
/// assert!(error.to_string().starts_with("line 1, column 3: field addr:"));
/// ```
pub fn parse(text: &[u8]) -> Result<FileContent, JsoncError> {
    let fields = jsonc::field_names(text, MAX_DOCUMENT_BYTES)?;
    let fields: BTreeSet<&str> = fields.iter().map(String::as_str).collect();
    let settings_only = ["addr", "listen", "upstream", "store", "log"];
    let settings_count =
        settings_only.iter().filter(|&&f| fields.contains(f)).count();
    let config_only = ["domains", "services"];
    let config_count =
        config_only.iter().filter(|&&f| fields.contains(f)).count();
    if settings_count > config_count {
        return Ok(FileContent::Settings(Box::new(Settings::parse(text)?)));
    }
    Ok(FileContent::Config(Box::new(Config::parse(text, None)?)))
}

/// Reads a file, or standard input if its name is `-`.
///
/// # Errors
///
/// `Invalid` if the file cannot be read.
pub fn read_file(path: &str) -> Result<Vec<u8>, Failure> {
    let mut text = Vec::new();
    // One byte more than the limit, so that the parser reports a text that is
    // too large.
    let limit = MAX_DOCUMENT_BYTES as u64 + 1;
    let count = if path == "-" {
        std::io::stdin().take(limit).read_to_end(&mut text)
    } else {
        std::fs::File::open(path)
            .and_then(|file| file.take(limit).read_to_end(&mut text))
    };
    count.map_err(|e| {
        Failure::new(Exit::Invalid, format!("cannot read {path}: {e}"))
    })?;
    Ok(text)
}

/// Checks files and prints one line for each: what it contains, or its first
/// error.
///
/// # Errors
///
/// `Invalid` if a file is not valid.
pub fn check_files(
    paths: &[String],
    out: &mut dyn Write,
) -> Result<(), Failure> {
    let mut invalid = 0;
    for path in paths {
        let checked = read_file(path).and_then(|bytes| {
            let content = parse(&bytes);
            content.map_err(|e| Failure::new(Exit::Invalid, e.to_string()))
        });
        match checked {
            Ok(content) => writeln!(out, "{path}: {content}")?,
            Err(e) => {
                invalid += 1;
                writeln!(out, "{path}: {e}")?;
            }
        }
    }
    if invalid == 0 {
        return Ok(());
    }
    let message = format!("{invalid} of {} files are not valid", paths.len());
    Err(Failure::new(Exit::Invalid, message))
}
