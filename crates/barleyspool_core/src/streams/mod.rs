//! The software versions that began streams.
//!
//! What two versions of a target's software write does not fit together, so a stream goes on only at the version that
//! began it. A caller may take a stream up at any node, and the node that began it may be gone by then. So each node
//! reports the streams that it begins to a few others, and asks these for streams that it does not know
//! ([`StreamTable`]). See docs/DESIGN.md, "Streams and software versions".

mod stream_id;
mod stream_table;
mod version_id;

pub use stream_id::StreamId;
pub use stream_table::{STREAM_RETENTION, StreamRecord, StreamTable};
pub use version_id::VersionId;
