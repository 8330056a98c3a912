//! The settings file of a node.
//!
//! The file is JSON with comments. It holds what a node cannot learn from
//! others: its own addresses, its failure domain, its upstream, and the
//! address of the store. All other settings are in the operator's
//! configuration document; see [`crate::config`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::NodeAddr;
use crate::jsonc::{self, Check, FieldError, JsoncError, Rule};

/// Largest settings file that is accepted.
pub const MAX_SETTINGS_BYTES: usize = 64 * 1024;

/// Largest value of [`UpstreamSettings::slots`].
pub const MAX_SLOT_COUNT: u16 = 10_000;

/// Settings of one node, read when its process starts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address for other nodes: control datagrams over UDP and peer frames
    /// over TCP. Other nodes must be able to reach it, so it cannot be a
    /// wildcard address.
    pub addr: NodeAddr,
    /// Address for callers and operators, over HTTP. May be a wildcard
    /// address.
    pub listen: SocketAddr,
    /// Name of the failure domain that the node's VM is in.
    pub domain: String,
    /// Name of the operator whose configuration document applies.
    pub operator: String,
    /// Name of the service that the upstream belongs to.
    pub service: String,
    /// The upstream that this node serves.
    pub upstream: UpstreamSettings,
    /// Address of the store's HTTP API.
    pub store: SocketAddr,
    /// Settings of the log and of traces.
    #[serde(default)]
    pub log: LogSettings,
}

/// Settings of the upstream that a node serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Name of the upstream, under which the configuration document may set
    /// its share.
    pub name: String,
    /// Address at which the upstream accepts HTTP requests.
    pub addr: SocketAddr,
    /// Requests that the upstream can run at once, from 1 to
    /// [`MAX_SLOT_COUNT`]. The concurrency limit never exceeds it.
    pub slots: u16,
    /// Connections that the upstream accepts from this node, at least 1.
    pub connections: u16,
}

/// Settings of the log and of traces.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// How log lines are written.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: LogLevel,
    /// Path of the file for traces in OTLP JSON. No traces are written if it
    /// is absent.
    pub traces: Option<String>,
}

/// How log lines are written.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// As one JSON object a line, for programs.
    #[default]
    Json,
    /// As text, for a person at a terminal.
    Terminal,
}

/// Severity of a log line, the least severe first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Details of single requests.
    Debug,
    /// Regular changes of the node's state.
    #[default]
    Info,
    /// Faults that an operator should look into.
    Warning,
    /// Faults that keep the node from its work.
    Error,
}

/// The values that each field may have on its own; [`Settings::check`]
/// compares fields with one another.
const RULES: &[Rule] = &[
    Rule { path: &["domain"], check: Check::Name },
    Rule { path: &["operator"], check: Check::Name },
    Rule { path: &["service"], check: Check::Name },
    Rule { path: &["upstream", "name"], check: Check::Name },
    Rule {
        path: &["upstream", "slots"],
        check: Check::Range(1, MAX_SLOT_COUNT as u64),
    },
    Rule {
        path: &["upstream", "connections"],
        check: Check::Range(1, u16::MAX as u64),
    },
];

impl Settings {
    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with its line and column in the text.
    ///
    /// # Example
    ///
    /// ```
    /// use lagoondyke_core::settings::Settings;
    ///
    /// let text = r#"{
    ///     "addr": "127.0.0.1:7101",
    ///     "listen": "127.0.0.1:7101"
    /// }"#;
    /// assert_eq!(
    ///     Settings::parse(text).unwrap_err().to_string(),
    ///     "line 1, column 1: field domain: required field is missing"
    /// );
    /// ```
    pub fn parse(text: impl AsRef<[u8]>) -> Result<Self, JsoncError> {
        let text = text.as_ref();
        jsonc::parse_with(text, MAX_SETTINGS_BYTES, RULES, Self::check)
    }

    /// Checks that addresses are usable and differ from each other, and that
    /// the path of the trace file is not empty.
    fn check(&self) -> Result<(), FieldError> {
        let listen = self.listen;
        for (path, addr, connectable) in [
            (&["addr"][..], self.addr.0, true),
            (&["listen"], listen, false),
            (&["upstream", "addr"], self.upstream.addr, true),
            (&["store"], self.store, true),
        ] {
            if addr.port() == 0 {
                return Err(FieldError::new(
                    path,
                    "port must be 1 to 65535, is 0",
                ));
            }
            if connectable && addr.ip().is_unspecified() {
                let message = format!(
                    "must be an address that others can connect to, is {addr}"
                );
                return Err(FieldError::new(path, message));
            }
        }
        let addr = self.addr.0;
        let same_ip = listen.ip() == addr.ip() || listen.ip().is_unspecified();
        if same_ip && listen.port() == addr.port() {
            let message = format!("must differ from addr, {addr}");
            return Err(FieldError::new(&["listen"], message));
        }
        let upstream = self.upstream.addr;
        if upstream == addr || upstream == listen {
            let message = "must differ from the node's own addresses";
            return Err(FieldError::new(&["upstream", "addr"], message));
        }
        if self.log.traces.as_deref() == Some("") {
            let message = "must name a file";
            return Err(FieldError::new(&["log", "traces"], message));
        }
        Ok(())
    }
}
