//! The settings of a gateway: one JSON file, which is validated when it is loaded.

use barleyspool_core::Span;
use serde::Deserialize;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// Why a settings file is invalid.
#[derive(Debug, displaydoc::Display)]
pub enum GatewaySettingsError {
    /// {path}: cannot be read: {cause}
    Read {
        /// The file.
        path: String,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// {path}: {cause}
    Syntax {
        /// The file.
        path: String,
        /// The error of the parser, with line and column.
        cause: serde_json::Error,
    },
    /// {path}: {field}: {value} is not allowed: {allowed}
    Value {
        /// The file.
        path: String,
        /// The field.
        field: &'static str,
        /// The value of the field.
        value: String,
        /// The allowed values.
        allowed: &'static str,
    },
}

impl std::error::Error for GatewaySettingsError {}

/// The budget for retries, over all nodes together.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries per request; 0 to 1.
    pub ratio: f64,
    /// Additional retries per window, over all nodes together.
    pub fixed: f64,
    /// The length of the window, in seconds; above 0.
    pub window_s: f64,
}

/// The limits of the log.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Maximum number of lines per second of each thread; lines above it are dropped and counted.
    pub lines_per_s: u32,
    /// Maximum number of lines per second for calls that proceed normally. The rest of the budget is reserved for changes
    /// and failures.
    #[serde(rename = "good_lines_per_s")]
    pub routine_lines_per_s: u32,
    /// Maximum number of lines that wait to be written.
    pub queue: u32,
}

/// The settings of a gateway, from its settings file. docs/OPERATIONS.md describes the fields.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of the node in the log.
    pub node: String,
    /// The availability zone of the node.
    pub zone: String,
    /// The region of the node.
    pub region: String,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address of the readiness check.
    pub ready: SocketAddr,
    /// Listen address of the address directory.
    pub directory: SocketAddr,
    /// UDP address for membership messages of other nodes.
    pub members: SocketAddr,
    /// Listen address for requests of other nodes: pieces that they submit, placements, grants and pings.
    pub pieces: SocketAddr,
    /// Listen address for calls that other nodes have this one send, since they reach no target of the service. All nodes
    /// have the same port.
    pub peer_sends: SocketAddr,
    /// Listen address from which other nodes read the configuration and the list of targets.
    pub relay: SocketAddr,
    /// Listen address of the metrics, at `/metrics`. A node that cannot listen there runs without metrics.
    pub metrics: SocketAddr,
    /// Addresses of the nodes to contact first; the node's own may be among them. Only the IP addresses are used:
    /// all nodes have the same port for [`GatewaySettings::members`].
    pub seeds: Vec<SocketAddr>,
    /// Address of the source of the configuration and the list of targets.
    pub source: SocketAddr,
    /// Time for which callers may use addresses of the directory, in milliseconds; at least 100.
    #[serde(rename = "address_keep_ms")]
    pub address_ttl_ms: u64,
    /// Time after the request for a planned stop during which new calls are still accepted, in milliseconds.
    pub stop_accept_ms: u64,
    /// Time after the request for a planned stop at which the process exits at the latest, in milliseconds.
    pub stop_end_ms: u64,
    /// The budget for retries.
    pub retry: RetrySettings,
    /// Bandwidth of the node's network link, in Mbit/s; at least 1. Nodes with a fast link read the source for others.
    pub link_mbps: f64,
    /// Maximum total size of call and answer bodies in memory, in mebibytes (1,048,576 bytes); at least 1.
    pub body_memory_mb: u64,
    /// Maximum total size of answers of targets in memory, in mebibytes, from their first byte until callers have taken them; at
    /// least 1. Answers that are being received are dropped above it.
    #[serde(default = "default_answer_memory_mb")]
    pub answer_memory_mb: u64,
    /// Whether callers retry an unrepeatable call under the same key, by which the retry is to be recognised. This
    /// gateway does not remember keys, so only `false` is allowed; deployments whose callers do that run
    /// `barleyspool-entry`, the entry daemon of this workspace, which remembers them.
    pub callers_resend_keys: bool,
    /// The limits of the log.
    pub log: LogSettings,
}

/// Room for the largest answer that is passed on, and for others beside it.
const fn default_answer_memory_mb() -> u64 {
    48
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// When the file cannot be read, or a field is missing, unknown or out of range.
    pub fn load(path: &Path) -> Result<Self, GatewaySettingsError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|cause| GatewaySettingsError::Read {
            path: name.clone(),
            cause,
        })?;
        Self::parse(&name, &text)
    }

    /// Parses and validates the text of a settings file; `name` is the file name in errors.
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
            self.answer_memory_mb >= 1,
            "answer_memory_mb",
            self.answer_memory_mb.to_string(),
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

    /// Time for which callers may use addresses of the directory.
    pub fn address_ttl(&self) -> Span {
        Span::from_millis(self.address_ttl_ms)
    }

    /// Whether the node itself is one of the seeds, which other nodes contact first.
    pub fn is_seed(&self) -> bool {
        self.seeds.iter().any(|seed| seed.ip() == self.members.ip())
    }

    /// Bandwidth of the node's network link, in whole Mbit/s.
    pub fn link_mbps(&self) -> u32 {
        self.link_mbps as u32
    }

    /// Length of the window of the retry budget.
    pub fn retry_window(&self) -> Span {
        Span((self.retry.window_s * 1e6) as u64)
    }
}
