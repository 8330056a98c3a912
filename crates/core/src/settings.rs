//! A node's settings file.
//!
//! Settings are JSON with comments. They name what a node cannot learn: its
//! own addresses, its failure domain, its upstream, and the store. All else
//! comes from the operator's configuration document.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::NodeAddr;
use crate::jsonc::{self, Check, Fault, JsoncError, Rule};

/// Largest settings file, in bytes.
pub const SETTINGS_MAX: usize = 64 * 1024;

/// Most requests that an upstream can be set to run at once.
pub const SLOTS_MAX: u16 = 10_000;

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

/// Checks of single fields.
const RULES: &[Rule] = &[
    Rule { path: &["domain"], check: Check::Name },
    Rule { path: &["operator"], check: Check::Name },
    Rule { path: &["service"], check: Check::Name },
    Rule { path: &["upstream", "name"], check: Check::Name },
    Rule {
        path: &["upstream", "slots"],
        check: Check::Range(1, SLOTS_MAX as u64),
    },
    Rule {
        path: &["upstream", "connections"],
        check: Check::Range(1, u16::MAX as u64),
    },
];

impl Settings {
    /// Parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first thing that is wrong, with its place in the text.
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
        jsonc::parse_with(text, SETTINGS_MAX, RULES, Self::check)
    }

    /// Checks addresses, alone and against each other.
    fn check(&self) -> Result<(), Fault> {
        let listen = self.listen;
        for (path, addr, reached) in [
            (&["addr"][..], self.addr.0, true),
            (&["listen"], listen, false),
            (&["upstream", "addr"], self.upstream.addr, true),
            (&["store"], self.store, true),
        ] {
            if addr.port() == 0 {
                return Err(Fault::new(path, "port must be 1 to 65535, is 0"));
            }
            if reached && addr.ip().is_unspecified() {
                let message = format!(
                    "must be an address that others can connect to, is {addr}"
                );
                return Err(Fault::new(path, message));
            }
        }
        let addr = self.addr.0;
        let same_ip = listen.ip() == addr.ip() || listen.ip().is_unspecified();
        if same_ip && listen.port() == addr.port() {
            let message = format!("must differ from addr, {addr}");
            return Err(Fault::new(&["listen"], message));
        }
        let upstream = self.upstream.addr;
        if upstream == addr || upstream == listen {
            let message = "must differ from the node's own addresses";
            return Err(Fault::new(&["upstream", "addr"], message));
        }
        if self.log.traces.as_deref() == Some("") {
            let message = "must name a file";
            return Err(Fault::new(&["log", "traces"], message));
        }
        Ok(())
    }
}
