//! Configuration of a fleet: its routes and services, as one versioned
//! document.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::fleet::config::{Config, Route};
//!
//! let mut config = Config { version: 3, ..Config::default() };
//! let route = |prefix: &str| Route {
//!     prefix: prefix.to_owned(),
//!     ..Route::default()
//! };
//! let paths = vec![route("/a/"), route("/a/b/")];
//! config.hosts.insert("h.example".to_owned(), paths);
//! let found = config.route("h.example", "/a/b/c").unwrap();
//! assert_eq!(found.prefix, "/a/b/");
//! assert!(config.route("h.example", "/x").is_none());
//! ```

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fleet::account::{Account, Accounts, KeyDigest};
use crate::verdict::{Reason, Refusal};

/// All routes and services in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version of the document. A document replaces one with a lower version
    /// only.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Routes by host name of the request.
    pub hosts: BTreeMap<String, Vec<Route>>,
    /// Limits on what a caller may send.
    pub limits: Limits,
    /// Client accounts.
    #[serde(default, skip_serializing_if = "Accounts::is_empty")]
    pub accounts: Accounts,
}

/// A service: a set of interchangeable upstreams, or of owners of keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether the service is partitioned by key, so that each key has one
    /// owner.
    pub keyed: bool,
    /// Number of connections that each upstream accepts.
    pub connections: u32,
    /// Requests per second that a cold upstream can take; 0 for no limit.
    pub warmup_rate: f64,
    /// Time for which an upstream is cold after its start, in milliseconds.
    pub warmup_ms: u64,
}

/// A route: a path prefix of a host.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Path prefix that it matches; the longest match wins.
    pub prefix: String,
    /// Services that get its requests, by weight.
    pub targets: Vec<Target>,
    /// Whether its requests may safely run more than once.
    pub idempotent: bool,
    /// Time limit for a request, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer has its full value, in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of upstreams that one request may be sent to; at least
    /// 1.
    pub attempts: u8,
    /// Whether its requests need no key of a client account.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub open: bool,
}

/// A weighted target of a route.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its weight among the route's targets.
    pub weight: f64,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time allowed to receive a request head, in milliseconds.
    pub head_ms: u64,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

impl Config {
    /// The route of a request: of the host's routes, the one with the longest
    /// matching prefix. The query is ignored.
    #[must_use]
    pub fn route(
        &self,
        host: impl AsRef<str>,
        path: impl AsRef<str>,
    ) -> Option<&Route> {
        let path = path.as_ref();
        let path = path.split('?').next().unwrap_or(path);
        let routes = self.hosts.get(host.as_ref())?;
        let fits = routes.iter().filter(|r| path.starts_with(&r.prefix));
        fits.max_by_key(|route| route.prefix.len())
    }

    /// The client account of a request with this key on `route`; `None` if it
    /// needs none.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request needs a key, and no account holds its
    /// key.
    pub fn authenticate(
        &self,
        route: &Route,
        key: Option<KeyDigest>,
    ) -> Result<Option<&Account>, Refusal> {
        if self.accounts.is_empty() || route.open {
            return Ok(None);
        }
        let account = key.and_then(|key| self.accounts.find(key));
        let detail = "no client account holds the key of the request";
        let unknown = || Refusal::new(Reason::UnknownKey, detail);
        account.map(Some).ok_or_else(unknown)
    }

    /// Whether a service exists and is partitioned by key.
    #[must_use]
    pub fn is_keyed(&self, service: impl AsRef<str>) -> bool {
        let service = self.services.get(service.as_ref());
        service.is_some_and(|service| service.keyed)
    }
}
