//! `lagoondyke check`: settings and configuration files, without network.

use std::collections::BTreeSet;
use std::io::{Read, Write};

use lagoondyke_core::config::{Config, MAX_DOCUMENT_BYTES};
use lagoondyke_core::jsonc::{self, JsoncError};
use lagoondyke_core::settings::Settings;

use crate::exit::{Exit, Failure};

/// What a text is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Settings of a node.
    Settings(Box<Settings>),
    /// A configuration document.
    Config(Box<Config>),
}

impl std::fmt::Display for Kind {
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

/// Checks a text as settings if it has a field that only settings have, and
/// as a configuration document otherwise.
///
/// # Errors
///
/// The first fault of the text.
///
/// # Example
///
/// ```
/// use lagoondyke_cli::check::text;
///
/// let error = text(br#"{ "addr": 7101 }"#).unwrap_err();
/// assert!(error.to_string().starts_with("line 1, column 3: field addr:"));
/// ```
pub fn text(text: &[u8]) -> Result<Kind, JsoncError> {
    let fields = jsonc::field_names(text, MAX_DOCUMENT_BYTES)?;
    let fields: BTreeSet<&str> = fields.iter().map(String::as_str).collect();
    let only = ["addr", "listen", "upstream", "store", "log"];
    let settings = only.iter().filter(|&&f| fields.contains(f)).count();
    let only = ["domains", "services"];
    let config = only.iter().filter(|&&f| fields.contains(f)).count();
    if settings > config {
        return Ok(Kind::Settings(Box::new(Settings::parse(text)?)));
    }
    Ok(Kind::Config(Box::new(Config::parse(text, None)?)))
}

/// Reads a file, or standard input if its name is `-`.
///
/// # Errors
///
/// `Invalid` if the file cannot be read.
pub fn read(path: &str) -> Result<Vec<u8>, Failure> {
    let mut text = Vec::new();
    // One byte more than the limit, so that the parser reports the size.
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

/// Checks files and prints one line for each.
///
/// # Errors
///
/// `Invalid` if a file is not valid.
pub fn files(paths: &[String], out: &mut dyn Write) -> Result<(), Failure> {
    let mut faults = 0;
    for path in paths {
        let checked = read(path).and_then(|bytes| {
            let kind = text(&bytes);
            kind.map_err(|e| Failure::new(Exit::Invalid, e.to_string()))
        });
        match checked {
            Ok(kind) => writeln!(out, "{path}: {kind}")?,
            Err(e) => {
                faults += 1;
                writeln!(out, "{path}: {e}")?;
            }
        }
    }
    if faults == 0 {
        return Ok(());
    }
    let message = format!("{faults} of {} files are not valid", paths.len());
    Err(Failure::new(Exit::Invalid, message))
}
