//! The control thread: tracks the configuration, the target list and the membership of nodes.

mod directory;
mod feed_reader;
mod http_port;
mod members;
mod peer_sync;
mod relay;
mod source_access;
mod source_changes;
mod source_reports;
mod state;
mod stop;
mod stream_queries;

use crate::adapters::{DirectoryAdapter, Feed, Source};
use crate::event_log::LogEvent;
use crate::metrics::Metrics;
use crate::shared::{StreamQuery, TargetObservation};
use barleyspool_wire::process::{EssentialTasks, Signals};
use barleyspool_wire::{monotonic_time, time_since_boot, timer};
pub use state::ControlState;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

/// Listeners and signals of the control thread.
#[derive(Debug)]
pub struct ControlPorts {
    /// Serves readiness checks.
    pub ready: TcpListener,
    /// Serves callers that request the addresses of nodes.
    pub directory: TcpListener,
    /// Serves other nodes that request configuration and target updates.
    pub relay: TcpListener,
    /// Serves metrics; `None` when the port was already in use.
    pub metrics: Option<TcpListener>,
    /// Carries membership messages between nodes.
    pub members: UdpSocket,
    /// Signals to the process.
    pub signals: Signals,
}

/// Runs the control thread until the process ends.
pub async fn run(
    state: ControlState,
    adapter: DirectoryAdapter,
    source: Rc<dyn Source>,
    settings_file: PathBuf,
    ports: ControlPorts,
    metrics: Metrics,
    (observations, stream_queries): (
        mpsc::UnboundedReceiver<TargetObservation>,
        mpsc::UnboundedReceiver<StreamQuery>,
    ),
) {
    let state = Rc::new(state);
    let mut tasks = EssentialTasks::default();
    tasks.spawn_local(members::apply_observations(Rc::clone(&state), observations));
    tasks.spawn_local(stream_queries::serve(Rc::clone(&state), stream_queries));
    tasks.spawn_local(members::run(Rc::clone(&state), ports.members));
    for feed in [Feed::Configuration, Feed::Targets] {
        tasks.spawn_local(feed_reader::run(Rc::clone(&state), Rc::clone(&source), feed));
    }
    tasks.spawn_local(peer_sync::run(Rc::clone(&state)));
    tasks.spawn_local(watch_suspensions(Rc::clone(&state)));
    let publisher = Rc::clone(&state);
    tasks.spawn_local(async move { publisher.publish_member_changes().await });
    let metrics = Rc::new(metrics);
    tasks.spawn_local(relay::serve(Rc::clone(&state), ports.relay, Rc::clone(&metrics)));
    if let Some(listener) = ports.metrics {
        tasks.spawn_local(relay::serve(Rc::clone(&state), listener, metrics));
    }
    let adapter = Rc::new(adapter);
    tasks.spawn_local(directory::serve(
        Rc::clone(&state),
        Rc::clone(&adapter),
        ports.ready,
    ));
    tasks.spawn_local(directory::serve(Rc::clone(&state), adapter, ports.directory));
    let signals = ports.signals;
    tasks.spawn_local(stop::reload_settings(
        Rc::clone(&state),
        settings_file,
        signals.hangup,
    ));
    tokio::select! {
        () = stop::stop_on_signal(state, signals.terminate, signals.interrupt) => {}
        () = tasks.watch() => {}
    }
}

/// After a suspension of the machine, wakes the timers that expired meanwhile and logs the duration.
async fn watch_suspensions(state: Rc<ControlState>) {
    let suspended_time = || time_since_boot().saturating_sub(monotonic_time());
    let log_suspension = |slept: Duration| {
        let slept_ms = slept.as_millis() as u64;
        state.log.write(state.now(), &LogEvent::Suspended { slept_ms });
    };
    timer::watch_suspensions(suspended_time, log_suspension).await;
}
