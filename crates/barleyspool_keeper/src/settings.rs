//! The settings of a keeper.

use barleyspool_core::Span;
use barleyspool_wire::logging::LEVELS;
use barleyspool_wire::{SettingsError, SettingsReader};
use std::net::SocketAddr;
use std::path::Path;

/// Everything that a keeper is told by its settings file. docs/OPERATING.md describes the fields.
#[derive(Clone, Debug)]
pub struct KeeperSettings {
    /// The number of the entry node beside which it runs.
    pub node: u32,
    /// Its region.
    pub region: String,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// The configuration service.
    pub configuration_address: String,
    /// The fleet list.
    pub fleet_address: String,
    /// The least severe level that is logged.
    pub log_level: String,
    /// How often engines are asked.
    pub reconcile_interval: Span,
    /// Loads a second that the weight store allows all keepers together.
    pub loads_per_s: f64,
}

impl KeeperSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Everything that is wrong with it.
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
