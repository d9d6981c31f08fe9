//! The configuration, and the check that decides whether to accept one, with the same result on every node.
//!
//! The configuration service holds a head document, and the organisations in separate parts, so that each
//! value stays under a megabyte with 47,000 organisations. See docs/DESIGN.md, "Configuration".

mod check;
mod document;
mod resolved;

pub use check::{ConfigError, MAX_DEADLINE_MS, MAX_NAME_BYTES, MAX_STAGES};
pub use document::{
    Class, ConfigDocument, ConfigHead, ConfigPart, Organisation, PartRef, Pipeline, Placement, Service,
    ServiceKind, Stage, VersionedPart,
};
pub use resolved::{Config, ResolvedPipeline, ResolvedStage};
