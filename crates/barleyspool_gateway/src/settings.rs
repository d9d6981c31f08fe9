//! The settings of a gateway: one JSON file, checked whole.

use barleyspool_core::Span;
use serde::Deserialize;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// What is wrong with a settings file.
#[derive(Debug, displaydoc::Display)]
pub enum GatewaySettingsError {
    /// {path}: cannot be read: {cause}
    Read {
        /// The file.
        path: String,
        /// What the operating system said.
        cause: std::io::Error,
    },
    /// {path}: {cause}
    Syntax {
        /// The file.
        path: String,
        /// What the parser said, with line and column.
        cause: serde_json::Error,
    },
    /// {path}: {field}: {value} is not allowed: {allowed}
    Value {
        /// The file.
        path: String,
        /// The field.
        field: &'static str,
        /// What stands there.
        value: String,
        /// What may stand there.
        allowed: &'static str,
    },
}

impl std::error::Error for GatewaySettingsError {}

/// The fleet-wide budget for sending calls again.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeats per request; 0 to 1.
    pub ratio: f64,
    /// Repeats per window besides, over the whole fleet.
    pub fixed: f64,
    /// The window, in seconds; above 0.
    pub window_s: f64,
}

/// What is logged, and how much of it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Lines a second at the most; what is over is dropped and counted.
    pub lines_per_s: u32,
    /// Lines a second for calls that went well; the rest of the budget is kept for the others.
    #[serde(rename = "good_lines_per_s")]
    pub routine_lines_per_s: u32,
    /// Lines that may wait to be written.
    pub queue: u32,
}

/// Everything that a gateway is told by its settings file. docs/OPERATIONS.md describes the fields.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The node's name, for logs.
    pub node: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked.
    pub ready: SocketAddr,
    /// Where callers ask for addresses.
    pub directory: SocketAddr,
    /// Where other nodes probe this one, by UDP.
    pub members: SocketAddr,
    /// Where other nodes hand in pieces, by TCP.
    pub pieces: SocketAddr,
    /// Where other nodes read configuration and targets, by TCP.
    pub relay: SocketAddr,
    /// Where metrics are read, at `/metrics`. A node that cannot listen there goes on without.
    pub metrics: SocketAddr,
    /// Addresses of nodes to ask for the others; this node's own may be among them. Only their IP numbers
    /// count: all nodes use the same port for [`GatewaySettings::members`].
    pub seeds: Vec<SocketAddr>,
    /// The source of configuration and targets.
    pub source: SocketAddr,
    /// How long callers may keep addresses, in milliseconds; at least 100.
    #[serde(rename = "address_keep_ms")]
    pub address_ttl_ms: u64,
    /// How long after a stop was asked for new calls are still taken, in milliseconds.
    pub stop_accept_ms: u64,
    /// How long after a stop was asked for the process ends at the latest, in milliseconds.
    pub stop_end_ms: u64,
    /// The budget for sending calls again.
    pub retry: RetrySettings,
    /// The node's link, in Mbit/s; at least 1. Nodes with a strong one read the source for others.
    pub link_mbps: f64,
    /// The most bytes of bodies of calls and answers held at once, in megabytes; at least 1.
    pub body_memory_mb: u64,
    /// Whether callers send a call again under the same key. This gateway does not remember keys, so only
    /// `false` is allowed; deployments whose callers do that run `barleyspool-entry`.
    pub callers_resend_keys: bool,
    /// What is logged.
    pub log: LogSettings,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// When it cannot be read, or a field is missing, unknown or out of range.
    pub fn load(path: &Path) -> Result<Self, GatewaySettingsError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|cause| GatewaySettingsError::Read {
            path: name.clone(),
            cause,
        })?;
        Self::parse(&name, &text)
    }

    /// Checks the text of a settings file; `name` is for errors.
    ///
    /// # Errors
    /// When a field is missing, unknown or out of range.
    pub fn parse(name: &str, text: &str) -> Result<Self, GatewaySettingsError> {
        let settings: Self = serde_json::from_str(text).map_err(|cause| GatewaySettingsError::Syntax {
            path: name.to_owned(),
            cause,
        })?;
        settings.check(name)?;
        Ok(settings)
    }

    fn check(&self, name: &str) -> Result<(), GatewaySettingsError> {
        let require = |valid: bool, field: &'static str, value: String, allowed: &'static str| {
            if valid {
                return Ok(());
            }
            Err(GatewaySettingsError::Value {
                path: name.to_owned(),
                field,
                value,
                allowed,
            })
        };
        require(!self.node.is_empty(), "node", self.node.clone(), "a name")?;
        require(!self.zone.is_empty(), "zone", self.zone.clone(), "a name")?;
        require(
            self.address_ttl_ms >= 100,
            "address_keep_ms",
            self.address_ttl_ms.to_string(),
            "100 or more",
        )?;
        require(
            self.stop_accept_ms < self.stop_end_ms,
            "stop_end_ms",
            self.stop_end_ms.to_string(),
            "more than stop_accept_ms",
        )?;
        let ratio = self.retry.ratio;
        require(
            (0.0..=1.0).contains(&ratio),
            "retry.ratio",
            ratio.to_string(),
            "0 to 1",
        )?;
        let fixed = self.retry.fixed;
        require(fixed >= 0.0, "retry.fixed", fixed.to_string(), "0 or more")?;
        let window = self.retry.window_s;
        require(window > 0.0, "retry.window_s", window.to_string(), "above 0")?;
        require(
            self.link_mbps >= 1.0,
            "link_mbps",
            self.link_mbps.to_string(),
            "1 or more",
        )?;
        require(
            self.body_memory_mb >= 1,
            "body_memory_mb",
            self.body_memory_mb.to_string(),
            "1 or more",
        )?;
        require(
            !self.callers_resend_keys,
            "callers_resend_keys",
            self.callers_resend_keys.to_string(),
            "false: keys are remembered by barleyspool-entry only",
        )?;
        require(
            self.log.routine_lines_per_s <= self.log.lines_per_s,
            "log.good_lines_per_s",
            self.log.routine_lines_per_s.to_string(),
            "at most log.lines_per_s",
        )?;
        require(
            self.log.queue >= 1,
            "log.queue",
            self.log.queue.to_string(),
            "1 or more",
        )
    }

    /// How long callers may keep addresses.
    pub fn address_ttl(&self) -> Span {
        Span::from_millis(self.address_ttl_ms)
    }

    /// Whether this node is one of its seeds, which others ask first.
    pub fn is_seed(&self) -> bool {
        self.seeds.iter().any(|seed| seed.ip() == self.members.ip())
    }

    /// The node's link, in whole Mbit/s.
    pub fn link_mbps(&self) -> u32 {
        self.link_mbps as u32
    }

    /// The window of the retry budget.
    pub fn retry_window(&self) -> Span {
        Span((self.retry.window_s * 1e6) as u64)
    }
}
