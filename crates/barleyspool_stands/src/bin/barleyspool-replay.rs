//! `barleyspool-replay`: replays recorded traces against the router of one node, and generates traces.

use barleyspool_core::Policy;
use barleyspool_stands::deployment::Deployment;
use barleyspool_stands::replay::{self, Report, Scenario, Trace};
use serde_json::json;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The routing policies to compare; the first must meet the expected outcomes of a trace.
const POLICIES: [&str; 3] = ["default", "round-robin", "least-in-flight"];
/// The loads of a sweep, relative to the capacity of the deployment.
const LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Replays recorded traces against the router of one node.
        cmd barleyspool-replay {
            /// Directory with the deployments (default: "settings").
            optional --settings dir: PathBuf
            /// Replay a trace. Exits with 0 only if the expected outcomes of the trace hold under the policy.
            cmd run {
                /// The trace file.
                required trace: PathBuf
                /// The routing policy: default, round-robin or least-in-flight (default: default).
                optional --policy name: String
                /// Print JSON instead of tables.
                optional --json
            }
            /// Replay traces under every policy and print one line for each trace and policy.
            cmd compare {
                /// The trace files.
                repeated traces: PathBuf
            }
            /// Measure goodput at several loads, under every policy.
            cmd sweep {
                /// The deployment's name.
                required deployment: String
                /// The seed of the generated traces (default: 1).
                optional --seed number: u64
            }
            /// Generate a trace of every scenario for a deployment.
            cmd generate {
                /// The deployment's name.
                required deployment: String
                /// The seed of the generated traces.
                required seed: u64
                /// The directory to write the traces to.
                required dir: PathBuf
            }
        }
    }
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let flags = flags::BarleyspoolReplay::from_env_or_exit();
    let settings = flags.settings.unwrap_or_else(|| PathBuf::from("settings"));
    match flags.subcommand {
        flags::BarleyspoolReplayCmd::Run(run) => replay_trace(&settings, &run),
        flags::BarleyspoolReplayCmd::Compare(compare) => compare_policies(&settings, &compare.traces),
        flags::BarleyspoolReplayCmd::Sweep(sweep) => sweep_load(&settings, &sweep),
        flags::BarleyspoolReplayCmd::Generate(generate) => generate_traces(&settings, &generate),
    }
}

fn load_deployment(settings: &Path, name: &str) -> std::io::Result<Deployment> {
    Deployment::load(&settings.join(name).join("deployment.json"))
}

fn policy_by_name(name: &str) -> Result<Policy, String> {
    Policy::named(name).ok_or_else(|| {
        format!(
            "--policy: unknown policy {name}, expected one of {}",
            POLICIES.join(", ")
        )
    })
}

#[allow(clippy::print_stdout, reason = "the report is this program's output")]
fn replay_trace(settings: &Path, run: &flags::Run) -> Result<ExitCode, Box<dyn Error>> {
    let trace = Trace::load(&run.trace)?;
    let deployment = load_deployment(settings, &trace.header.deployment)?;
    let report = replay::replay(
        &trace,
        &deployment,
        policy_by_name(run.policy.as_deref().unwrap_or("default"))?,
    )?;
    let results = report.check_outcomes(&trace);
    let all_hold = results.iter().all(|(_, _, holds)| *holds);
    if run.json {
        let outcomes: Vec<_> = results
            .iter()
            .map(|(expected, value, holds)| json!({ "stated": expected, "measured": value, "holds": holds }))
            .collect();
        let (spent, useful) = report.accelerator_seconds();
        println!(
            "{}",
            json!({ "trace": trace.header.name, "outcomes": outcomes, "hold": all_hold,
                "accelerator_s": spent, "useful_s": useful, "wasted": report.wasted_share() })
        );
    } else {
        println!("{}", report.to_tables());
        for (expected, value, holds) in &results {
            let verdict = if *holds { "holds" } else { "FAILS" };
            println!(
                "{verdict}: {}, measured {value:.4}",
                serde_json::to_string(expected)?
            );
        }
        let [p50, p95, p99] = report.decision_percentiles_ms();
        println!("decision about an arrival: p50 {p50:.3} ms, p95 {p95:.3} ms, p99 {p99:.3} ms");
    }
    Ok(if all_hold {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

#[allow(clippy::print_stdout, reason = "the table is this program's output")]
fn compare_policies(settings: &Path, traces: &[PathBuf]) -> Result<ExitCode, Box<dyn Error>> {
    println!(
        "{:<34} {:<16} {:>9} {:>9} {:>9} {:>8} {:>10} {:>6}",
        "trace", "policy", "top", "all", "useful-s", "wasted", "s/answer", "hold"
    );
    let mut all_hold = true;
    for path in traces {
        let trace = Trace::load(path)?;
        let deployment = load_deployment(settings, &trace.header.deployment)?;
        for name in POLICIES {
            let report = replay::replay(&trace, &deployment, policy_by_name(name)?)?;
            let holds = report.check_outcomes(&trace).iter().all(|(_, _, holds)| *holds);
            all_hold &= holds || name != POLICIES[0];
            println!(
                "{:<34} {}",
                trace.header.name,
                policy_row(name, &report, &deployment, holds)
            );
        }
    }
    Ok(if all_hold {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Formats the table row of a policy: attainment of the highest class and of all requests, useful
/// accelerator-seconds, wasted share, and accelerator-seconds per completed request of the class `assistant`.
fn policy_row(policy: &str, report: &Report, deployment: &Deployment, holds: bool) -> String {
    let top = report
        .group_stats(Some(&deployment.classes[0].name), None)
        .attainment()
        * 100.0;
    let all = report.group_stats(None, None).attainment() * 100.0;
    let (_, useful) = report.accelerator_seconds();
    let wasted = report.wasted_share() * 100.0;
    let answer = report.cost_per_answer("assistant");
    let holds_text = if holds { "yes" } else { "no" };
    format!(
        "{policy:<16} {top:>8.1}% {all:>8.1}% {useful:>9.1} {wasted:>7.1}% {answer:>10.3} {holds_text:>6}"
    )
}

#[allow(clippy::print_stdout, reason = "the table is this program's output")]
fn sweep_load(settings: &Path, sweep: &flags::Sweep) -> Result<ExitCode, Box<dyn Error>> {
    let deployment = load_deployment(settings, &sweep.deployment)?;
    println!(
        "{}: capacity {:.0} requests/s",
        deployment.name,
        replay::capacity(&deployment)
    );
    for name in POLICIES {
        for load in LOADS {
            let seed = sweep.seed.unwrap_or(1);
            let trace = replay::generate(&deployment, "sweep", Scenario::Steady(load), seed);
            let report = replay::replay(&trace, &deployment, policy_by_name(name)?)?;
            println!(
                "load {load:>4.1}  {}",
                policy_row(name, &report, &deployment, true)
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn generate_traces(settings: &Path, generate: &flags::Generate) -> Result<ExitCode, Box<dyn Error>> {
    let deployment = load_deployment(settings, &generate.deployment)?;
    std::fs::create_dir_all(&generate.dir)?;
    for (name, scenario) in Scenario::NAMED {
        let name = format!("{}-{name}", deployment.name);
        let trace = replay::generate(&deployment, &name, scenario, generate.seed);
        std::fs::write(generate.dir.join(format!("{name}.jsonl")), trace.to_jsonl()?)?;
    }
    Ok(ExitCode::SUCCESS)
}
