//! The operators' signals.

use std::io;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of the signals that operators send.
///
/// They are set before the process listens anywhere: what stands for them by default ends a process at once, with all that it
/// has accepted.
#[derive(Debug)]
pub struct Signals {
    /// SIGTERM: a planned stop.
    pub terminate: Signal,
    /// SIGINT: the same.
    pub interrupt: Signal,
    /// SIGHUP: the settings are read again.
    pub hangup: Signal,
}

impl Signals {
    /// Sets the handlers; `runtime` is the one that waits for them.
    ///
    /// # Errors
    /// When the operating system refuses a handler.
    pub fn new(runtime: &Runtime) -> io::Result<Self> {
        let _inside = runtime.enter();
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}
