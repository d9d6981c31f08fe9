//! `barleyspool-keeper`: the keeper daemon.
//!
//! The process can be stopped or killed at any time without losing work: it keeps no state of its own, and a new
//! process continues from the reports of the engines.

use barleyspool_keeper::{Keeper, KeeperOperations, KeeperSettings};
use barleyspool_wire::process::Signals;
use barleyspool_wire::rpc::operations_server::OperationsServer;
use barleyspool_wire::{logging, net};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::sync::Mutex;
use tonic::transport::Server;

/// Exit code: the settings are missing or invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code: the daemon could not start.
const EXIT_START_FAILED: u8 = 3;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The keeper daemon of barleyspool: sends fenced orders to model engines.
        cmd barleyspool-keeper {
            /// The settings, a JSON file. docs/OPERATING.md describes its fields.
            optional --settings file: PathBuf
            /// Check the settings and exit: 0 if they are valid, 2 if not.
            optional --check
            /// Print the version and exit.
            optional --version
        }
    }
}

#[allow(clippy::print_stdout, reason = "the version goes to standard output")]
fn main() -> ExitCode {
    let flags = flags::BarleyspoolKeeper::from_env_or_exit();
    if flags.version {
        println!("barleyspool-keeper {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = flags.settings else {
        eprintln!("barleyspool-keeper: --settings FILE is needed; see --help");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let settings = match KeeperSettings::load(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if flags.check {
        eprintln!("{}: good", Path::display(&file));
        return ExitCode::SUCCESS;
    }
    logging::init(&format!("keeper-{}", settings.node), &settings.log_level);
    match run_daemon(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let cause = error.to_string();
            spdlog::error!("cannot start", kv: { cause = cause.as_str() });
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn run_daemon(settings: KeeperSettings) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut signals = Signals::new(&runtime)?;
    runtime.block_on(async {
        let listener = net::listen(settings.operator_address)?;
        let keeper = Arc::new(Mutex::new(Keeper::new(settings)));
        let operations = KeeperOperations::new(Arc::clone(&keeper));
        tokio::spawn(
            Server::builder()
                .add_service(OperationsServer::new(operations))
                .serve_with_incoming(net::incoming(listener)),
        );
        tokio::select! {
            () = reconcile_periodically(&keeper) => {}
            () = Signals::wait_for_stop(&mut signals.terminate, &mut signals.interrupt) => {}
        }
        Ok(())
    })
}

async fn reconcile_periodically(keeper: &Mutex<Keeper>) {
    loop {
        let interval = {
            let mut keeper = keeper.lock().await;
            keeper.reconcile().await;
            keeper.interval()
        };
        tokio::time::sleep(interval).await;
    }
}
