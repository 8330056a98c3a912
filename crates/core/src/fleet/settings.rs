//! Settings of a node in a fleet.
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

/// Settings of one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name, which it keeps when it restarts.
    pub node: String,
    /// Address of the VM.
    pub ip: IpAddr,
    /// The failure domain of the VM.
    pub domain: String,
    /// The service of the upstream.
    pub service: String,
    /// The upstream beside this node.
    pub upstream: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for requests of other nodes.
    pub peers: SocketAddr,
    /// Address for the question whether the node is ready.
    pub health: SocketAddr,
    /// Address for announcements of the upstream.
    pub announcements: SocketAddr,
    /// UDP port for gossip, the same on all nodes.
    pub gossip: u16,
    /// Port for metrics.
    pub metrics: u16,
    /// Address of the store.
    pub store: SocketAddr,
    /// Bounds that the deployment sets.
    pub bounds: Bounds,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Bounds that the deployment sets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time between a stop signal and the end of the process, in seconds.
    pub stop_s: Option<f64>,
    /// Longest term that an upstream takes for a range, in milliseconds.
    pub hold_ms: Option<f64>,
    /// Repeats that all nodes may send beside a share of the requests.
    pub retry_slack: Option<f64>,
    /// Share of requests that may be repeated, 0 to 1.
    pub retry_share: Option<f64>,
    /// Time for which an upstream that leaves still takes requests, in
    /// milliseconds.
    pub drain_ms: Option<f64>,
    /// Time within which a failure domain that is taken out of service no
    /// longer gets requests, in milliseconds.
    pub evacuate_ms: Option<f64>,
    /// Interval between two announcements of an upstream, in milliseconds.
    pub announce_ms: Option<f64>,
}

/// Time to stop where none is set, in seconds; the shortest that the known
/// deployments set.
const STOP_DEFAULT: f64 = 6.0;

/// Interval between announcements where none is set, in milliseconds.
const ANNOUNCE_DEFAULT: f64 = 1_000.0;

/// Part of the time that an upstream which leaves still takes requests in
/// which it is sent none: what was sent before must arrive.
const DRAIN_SPARE: u64 = 500;

impl Bounds {
    /// Time for which an upstream that leaves is still sent requests for its
    /// keys, in milliseconds; none if the deployment sets no bound.
    #[must_use]
    pub fn drain_ms(&self) -> u64 {
        let bound = self.drain_ms.unwrap_or(0.0) as u64;
        bound.saturating_sub(DRAIN_SPARE)
    }

    /// Time for which upstreams of a domain that is taken out of service are
    /// still sent requests for their keys, in milliseconds. Half of the bound
    /// is for the node to learn of it.
    #[must_use]
    pub fn evacuate_ms(&self) -> u64 {
        (self.evacuate_ms.unwrap_or(0.0) / 2.0) as u64
    }

    /// Interval between two announcements of an upstream, in milliseconds.
    #[must_use]
    pub fn announce_ms(&self) -> u64 {
        self.announce_ms.unwrap_or(ANNOUNCE_DEFAULT).max(1.0) as u64
    }

    /// Time between a stop signal and the end of the process, in
    /// milliseconds.
    #[must_use]
    pub fn stop_ms(&self) -> u64 {
        (self.stop_s.unwrap_or(STOP_DEFAULT) * 1_000.0) as u64
    }

    /// Longest term that an upstream takes for a range, in milliseconds.
    #[must_use]
    pub fn hold_ms(&self) -> u64 {
        self.hold_ms.map_or(u64::MAX, |bound| bound as u64)
    }

    /// All bounds by name.
    fn named(&self) -> [(&'static str, Option<f64>); 7] {
        [
            ("stop_s", self.stop_s),
            ("hold_ms", self.hold_ms),
            ("retry_slack", self.retry_slack),
            ("retry_share", self.retry_share),
            ("drain_ms", self.drain_ms),
            ("evacuate_ms", self.evacuate_ms),
            ("announce_ms", self.announce_ms),
        ]
    }
}

/// Checks of single fields.
const RULES: &[Rule] = &[
    Rule { path: &["node"], check: Check::Name },
    Rule { path: &["gossip"], check: Check::Range(1, u16::MAX as u64) },
    Rule { path: &["metrics"], check: Check::Range(1, u16::MAX as u64) },
];

impl Settings {
    /// Parses and checks a settings file (JSON with comments).
    ///
    /// # Errors
    ///
    /// Returns the first thing that is wrong, with its place in the text.
    pub fn parse(text: impl AsRef<[u8]>) -> Result<Self, JsoncError> {
        let text = text.as_ref();
        jsonc::parse_with(text, MAX_SETTINGS_BYTES, RULES, Self::check)
    }

    fn check(&self) -> Result<(), FieldError> {
        let own = [
            ("callers", self.callers),
            ("peers", self.peers),
            ("health", self.health),
            ("announcements", self.announcements),
        ];
        for (place, (field, addr)) in own.iter().enumerate() {
            if addr.port() == 0 {
                return Err(FieldError::new(&[field], "port must not be 0"));
            }
            let taken = own[..place].iter().find(|other| other.1 == *addr);
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

    /// Address for gossip.
    #[must_use]
    pub fn gossip_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.gossip)
    }
}
