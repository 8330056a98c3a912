//! A node's settings file.
//!
//! Settings are JSON with comments. They name what a node cannot learn: its
//! own addresses, its failure domain, its upstream, and the store. All else
//! comes from the operator's configuration document.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::NodeAddr;
use crate::jsonc::JsoncError;

/// Largest settings file, in bytes.
pub const SETTINGS_MAX: usize = 64 * 1024;

/// Settings of one node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address for control datagrams (UDP) and peer frames (TCP).
    pub addr: NodeAddr,
    /// Address for callers and operators (HTTP).
    pub listen: SocketAddr,
    /// The failure domain of the VM.
    pub domain: String,
    /// The operator whose configuration document applies.
    pub operator: String,
    /// The service of the upstream.
    pub service: String,
    /// The upstream beside this node.
    pub upstream: UpstreamSettings,
    /// Address of the store's HTTP API.
    pub store: SocketAddr,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Settings of the upstream beside a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Its name, for its share in the configuration document.
    pub name: String,
    /// Its HTTP address.
    pub addr: SocketAddr,
    /// Requests it can run at once.
    pub slots: u16,
    /// Connections it accepts.
    pub connections: u16,
}

/// Settings of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Form of the log.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// File for OTLP JSON traces; no traces are written without it.
    pub traces: Option<String>,
}

/// Form of the log.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// For a person at a terminal.
    Terminal,
}

/// Severity of a log line.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Details of single requests.
    Debug,
    /// Changes of state.
    #[default]
    Info,
    /// What an operator should look at.
    Warning,
    /// What stops the node from doing its work.
    Error,
}

impl Settings {
    /// Parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first thing that is wrong, with its place in the text.
    pub fn parse(text: impl AsRef<[u8]>) -> Result<Self, JsoncError> {
        crate::jsonc::parse(text.as_ref(), SETTINGS_MAX)
    }
}
