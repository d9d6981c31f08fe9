//! The configuration in force, and the check that decides alike on every node whether to accept one.
//!
//! The configuration service holds a head document and, so that a value stays under a megabyte with
//! 47,000 organisations, the organisations in parts. See docs/DESIGN.md, "Configuration".

mod check;
mod document;
mod resolved;

pub use check::{ConfigError, MAX_DEADLINE_MS, MAX_NAME_BYTES, MAX_STAGES};
pub use document::{
    Class, ConfigDocument, ConfigHead, ConfigPart, Organisation, PartRef, Pipeline, Placement, Service,
    ServiceKind, Stage, VersionedPart,
};
pub use resolved::{Config, ResolvedPipeline, ResolvedStage};
