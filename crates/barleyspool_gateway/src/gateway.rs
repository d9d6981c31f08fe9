//! Starts the threads of a gateway, and ends the process when one of them fails.

use crate::adapters::{Adapters, Source};
use crate::control::ControlState;
use crate::event_log::{EventLog, LogEvent};
use crate::pool_usages::PoolUsages;
use crate::settings::GatewaySettings;
use crate::shared::Shared;
use crate::{control, traffic};
use arc_swap::ArcSwap;
use barleyspool_core::chart::ChartError;
use barleyspool_core::{ForwardSettings, Forwarder};
use barleyspool_wire::process::{Signals, ThreadError, Threads};
use barleyspool_wire::{Clock, net};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// Why a gateway cannot start.
#[derive(Debug, displaydoc::Display)]
pub enum GatewayError {
    /// cannot listen on {address}: {cause}
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// cannot start a thread: {0}
    Thread(io::Error),
    /// cannot handle signals: {0}
    Signals(io::Error),
    /// {0}
    Chart(ChartError),
    /// cannot start the log: {0}
    Log(spdlog::Error),
    /// metrics: {0}
    Metrics(opentelemetry_sdk::error::OTelSdkError),
}

impl std::error::Error for GatewayError {}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    threads: Threads,
}

impl Gateway {
    /// Starts the threads. All listeners are bound when this returns; a metrics listener that cannot be bound is left
    /// out.
    ///
    /// `source` creates the source on the control thread. `file` is the settings file, which is read again when it
    /// changes.
    ///
    /// # Errors
    /// When an address is in use, or when the log, the metrics or a thread cannot be started.
    pub fn start<S: Source + 'static>(
        settings: GatewaySettings,
        file: PathBuf,
        adapters: Adapters,
        source: impl FnOnce(&GatewaySettings) -> S + Send + 'static,
    ) -> Result<Self, GatewayError> {
        let clock = Clock::start();
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let logger = EventLog::start(&settings.log, &dropped_lines).map_err(GatewayError::Log)?;
        let shared = Arc::new(Shared {
            settings,
            clock,
            plan: ArcSwap::default(),
            plan_changed: watch::Sender::new(0),
            blocked_calls: ArcSwap::default(),
            blocked_changed: watch::Sender::new(0),
            counters: ArcSwap::default(),
            queued_updates: AtomicUsize::new(0),
            outdated_suspicions: AtomicU64::new(0),
            unreadable_datagrams: AtomicU64::new(0),
            source_calls: AtomicU64::new(0),
            source_answered_at: AtomicU64::new(0),
            reported_version: AtomicU64::new(0),
            is_source_reader: AtomicBool::new(true),
            peer_requests: AtomicU64::new(0),
            failed_peer_requests: AtomicU64::new(0),
            dropped_lines,
            services_unreached: AtomicUsize::new(0),
            pool_usages: PoolUsages::default(),
            in_flight: AtomicUsize::new(0),
            caller_connections: AtomicUsize::new(0),
            stop: watch::Sender::default(),
            listener_closed: AtomicBool::new(false),
            listening: AtomicBool::new(false),
        });
        let settings = &shared.settings;
        let metrics = crate::metrics::Metrics::new(&shared).map_err(GatewayError::Metrics)?;

        let control_runtime = runtime()?;
        let signals = Signals::new(&control_runtime).map_err(GatewayError::Signals)?;
        let ports = control::ControlPorts {
            ready: bind(&control_runtime, settings.ready)?,
            directory: bind(&control_runtime, settings.directory)?,
            relay: bind(&control_runtime, settings.relay)?,
            metrics: bind(&control_runtime, settings.metrics).ok(),
            members: bind_udp(&control_runtime, settings.members)?,
            signals,
        };
        let traffic_runtime = runtime()?;
        let callers = bind(&traffic_runtime, settings.callers)?;
        let pieces = bind(&traffic_runtime, settings.pieces)?;
        let peer_sends = bind(&traffic_runtime, settings.peer_sends)?;
        let forwarder = Forwarder::new(forward_settings(&shared)).map_err(GatewayError::Chart)?;

        let (traffic_shared, traffic_adapters, traffic_logger) =
            (Arc::clone(&shared), adapters.clone(), Arc::clone(&logger));
        let (observation_sender, observation_receiver) = mpsc::unbounded_channel();
        let (stream_sender, stream_receiver) = mpsc::unbounded_channel();
        let mut threads = Threads::default();
        let traffic = move || {
            let log = event_log(&traffic_shared, traffic_logger);
            let ports = traffic::TrafficPorts {
                callers,
                pieces,
                peer_sends,
            };
            let work = traffic::run(
                traffic_shared,
                traffic_adapters,
                forwarder,
                log,
                ports,
                (observation_sender, stream_sender),
            );
            LocalSet::new().block_on(&traffic_runtime, work);
        };
        threads.spawn("traffic", traffic).map_err(GatewayError::Thread)?;
        let control_shared = Arc::clone(&shared);
        let control = move || {
            let log = event_log(&control_shared, logger);
            let started = LogEvent::Started {
                version: env!("CARGO_PKG_VERSION"),
                zone: &control_shared.settings.zone,
            };
            log.write(control_shared.clock.now(), &started);
            let source: Rc<dyn Source> = Rc::new(source(&control_shared.settings));
            let state = ControlState::new(control_shared, log);
            let work = control::run(
                state,
                adapters.directory,
                source,
                file,
                ports,
                metrics,
                (observation_receiver, stream_receiver),
            );
            LocalSet::new().block_on(&control_runtime, work);
        };
        threads.spawn("control", control).map_err(GatewayError::Thread)?;
        Ok(Self { threads })
    }

    /// Waits for the threads. A planned stop exits the process, so this returns only on failure.
    ///
    /// # Errors
    /// The first thread that panicked; the caller must exit the process then.
    pub fn wait(self) -> Result<(), ThreadError> {
        self.threads.wait()
    }
}

fn forward_settings(shared: &Shared) -> ForwardSettings {
    let settings = &shared.settings;
    ForwardSettings {
        zone: settings.zone.clone(),
        retry_ratio: settings.retry.ratio,
        retry_fixed: settings.retry.fixed,
        retry_window: settings.retry_window(),
        seed: rand::random(),
    }
}

fn event_log(shared: &Shared, logger: Arc<spdlog::Logger>) -> EventLog {
    EventLog::new(logger, &shared.settings.node, shared.settings.log.clone())
}

fn runtime() -> Result<Runtime, GatewayError> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(GatewayError::Thread)
}

fn bind(runtime: &Runtime, address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let _runtime_guard = runtime.enter();
    net::listen(address).map_err(|cause| GatewayError::Listen { address, cause })
}

fn bind_udp(runtime: &Runtime, address: SocketAddr) -> Result<tokio::net::UdpSocket, GatewayError> {
    let _runtime_guard = runtime.enter();
    let socket = std::net::UdpSocket::bind(address).and_then(|socket| {
        socket.set_nonblocking(true)?;
        tokio::net::UdpSocket::from_std(socket)
    });
    socket.map_err(|cause| GatewayError::Listen { address, cause })
}
