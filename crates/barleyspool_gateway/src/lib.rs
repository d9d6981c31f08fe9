//! The HTTP gateway daemon. It computes the stages of a call in batches, then forwards the call to the target that
//! answers it.
//!
//! The crate does the I/O for the decisions of [`barleyspool_core::Forwarder`], [`barleyspool_core::PieceQueue`] and
//! [`barleyspool_core::Membership`]. It does not depend on the protocols of callers, targets and the configuration
//! source: [`Adapters`] and [`Source`] provide them as conversions to and from the gateway's own types.
//!
//! - [`Gateway`] starts the threads and waits for them.
//! - `control` is the control thread: configuration, target list, membership and address directory.
//! - `traffic` is the traffic thread: callers, targets and stage pools.

mod adapters;
mod control;
mod event_log;
mod failure;
mod gateway;
mod metrics;
mod pool_usages;
mod settings;
mod shared;
mod traffic;

pub use adapters::{
    Adapters, AddressQuery, AnswerHead, CallerAdapter, DirectoryAdapter, Feed, PoolAdapter, SendHead, Source,
    SourceChange, SourceChanges, SourceError, SourceFuture, SourcePage, TargetAdapter,
};
pub use event_log::{EventLog, LogEvent};
pub use failure::CallFailure;
pub use gateway::{Gateway, GatewayError};
pub use pool_usages::{PoolUsages, UsageByPool};
pub use settings::{GatewaySettings, LogSettings, RetrySettings};
pub use shared::Shared;
pub use traffic::{RelayItem, RelayProgress, RelayedStream, head_fault};
