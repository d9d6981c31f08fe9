//! `barleyspool-entry`: the entry daemon's command line.

use barleyspool_entry::{Daemon, EntrySettings};
use barleyspool_wire::logging;
use std::path::Path;
use std::process::ExitCode;

/// The settings are wrong.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// The daemon could not start.
const EXIT_START_FAILED: u8 = 3;
/// A thread panicked.
const EXIT_THREAD_PANICKED: u8 = 4;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The entry daemon of barleyspool: takes requests of callers and runs them through their pipelines.
        ///
        /// It stops in order on SIGTERM or SIGINT: it takes nothing new, finishes what runs, then ends.
        cmd barleyspool-entry {
            /// The settings, a JSON file. docs/OPERATING.md describes its fields.
            optional --settings file: PathBuf
            /// Check the settings and exit: 0 when they are good, 2 when not.
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
