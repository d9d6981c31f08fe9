//! `barleyspool-stand-caller`: load generator that checks every answer of a deployment.

use barleyspool_client::ClientSettings;
use barleyspool_stands::caller::{self, LoadSettings};
use barleyspool_stands::deployment::Deployment;
use barleyspool_stands::replay::Trace;
use barleyspool_stands::run_log;
use std::error::Error;
use std::process::ExitCode;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Sends a deployment's mix of requests and checks every answer.
        ///
        /// Exits with 0 only if nothing was lost, doubled or misdelivered, and no request reported as not run had run.
        cmd barleyspool-stand-caller {
            /// The deployment file, in JSON.
            required --deployment file: PathBuf
            /// Number of requests (default: 400).
            optional --requests number: u32
            /// Requests per second (default: 40).
            optional --rate number: f64
            /// Send a recorded trace instead of the deployment's mix.
            optional --trace file: PathBuf
            /// Seed of the random choice of requests (default: 1).
            optional --seed number: u64
            /// The folder with the run logs of the targets.
            optional --run-log dir: PathBuf
            /// Label at the start of the last output line (default: "caller").
            optional --label text: String
        }
    }
}

#[allow(
    clippy::print_stdout,
    reason = "the table and the last line are the output of this program"
)]
#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<ExitCode, Box<dyn Error>> {
    let flags = flags::BarleyspoolStandCaller::from_env_or_exit();
    let deployment = Deployment::load(&flags.deployment)?;
    let trace = flags.trace.as_deref().map(Trace::load).transpose()?;
    let settings = LoadSettings {
        seed_nodes: deployment
            .entries
            .iter()
            .map(|entry| entry.caller_address.clone())
            .collect(),
        request_count: trace
            .as_ref()
            .map_or(flags.requests.unwrap_or(400), |trace| trace.arrivals.len() as u32),
        trace,
        requests_per_s: flags.rate.unwrap_or(40.0),
        seed: flags.seed.unwrap_or(1),
        key_prefix: format!("r{}", std::process::id()),
        client: ClientSettings::default(),
    };
    let total = settings.request_count as usize;
    let progress_interval = (total / 10).max(1);
    let records = caller::run_load(&deployment, &settings, move |finished| {
        if finished % progress_interval == 0 {
            println!("  {finished} of {total} ended");
        }
    })
    .await;
    let run_records = match &flags.run_log {
        Some(dir) => run_log::read_all(dir)?,
        None => Vec::new(),
    };
    let summary = caller::check_records(&records, &run_records);
    println!("\n{}", caller::summary_table(&records));
    if summary.unknown > 0 || summary.false_not_run > 0 {
        println!(
            "reported as unknown (counted as refused below): {}; run although reported as not run: {}",
            summary.unknown, summary.false_not_run
        );
    }
    println!(
        "{}: requests={} complete={} refused={} lost={} doubled={} misdelivered={}",
        flags.label.as_deref().unwrap_or("caller"),
        summary.requests,
        summary.complete,
        summary.refused + summary.unknown,
        summary.lost,
        summary.duplicated,
        summary.misdelivered
    );
    Ok(if summary.has_no_violation() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
