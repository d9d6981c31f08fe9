//! Checks that the default policy reaches the expected outcomes of the stored traces, and of generated traces
//! whose seeds were not used for tuning. The baseline policies show that the outcomes can fail.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::print_stdout,
    reason = "a test stops where it fails"
)]

use barleyspool_core::Policy;
use barleyspool_stands::deployment::Deployment;
use barleyspool_stands::replay::{Report, Scenario, Trace, generate, replay};
use std::path::{Path, PathBuf};

/// Seeds that were not used for tuning the default policy.
const HELD_OUT_SEEDS: [u64; 2] = [907, 908];

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn load_deployment(name: &str) -> Deployment {
    Deployment::load(
        &repository_root()
            .join("settings")
            .join(name)
            .join("deployment.json"),
    )
    .unwrap()
}

fn replay_trace(trace: &Trace, policy: Policy) -> Report {
    replay(trace, &load_deployment(&trace.header.deployment), policy).unwrap()
}

#[track_caller]
fn assert_outcomes_hold(trace: &Trace, report: &Report) {
    for (expected, value, holds) in report.check_outcomes(trace) {
        assert!(
            holds,
            "{}, seed {}: {expected:?}: measured {value}",
            trace.header.name, trace.header.seed
        );
    }
}

#[test]
fn expected_outcomes_of_all_stored_traces_hold() {
    let mut count = 0;
    for file in std::fs::read_dir(repository_root().join("traces")).unwrap() {
        let trace = Trace::load(&file.unwrap().path()).unwrap();
        assert_outcomes_hold(&trace, &replay_trace(&trace, Policy::default()));
        count += 1;
    }
    assert!(count >= 14, "{count} traces");
}

#[test]
fn expected_outcomes_hold_for_held_out_seeds() {
    for name in ["vigilanza", "kirjakoda"] {
        for (scenario_name, scenario) in Scenario::NAMED {
            for seed in HELD_OUT_SEEDS {
                let trace = generate(&load_deployment(name), scenario_name, scenario, seed);
                assert_outcomes_hold(&trace, &replay_trace(&trace, Policy::default()));
            }
        }
    }
}

/// Both baseline policies miss the expected outcomes of a surge, and use more accelerator-seconds per completed
/// request of the class `assistant`.
#[test]
fn baselines_fail_the_outcomes_of_a_surge() {
    for name in ["vigilanza", "kirjakoda"] {
        let trace = Trace::load(&repository_root().join(format!("traces/{name}-surge.jsonl"))).unwrap();
        let default_policy = replay_trace(&trace, Policy::default());
        for policy in [Policy::round_robin(), Policy::least_in_flight()] {
            let baseline = replay_trace(&trace, policy);
            assert!(
                baseline.check_outcomes(&trace).iter().any(|(_, _, holds)| !holds),
                "{name}: {policy:?}"
            );
            let (default_policy, baseline) = (
                default_policy.cost_per_answer("assistant"),
                baseline.cost_per_answer("assistant"),
            );
            assert!(
                default_policy < baseline,
                "{name}: {default_policy} accelerator-seconds per answer, baseline {baseline}"
            );
        }
    }
}

/// Goodput does not fall when the load exceeds capacity: at one to three times capacity, useful work takes at
/// least nine tenths of the slot time of the engines, which limit the deployment, while requests arrive. At most
/// a twentieth of all work is wasted.
#[test]
fn goodput_does_not_fall_with_load() {
    for name in ["vigilanza", "kirjakoda"] {
        let deployment = load_deployment(name);
        let slots: u32 = deployment
            .targets
            .iter()
            .filter(|spec| spec.engine)
            .map(|spec| spec.count * spec.slots)
            .sum();
        for (load, seed) in [1.0, 1.5, 2.0, 3.0]
            .into_iter()
            .flat_map(|load| HELD_OUT_SEEDS.map(|seed| (load, seed)))
        {
            let trace = generate(&deployment, "sweep", Scenario::Steady(load), seed);
            let report = replay_trace(&trace, Policy::default());
            let seconds = trace.arrivals.last().unwrap().at_ms as f64 / 1000.0;
            let useful =
                report.stage_usage()["generate"].useful_us as f64 / 1e6 / (f64::from(slots) * seconds);
            let wasted = report.wasted_share();
            println!(
                "{name}, load {load}, seed {seed}: useful share of the slots {useful:.3}, wasted {wasted:.3}"
            );
            assert!(
                useful >= 0.9 && wasted <= 0.05,
                "{name}, load {load}: useful {useful}, wasted {wasted}"
            );
        }
    }
}

#[test]
fn replaying_a_trace_twice_gives_the_same_report() {
    let trace = generate(&load_deployment("kirjakoda"), "again", Scenario::Surge, 5);
    assert_eq!(
        replay_trace(&trace, Policy::default()).to_tables(),
        replay_trace(&trace, Policy::default()).to_tables()
    );
}

#[test]
fn an_error_in_a_trace_reports_its_line_number() {
    let file = std::env::temp_dir().join(format!("barleyspool-trace-{}.jsonl", std::process::id()));
    let valid_lines = generate(&load_deployment("kirjakoda"), "bad", Scenario::Quiet, 5)
        .to_jsonl()
        .unwrap();
    std::fs::write(&file, valid_lines + "[1,2,3]\n").unwrap();
    let error = Trace::load(&file).unwrap_err().to_string();
    std::fs::remove_file(&file).unwrap();
    let line = generate(&load_deployment("kirjakoda"), "bad", Scenario::Quiet, 5)
        .to_jsonl()
        .unwrap()
        .lines()
        .count()
        + 1;
    assert!(error.contains(&format!(":{line}:")), "{error}");
}
