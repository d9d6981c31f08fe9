//! Starts the threads of a daemon and shuts them down together.

use crate::control_thread::{ControlMessage, ControlSender, ControlThread};
use crate::gateway_service::GatewayService;
use crate::lane::{self, Lane, LaneNotice, LaneReceiver};
use crate::metrics::Metrics;
use crate::operations_service::OperationsService;
use crate::settings::EntrySettings;
use crate::shared::Shared;
use crate::{bulk_server, peer_server};
use arc_swap::ArcSwap;
use barleyspool_core::chart::ChartError;
use barleyspool_core::{Control, ControlEvent, Incarnation, Router};
use barleyspool_wire::process::{Signals, ThreadError, Threads};
use barleyspool_wire::rpc::gateway_server::GatewayServer;
use barleyspool_wire::rpc::operations_server::OperationsServer;
use barleyspool_wire::{Clock, net};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, watch};
use tonic::transport::Server;

/// The interval and the timeout of HTTP/2 keepalive pings on connections from callers.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// The time limit for delivering the last responses to callers at shutdown.
const CALLER_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum size of the fields of a message other than its payloads, in bytes.
const MESSAGE_OVERHEAD: usize = 64 * 1024;

/// The reason why a daemon cannot start.
#[derive(Debug, displaydoc::Display)]
pub enum DaemonError {
    /// cannot listen on {address}: {cause}
    Listen {
        /// The address from the settings.
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
    /// metrics: {0}
    Metrics(opentelemetry_sdk::error::OTelSdkError),
}

impl std::error::Error for DaemonError {}

/// A running entry daemon.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    threads: Threads,
}

impl Daemon {
    /// Starts the threads. All addresses are bound before this function returns, so clients can connect
    /// afterwards.
    ///
    /// # Errors
    /// If an address cannot be bound, a thread cannot be started, or the setup of signals, state charts or
    /// metrics fails.
    pub fn start(settings: EntrySettings) -> Result<Self, DaemonError> {
        let clock = Clock::start();
        let incarnation = Incarnation(clock.started_at().0);
        let (lane_senders, lane_receivers): (Vec<_>, Vec<_>) =
            (0..settings.lanes).map(|_| lane::inbox_channel()).unzip();
        let shared = Arc::new(Shared {
            clock,
            plan: ArcSwap::default(),
            plan_changed: watch::Sender::new(0),
            lane_stats: lane_senders.iter().map(|_| ArcSwap::default()).collect(),
            lanes: lane_senders,
            control_counters: ArcSwap::default(),
            lane_rejects: AtomicU64::new(0),
            open_streams: AtomicUsize::new(0),
            open_tunnels: AtomicUsize::new(0),
            traffic: OnceLock::new(),
            shutdown: watch::Sender::new(false),
            settings,
        });
        let control_runtime = runtime()?;
        let signals = Signals::new(&control_runtime).map_err(DaemonError::Signals)?;
        let (notices, notice_receiver) = mpsc::unbounded_channel();
        let mut threads = Threads::default();
        for (index, inbox) in lane_receivers.into_iter().enumerate() {
            let router = Router::new(shared.settings.router_settings(incarnation, index as u32))
                .map_err(DaemonError::Chart)?;
            start_lane(&mut threads, &shared, index, router, inbox, notices.clone())?;
        }
        start_control(
            &mut threads,
            control_runtime,
            signals,
            &shared,
            incarnation,
            notice_receiver,
        )?;
        Ok(Self { shared, threads })
    }

    /// The state shared by the threads, for tests.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Waits until all threads have ended.
    ///
    /// # Errors
    /// If a thread panicked: the first one. The process must exit then.
    pub fn wait(self) -> Result<(), ThreadError> {
        self.threads.wait()
    }
}

fn runtime() -> Result<Runtime, DaemonError> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::Thread)
}

fn bind(runtime: &Runtime, address: SocketAddr) -> Result<tokio::net::TcpListener, DaemonError> {
    let _guard = runtime.enter();
    net::listen(address).map_err(|cause| DaemonError::Listen { address, cause })
}

// ----------------------------------------------------------------------------
// Traffic

fn start_lane(
    threads: &mut Threads,
    shared: &Arc<Shared>,
    index: usize,
    router: Router,
    inbox: LaneReceiver,
    notices: mpsc::UnboundedSender<LaneNotice>,
) -> Result<(), DaemonError> {
    let runtime = runtime()?;
    shared.traffic.get_or_init(|| runtime.handle().clone());
    let listener = bind(&runtime, shared.settings.caller_address)?;
    let shared = Arc::clone(shared);
    let run_lane = move || {
        runtime.block_on(async {
            let (lane, event_receiver) = Lane::new(Arc::clone(&shared), index, router, notices);
            let serve = serve_callers(listener, Arc::clone(&shared));
            let callers = tokio::spawn(serve);
            lane.run(inbox, event_receiver).await;
            // The outcomes are already queued in the streams; wait until the connections have sent them.
            let _ = tokio::time::timeout(CALLER_DRAIN_TIMEOUT, callers).await;
        });
    };
    let name = format!("lane-{index}");
    threads.spawn(&name, run_lane).map_err(DaemonError::Thread)
}

async fn serve_callers(listener: tokio::net::TcpListener, shared: Arc<Shared>) {
    let mut shutdown = shared.shutdown.subscribe();
    // This limit only bounds what is decoded. The router refuses requests whose payload exceeds `max_payload`.
    let max_message = shared.settings.max_payload * 2 + MESSAGE_OVERHEAD;
    let service =
        GatewayServer::new(GatewayService::new(Arc::clone(&shared))).max_decoding_message_size(max_message);
    let server = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_INTERVAL))
        .add_service(service)
        .serve_with_incoming_shutdown(net::incoming_callers(listener), async move {
            let _ = shutdown.wait_for(|shutdown| *shutdown).await;
        });
    if let Err(error) = server.await {
        let cause = error.to_string();
        spdlog::error!("the server for callers failed", kv: { cause = cause.as_str() });
    }
}

// ----------------------------------------------------------------------------
// Control

fn start_control(
    threads: &mut Threads,
    runtime: Runtime,
    signals: Signals,
    shared: &Arc<Shared>,
    incarnation: Incarnation,
    notice_receiver: mpsc::UnboundedReceiver<LaneNotice>,
) -> Result<(), DaemonError> {
    let settings = &shared.settings;
    let peers = bind(&runtime, settings.control_address)?;
    let bulk = bind(&runtime, settings.bulk_address)?;
    let operators = bind(&runtime, settings.operator_address)?;
    let metrics = Arc::new(Metrics::new(shared).map_err(DaemonError::Metrics)?);
    let control = Control::new(settings.control_settings(incarnation), shared.clock.now())
        .map_err(DaemonError::Chart)?;
    let shared = Arc::clone(shared);
    let run_control = move || {
        runtime.block_on(async {
            let (sender, inbox) = mpsc::unbounded_channel();
            let thread = ControlThread::new(Arc::clone(&shared), control, sender.clone());
            tokio::spawn(peer_server::serve(peers, sender.clone()));
            tokio::spawn(bulk_server::serve(
                bulk,
                Arc::clone(&shared),
                sender.clone(),
                Arc::clone(&metrics),
            ));
            let operations = OperationsService::new(Arc::clone(&shared), sender.clone(), metrics);
            tokio::spawn(
                Server::builder()
                    .add_service(OperationsServer::new(operations))
                    .serve_with_incoming(net::incoming(operators)),
            );
            tokio::spawn(stop_on_signal(signals, sender));
            thread.run(inbox, notice_receiver).await;
        });
    };
    threads.spawn("control", run_control).map_err(DaemonError::Thread)
}

/// Starts a planned stop on SIGTERM or SIGINT. Further signals do not end the running requests early.
async fn stop_on_signal(mut signals: Signals, control: ControlSender) {
    loop {
        Signals::wait_for_stop(&mut signals.terminate, &mut signals.interrupt).await;
        spdlog::info!("stop requested by a signal");
        let _ = control.send(ControlMessage::Event(ControlEvent::Stop));
    }
}
