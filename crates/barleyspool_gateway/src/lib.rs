//! The HTTP gateway: a daemon that forwards calls whole, after their stages are done.
//!
//! It is the shell around [`barleyspool_core::Forwarder`], [`barleyspool_core::PieceQueue`] and
//! [`barleyspool_core::Membership`]. What callers, targets and the source of configuration speak is not known
//! here: [`Adapters`] brings it, as plain functions from and to the product's own types.
//!
//! - [`Gateway`] starts everything and waits for the end.
//! - `control` is the control thread: configuration, targets, members, the directory of addresses.
//! - `traffic` is the traffic thread: callers, targets, pieces.

mod adapters;
mod control;
mod event_log;
mod failure;
mod gateway;
mod metrics;
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
pub use settings::{GatewaySettings, LogSettings, RetrySettings};
pub use shared::Shared;
pub use traffic::{RelayItem, RelayedStream};
