//! `barleyspool-entry`: the entry daemon's command line.

use barleyspool_entry::{Daemon, EntrySettings};
use barleyspool_wire::logging;
use std::path::Path;
use std::process::ExitCode;

/// Exit code: the settings are missing or invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code: the daemon could not start.
const EXIT_START_FAILED: u8 = 3;
/// Exit code: a thread panicked.
const EXIT_THREAD_PANICKED: u8 = 4;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The entry daemon of barleyspool: accepts requests from callers and runs them through their
        /// pipelines.
        ///
        /// On SIGTERM or SIGINT it accepts no new requests, finishes the running ones and exits.
        cmd barleyspool-entry {
            /// The settings file, in JSON. docs/OPERATING.md describes its fields.
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
    let flags = flags::BarleyspoolEntry::from_env_or_exit();
    if flags.version {
        println!("barleyspool-entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = flags.settings else {
        eprintln!("barleyspool-entry: --settings FILE is needed; see --help");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    run(&file, flags.check)
}

fn run(file: &Path, check: bool) -> ExitCode {
    let settings = match EntrySettings::load(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if check {
        eprintln!("{}: good", file.display());
        return ExitCode::SUCCESS;
    }
    logging::init(&format!("entry-{}", settings.node), &settings.log_level);
    match Daemon::start(settings) {
        Ok(daemon) => match daemon.wait() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                let cause = error.to_string();
                spdlog::error!("ended", kv: { cause = cause.as_str() });
                ExitCode::from(EXIT_THREAD_PANICKED)
            }
        },
        Err(error) => {
            let cause = error.to_string();
            spdlog::error!("cannot start", kv: { cause = cause.as_str() });
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}
