//! The settings of a keeper.

use barleyspool_core::Span;
use barleyspool_wire::logging::LEVELS;
use barleyspool_wire::{SettingsError, SettingsReader};
use std::net::SocketAddr;
use std::path::Path;

/// The content of a keeper's settings file. docs/OPERATING.md describes the fields.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// The number of the entry node beside which the keeper runs.
    pub node: u32,
    /// The region of the keeper and of its engines.
    pub region: String,
    /// The address on which the `Operations` RPC service listens.
    pub operator_address: SocketAddr,
    /// The address of the configuration service.
    pub configuration_address: String,
    /// The address of the service that publishes the fleet list.
    pub fleet_address: String,
    /// The minimum log level.
    pub log_level: String,
    /// The pause between two reconciliations.
    pub reconcile_interval: Span,
    /// Model loads per second that the weight store sustains for all keepers together.
    pub loads_per_s: f64,
}

impl KeeperSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// All errors in the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::load(path);
        let settings = Self {
            node: reader.number("node", 1..=1_000_000, "", None) as u32,
            region: reader.text("region", None),
            operator_address: reader.address("operators"),
            configuration_address: reader.address("configuration").to_string(),
            fleet_address: reader.address("fleet").to_string(),
            log_level: reader.choice("log_level", LEVELS, "info"),
            reconcile_interval: Span::from_millis(reader.number("beat_ms", 100..=60_000, "ms", Some(1_000))),
            loads_per_s: reader.decimal("loads_per_s", 0.001..=1_000.0, "loads/s", 1.0),
        };
        reader.finish().map(|()| settings)
    }
}
