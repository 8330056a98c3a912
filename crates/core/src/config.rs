//! An operator's configuration document.
//!
//! One document holds all that an operator declares: failure domains,
//! services, agreed shares. It takes effect as a whole or not at all, and is
//! updated on the condition of the version that the operator saw.

use std::collections::BTreeMap;
use std::fmt::Display;

use serde::{Deserialize, Serialize};

use crate::jsonc::{self, Check, Fault, JsoncError, Rule};

/// Largest configuration document, in bytes: the store's limit for a value.
pub const DOCUMENT_MAX: usize = 1_000_000;

/// Most failure domains of an operator.
pub const DOMAINS_MAX: usize = 64;

/// Most services of an operator.
pub const SERVICES_MAX: usize = 1_000;

/// Most hashed shards of a service, and so most groups. Shard ids above a
/// service's shards are for hot keys, and ids have 16 bits.
pub const SHARDS_MAX: u16 = 32_768;

/// Most hashed shards of one group. Lists of shards travel in datagrams.
pub const GROUP_SHARDS_MAX: u16 = 1_024;

/// Most entries of a service's `shares`, and of its `partners`.
pub const SHARES_MAX: usize = 1_000;

/// Largest share of an upstream or partner.
pub const SHARE_MAX: u64 = 1_000;

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

/// Checks of single fields.
const RULES: &[Rule] = &[
    Rule { path: &["operator"], check: Check::Name },
    Rule { path: &["domains"], check: Check::Entries(DOMAINS_MAX) },
    Rule { path: &["domains", "*"], check: Check::Key },
    Rule { path: &["services"], check: Check::Entries(SERVICES_MAX) },
    Rule { path: &["services", "*"], check: Check::Key },
    Rule {
        path: &["services", "*", "shards"],
        check: Check::Range(1, SHARDS_MAX as u64),
    },
    Rule {
        path: &["services", "*", "groups"],
        check: Check::Range(1, SHARDS_MAX as u64),
    },
    Rule {
        path: &["services", "*", "shares"],
        check: Check::Entries(SHARES_MAX),
    },
    Rule { path: &["services", "*", "shares", "*"], check: Check::Key },
    Rule {
        path: &["services", "*", "shares", "*"],
        check: Check::Range(1, SHARE_MAX),
    },
    Rule {
        path: &["services", "*", "partners"],
        check: Check::Entries(SHARES_MAX),
    },
    Rule { path: &["services", "*", "partners", "*"], check: Check::Key },
    Rule {
        path: &["services", "*", "partners", "*"],
        check: Check::Range(1, SHARE_MAX),
    },
];

impl Config {
    /// Parses and checks a document (JSON with comments). `current` is the
    /// document in force, if any: what cannot change while services run,
    /// such as the number of shards, is checked against it.
    ///
    /// # Errors
    ///
    /// Returns the first thing that is wrong, with its place in the text.
    ///
    /// # Example
    ///
    /// ```
    /// use lagoondyke_core::config::Config;
    ///
    /// let text = r#"{
    ///     "operator": "jutland",
    ///     "domains": { "aarhus": {}, "vejle": { "out": true } },
    ///     "services": { "udlaan": { "keyed": false } }
    /// }"#;
    /// let config = Config::parse(text, None).unwrap();
    /// assert!(config.domains["vejle"].out);
    ///
    /// let text = text.replace("keyed", "keyd");
    /// assert_eq!(
    ///     Config::parse(text, None).unwrap_err().to_string(),
    ///     "line 4, column 31: field services.udlaan.keyd: unknown field, \
    ///      did you mean \"keyed\"?"
    /// );
    /// ```
    pub fn parse(
        text: impl AsRef<[u8]>,
        current: Option<&Self>,
    ) -> Result<Self, JsoncError> {
        jsonc::parse_with(text.as_ref(), DOCUMENT_MAX, RULES, |new: &Self| {
            new.check()?;
            current.map_or(Ok(()), |current| new.check_change(current))
        })
    }

    /// Checks fields that depend on one another.
    fn check(&self) -> Result<(), Fault> {
        let mut domains = self.domains.values();
        if !self.domains.is_empty() && domains.all(|d| d.out) {
            let message = "all domains are out of service; at least one \
                           must remain";
            return Err(Fault::new(&["domains"], message));
        }
        for (name, service) in &self.services {
            let Service { shards, groups, .. } = *service;
            if groups > shards {
                let path = ["services", name, "groups"];
                let message = format!(
                    "must be at most the number of shards, {shards}, is \
                     {groups}"
                );
                return Err(Fault::new(&path, message));
            }
            if shards.div_ceil(groups) > GROUP_SHARDS_MAX {
                let path = ["services", name, "shards"];
                let message = format!(
                    "must be at most {GROUP_SHARDS_MAX} for each of the \
                     {groups} groups, is {shards}"
                );
                return Err(Fault::new(&path, message));
            }
        }
        Ok(())
    }

    /// Checks that nothing fixed differs from the document in force.
    fn check_change(&self, current: &Self) -> Result<(), Fault> {
        let fixed = |path: &[&str], old: &dyn Display, new: &dyn Display| {
            let message = format!(
                "cannot change from {old} to {new}; it is fixed when the \
                 service is created"
            );
            Err(Fault::new(path, message))
        };
        if self.operator != current.operator {
            let message = format!(
                "document in force is of {:?}, not of {:?}",
                current.operator, self.operator
            );
            return Err(Fault::new(&["operator"], message));
        }
        for (name, new) in &self.services {
            let Some(old) = current.services.get(name) else { continue };
            if old.keyed != new.keyed {
                let path = ["services", name, "keyed"];
                return fixed(&path, &old.keyed, &new.keyed);
            }
            if old.shards != new.shards {
                let path = ["services", name, "shards"];
                return fixed(&path, &old.shards, &new.shards);
            }
            if old.groups != new.groups {
                let path = ["services", name, "groups"];
                return fixed(&path, &old.groups, &new.groups);
            }
        }
        Ok(())
    }
}
