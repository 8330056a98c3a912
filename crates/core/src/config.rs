//! The configuration document of an operator.
//!
//! One document holds all settings that the operator's nodes have in common:
//! failure domains, services, and the shares agreed with partners. It takes
//! effect as a whole or not at all. An update states the version that it is
//! based on and fails if the store holds another one.

use std::collections::BTreeMap;
use std::fmt::Display;

use serde::{Deserialize, Serialize};

use crate::jsonc::{self, Check, FieldError, JsoncError, Rule};

/// Largest configuration document: the store's limit for a value.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Most failure domains in a document.
pub const MAX_DOMAIN_COUNT: usize = 64;

/// Most services in a document.
pub const MAX_SERVICE_COUNT: usize = 1_000;

/// Most hashed shards of a service, and so most groups. Shard ids have 16
/// bits, and those from a service's shard count up are for hot keys.
pub const MAX_SHARD_COUNT: u16 = 32_768;

/// Most hashed shards of one group, since nodes send lists of a group's
/// shards in datagrams.
pub const MAX_GROUP_SHARD_COUNT: u16 = 1_024;

/// Most entries of a service's `shares`, and of its `partners`.
pub const MAX_SHARE_COUNT: usize = 1_000;

/// Largest share of an upstream or partner; the smallest is 1.
pub const MAX_SHARE: u64 = 1_000;

/// A configuration document. Field names are those of its JSON text.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the operator. A node accepts only documents of its own
    /// operator.
    pub operator: String,
    /// The operator's failure domains by name.
    pub domains: BTreeMap<String, Domain>,
    /// The operator's services by name.
    pub services: BTreeMap<String, Service>,
}

/// Settings of a failure domain: a zone whose VMs may fail together.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Domain {
    /// Whether the domain is out of service. Its upstreams receive no new
    /// work, and their shards move to other domains.
    pub out: bool,
}

/// Settings of a service: a set of upstreams that serve the same requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether the service is partitioned by key, so that each key has one
    /// owner. If not, any upstream may serve any request. Cannot be changed
    /// later.
    pub keyed: bool,
    /// Number of hashed shards. Cannot be changed later.
    #[serde(default = "default_shards")]
    pub shards: u16,
    /// Number of groups that the shards are divided among, each with its own
    /// leader. Cannot be changed later.
    #[serde(default = "default_groups")]
    pub groups: u16,
    /// Whether the upstreams check fencing tokens. If so, nodes tell them
    /// which shards they may serve.
    #[serde(default)]
    pub fenced: bool,
    /// Relative shares of the service's shards by upstream name. An upstream
    /// that is not listed has share 1.
    #[serde(default)]
    pub shares: BTreeMap<String, u32>,
    /// Agreed shares of partners by partner name: their weights in the queue
    /// for an upstream. A partner that is not listed has share 1.
    #[serde(default)]
    pub partners: BTreeMap<String, u32>,
    /// Whether idempotent requests that take long are hedged: sent to a
    /// second upstream as well, for the first answer to be taken.
    #[serde(default)]
    pub hedge: bool,
}

fn default_shards() -> u16 {
    256
}

fn default_groups() -> u16 {
    1
}

/// The values that each field may have on its own; [`Config::check`] compares
/// fields with one another.
const RULES: &[Rule] = &[
    Rule { path: &["operator"], check: Check::Name },
    Rule { path: &["domains"], check: Check::Entries(MAX_DOMAIN_COUNT) },
    Rule { path: &["domains", "*"], check: Check::Key },
    Rule { path: &["services"], check: Check::Entries(MAX_SERVICE_COUNT) },
    Rule { path: &["services", "*"], check: Check::Key },
    Rule {
        path: &["services", "*", "shards"],
        check: Check::Range(1, MAX_SHARD_COUNT as u64),
    },
    Rule {
        path: &["services", "*", "groups"],
        check: Check::Range(1, MAX_SHARD_COUNT as u64),
    },
    Rule {
        path: &["services", "*", "shares"],
        check: Check::Entries(MAX_SHARE_COUNT),
    },
    Rule { path: &["services", "*", "shares", "*"], check: Check::Key },
    Rule {
        path: &["services", "*", "shares", "*"],
        check: Check::Range(1, MAX_SHARE),
    },
    Rule {
        path: &["services", "*", "partners"],
        check: Check::Entries(MAX_SHARE_COUNT),
    },
    Rule { path: &["services", "*", "partners", "*"], check: Check::Key },
    Rule {
        path: &["services", "*", "partners", "*"],
        check: Check::Range(1, MAX_SHARE),
    },
];

impl Config {
    /// Parses and checks a document, which is JSON with comments. `current`
    /// is the document in force, if any: settings that cannot change while a
    /// service runs, such as the number of shards, must be the same in both.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with its line and column in the text.
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
        jsonc::parse_with(
            text.as_ref(),
            MAX_DOCUMENT_BYTES,
            RULES,
            |new: &Self| {
                new.check()?;
                current.map_or(Ok(()), |current| new.check_change(current))
            },
        )
    }

    /// Checks the rules that involve several fields.
    fn check(&self) -> Result<(), FieldError> {
        let mut domains = self.domains.values();
        if !self.domains.is_empty() && domains.all(|d| d.out) {
            let message = "all domains are out of service; at least one \
                           must remain";
            return Err(FieldError::new(&["domains"], message));
        }
        for (name, service) in &self.services {
            let Service { shards, groups, .. } = *service;
            if groups > shards {
                let path = ["services", name, "groups"];
                let message = format!(
                    "must be at most the number of shards, {shards}, is \
                     {groups}"
                );
                return Err(FieldError::new(&path, message));
            }
            if shards.div_ceil(groups) > MAX_GROUP_SHARD_COUNT {
                let path = ["services", name, "shards"];
                let message = format!(
                    "must be at most {MAX_GROUP_SHARD_COUNT} for each of the \
                     {groups} groups, is {shards}"
                );
                return Err(FieldError::new(&path, message));
            }
        }
        Ok(())
    }

    /// Checks that settings that cannot change are those of the document in
    /// force.
    fn check_change(&self, current: &Self) -> Result<(), FieldError> {
        let immutable =
            |path: &[&str], old: &dyn Display, new: &dyn Display| {
                let message = format!(
                    "cannot change from {old} to {new}; it is fixed when the \
                 service is created"
                );
                Err(FieldError::new(path, message))
            };
        if self.operator != current.operator {
            let message = format!(
                "document in force is of {:?}, not of {:?}",
                current.operator, self.operator
            );
            return Err(FieldError::new(&["operator"], message));
        }
        for (name, new) in &self.services {
            let Some(old) = current.services.get(name) else { continue };
            if old.keyed != new.keyed {
                let path = ["services", name, "keyed"];
                return immutable(&path, &old.keyed, &new.keyed);
            }
            if old.shards != new.shards {
                let path = ["services", name, "shards"];
                return immutable(&path, &old.shards, &new.shards);
            }
            if old.groups != new.groups {
                let path = ["services", name, "groups"];
                return immutable(&path, &old.groups, &new.groups);
            }
        }
        Ok(())
    }
}
