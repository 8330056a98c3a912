//! Settings of a node in fleet mode.
//!
//! # Example
//!
//! ```
//! use lagoondyke_core::fleet::settings::Settings;
//!
//! let error = Settings::parse("{ \"node\": \"n1\" }").unwrap_err();
//! assert!(error.to_string().contains("required field is missing"));
//! ```

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::jsonc::{self, Check, FieldError, JsoncError, Rule};
use crate::settings::{LogSettings, MAX_SETTINGS_BYTES};

/// How an upstream is told which keys to hold.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum GrantMode {
    /// In the answers to its announcements.
    #[default]
    Heartbeat,
    /// By calls of the node to the upstream.
    Direct,
}

/// Settings file of one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node, stable across restarts.
    pub node: String,
    /// IP address of the VM, on which gossip arrives.
    pub ip: IpAddr,
    /// The failure domain of the VM.
    pub domain: String,
    /// Name of the service of the upstream.
    pub service: String,
    /// Address at which the local upstream accepts requests.
    pub upstream: SocketAddr,
    /// Listen address for requests of callers.
    pub callers: SocketAddr,
    /// Listen address for requests of other nodes.
    pub peers: SocketAddr,
    /// Listen address for readiness probes.
    pub health: SocketAddr,
    /// Listen address for announcements of the local upstream.
    pub announcements: SocketAddr,
    /// UDP port for gossip, the same on all nodes.
    pub gossip: u16,
    /// Listen port for metrics.
    pub metrics: u16,
    /// Address of the object store.
    pub store: SocketAddr,
    /// How the local upstream is told which keys to hold; in the answers to
    /// its announcements if absent.
    #[serde(default)]
    pub grants: GrantMode,
    /// Limits that the deployment sets.
    pub bounds: Bounds,
    /// Log settings; the defaults apply if absent.
    #[serde(default)]
    pub log: LogSettings,
}

/// Limits that the deployment sets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time between a stop signal and the end of the process, in seconds.
    pub stop_s: Option<f64>,
    /// Longest duration of a grant that an upstream accepts, in milliseconds;
    /// no limit if absent.
    pub hold_ms: Option<f64>,
    /// Number of retries that all nodes may send in addition to the share of
    /// requests.
    pub retry_slack: Option<f64>,
    /// Share of requests that may be retried, 0 to 1.
    pub retry_share: Option<f64>,
    /// Time for which an upstream that is draining still accepts requests, in
    /// milliseconds.
    pub drain_ms: Option<f64>,
    /// Time within which a failure domain that is taken out of service must
    /// stop receiving requests, in milliseconds.
    pub evacuate_ms: Option<f64>,
    /// Time within which a change of the configuration must be in force on all
    /// nodes, in milliseconds.
    #[serde(default)]
    pub config_ms: Option<f64>,
    /// Interval between two announcements of an upstream, in milliseconds.
    pub announce_ms: Option<f64>,
    /// Time after which a key that the configuration no longer has is refused
    /// by every node, in milliseconds; no limit if absent.
    #[serde(default)]
    pub revoke_ms: Option<f64>,
}

/// Stop period if none is set; the shortest one of the known deployments.
const STOP_DEFAULT_SECS: f64 = 6.0;

/// Announcement interval if none is set.
const ANNOUNCE_DEFAULT_MS: f64 = 1_000.0;

/// Time within which a change of the configuration must be in force if none is
/// set.
const CONFIG_DEFAULT_MS: f64 = 2_000.0;

/// Time within which a failure domain must stop receiving requests if none is
/// set.
const EVACUATE_DEFAULT_MS: f64 = 5_000.0;

/// Interval between checks of the configuration, as a share of the time within
/// which a change must be in force. The rest is for the listing, the gossip
/// that tells the other nodes, and their fetch.
const CONFIG_CHECK_RATIO: f64 = 0.5;

/// Interval between checks of the failure domains out of service, as a share
/// of the time within which they must stop receiving requests. Half of that
/// time is for the node to learn of it.
const DOMAINS_CHECK_RATIO: f64 = 0.3;

/// Shortest interval between checks, whatever the bounds: each is a billed
/// call.
const MIN_CHECK_MS: u64 = 200;

/// Part of the drain period, at its end, in which an upstream is sent no
/// requests: those sent before must have arrived.
const DRAIN_MARGIN_MS: u64 = 500;

impl Bounds {
    /// Time for which an upstream that is draining is still sent requests for
    /// its keys, in milliseconds; 0 if the deployment sets no limit.
    #[must_use]
    pub fn drain_ms(&self) -> u64 {
        let bound = self.drain_ms.unwrap_or(0.0) as u64;
        bound.saturating_sub(DRAIN_MARGIN_MS)
    }

    /// Time for which upstreams of a domain that is taken out of service are
    /// still sent requests for their keys, in milliseconds. Half of the limit
    /// is for the node to learn of it.
    #[must_use]
    pub fn evacuate_ms(&self) -> u64 {
        (self.evacuate_ms.unwrap_or(0.0) / 2.0) as u64
    }

    /// Interval at which the configuration is listed, in milliseconds.
    #[must_use]
    pub fn config_check_ms(&self) -> u64 {
        let bound = self.config_ms.unwrap_or(CONFIG_DEFAULT_MS);
        MIN_CHECK_MS.max((bound * CONFIG_CHECK_RATIO) as u64)
    }

    /// Interval at which the failure domains out of service are listed, in
    /// milliseconds.
    #[must_use]
    pub fn domains_check_ms(&self) -> u64 {
        let bound = self.evacuate_ms.unwrap_or(EVACUATE_DEFAULT_MS);
        MIN_CHECK_MS.max((bound * DOMAINS_CHECK_RATIO) as u64)
    }

    /// Interval between two announcements of an upstream, in milliseconds.
    #[must_use]
    pub fn announce_ms(&self) -> u64 {
        self.announce_ms.unwrap_or(ANNOUNCE_DEFAULT_MS).max(1.0) as u64
    }

    /// Time between a stop signal and the end of the process, in
    /// milliseconds.
    #[must_use]
    pub fn stop_ms(&self) -> u64 {
        (self.stop_s.unwrap_or(STOP_DEFAULT_SECS) * 1_000.0) as u64
    }

    /// Longest duration of a grant that an upstream accepts, in milliseconds;
    /// `u64::MAX` if the deployment sets no limit.
    #[must_use]
    pub fn hold_ms(&self) -> u64 {
        self.hold_ms.map_or(u64::MAX, |bound| bound as u64)
    }

    /// Time after which a key that was taken away is refused by every node, in
    /// milliseconds; `None` if the deployment sets no limit.
    #[must_use]
    pub fn revoke_ms(&self) -> Option<u64> {
        self.revoke_ms.map(|bound| bound as u64)
    }

    /// All limits by name.
    fn named(&self) -> [(&'static str, Option<f64>); 9] {
        [
            ("stop_s", self.stop_s),
            ("hold_ms", self.hold_ms),
            ("retry_slack", self.retry_slack),
            ("retry_share", self.retry_share),
            ("drain_ms", self.drain_ms),
            ("evacuate_ms", self.evacuate_ms),
            ("config_ms", self.config_ms),
            ("announce_ms", self.announce_ms),
            ("revoke_ms", self.revoke_ms),
        ]
    }
}

/// Checks of individual fields.
const FIELD_RULES: &[Rule] = &[
    Rule { path: &["node"], check: Check::Name },
    Rule { path: &["gossip"], check: Check::Range(1, u16::MAX as u64) },
    Rule { path: &["metrics"], check: Check::Range(1, u16::MAX as u64) },
];

impl Settings {
    /// Parses and checks a settings file (JSON with comments).
    ///
    /// # Errors
    ///
    /// Returns the first error, with its position in the text.
    pub fn parse(text: impl AsRef<[u8]>) -> Result<Self, JsoncError> {
        let text = text.as_ref();
        jsonc::parse_with(text, MAX_SETTINGS_BYTES, FIELD_RULES, Self::check)
    }

    fn check(&self) -> Result<(), FieldError> {
        let own = [
            ("callers", self.callers),
            ("peers", self.peers),
            ("health", self.health),
            ("announcements", self.announcements),
        ];
        for (index, (field, addr)) in own.iter().enumerate() {
            if addr.port() == 0 {
                return Err(FieldError::new(&[field], "port must not be 0"));
            }
            let taken = own[..index].iter().find(|other| other.1 == *addr);
            if let Some((other, _)) = taken {
                let message = format!("must differ from {other}, {addr}");
                return Err(FieldError::new(&[field], message));
            }
        }
        if own.iter().any(|(_, addr)| *addr == self.upstream) {
            let message = "must differ from the node's own addresses";
            return Err(FieldError::new(&["upstream"], message));
        }
        for (field, bound) in self.bounds.named() {
            if bound.is_some_and(|bound| bound < 0.0) {
                let message = format!("{field} must not be negative");
                return Err(FieldError::new(&["bounds", field], message));
            }
        }
        Ok(())
    }

    /// UDP address for gossip datagrams.
    #[must_use]
    pub fn gossip_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.gossip)
    }
}
