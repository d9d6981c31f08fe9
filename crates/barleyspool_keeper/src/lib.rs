//! The keeper daemon: queries the models that engines hold, plans orders with [`barleyspool_core::OrderBook`] and
//! sends them. An order tells an engine which models to load and unload, so that it comes to hold the models that the
//! placement of the configuration assigns to it.
//!
//! Keepers do not communicate with each other. The published fleet list determines which keeper is responsible for
//! an engine. If two keepers with different lists send orders to the same engine, the fence that the engine checks
//! arbitrates between them. See docs/DESIGN.md, "Orders".

mod keeper;
mod operations;
mod settings;

pub use keeper::Keeper;
pub use operations::KeeperOperations;
pub use settings::KeeperSettings;
