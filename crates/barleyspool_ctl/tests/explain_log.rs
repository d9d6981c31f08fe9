//! Runs `barleyspool explain-log` as a process and checks its output and exit codes.

#![allow(clippy::expect_used, reason = "a test stops where it fails")]

use std::path::PathBuf;
use std::process::{Command, Output};

fn write_log(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("barleyspool-explain-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a temporary file");
    path
}

fn run_command(arguments: &[&str], files: &[&PathBuf]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_barleyspool"));
    command.args(arguments).args(files);
    command.output().expect("the binary starts")
}

const FIRST_NODE_LOG: &str = r#"  12.1 node-a {"at_ms":1000,"node":"node-a","event":"admitted","id":"c1","route":"r","left_ms":900}
{"at_ms":1400,"node":"node-a","event":"ended","id":"c1","route":"r","status":503,"reason":"pool_busy","verdict":"not_run","step":"rerank","peer":"","come_back_ms":250,"took_ms":400}
{"at_ms":1200,"node":"node-a","event":"ended","id":"c10","status":200,"reason":""}
not a line
"#;
const SECOND_NODE_LOG: &str = r#"{"at_ms":1300,"node":"node-b","event":"stage","id":"c1","stage":2,"service":"rerank","end":"too_late","took_ms":290}
"#;

#[test]
fn lines_of_a_request_are_printed_by_time_with_its_cause() {
    let files = [
        write_log("one", FIRST_NODE_LOG),
        write_log("other", SECOND_NODE_LOG),
    ];
    let output = run_command(&["explain-log", "c1"], &[&files[0], &files[1]]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    let events: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split_whitespace().nth(3))
        .collect();
    assert_eq!(events[..3], ["admitted", "stage", "ended"], "{text}");
    let cause = text.lines().last().expect("a last line");
    for word in ["pool_busy", "rerank", "no part of it ran", "250 ms", "290 ms"] {
        assert!(cause.contains(word), "{word} in: {cause}");
    }
    assert!(!text.contains("c10"));
}

#[test]
fn an_unknown_request_and_an_unreadable_file_have_their_own_exit_codes() {
    let one = write_log("none", FIRST_NODE_LOG);
    assert_eq!(
        run_command(&["explain-log", "c9"], &[&one]).status.code(),
        Some(1)
    );
    let missing = PathBuf::from("/nowhere/log");
    let output = run_command(&["explain-log", "c1"], &[&missing]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/log"));
}

#[test]
fn json_output_contains_the_cause_and_the_lines() {
    let one = write_log("json", FIRST_NODE_LOG);
    let output = run_command(&["--json", "explain-log", "c1"], &[&one]);
    let value: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(value["lines"].as_array().map(Vec::len), Some(2));
    assert!(
        value["cause"]
            .as_str()
            .is_some_and(|cause| cause.contains("pool_busy"))
    );
}

const CALL_BLOCKED_LOG: &str = r#"{"at_ms":900,"node":"node-b","event":"target_ended","target":"i-1","id":"c7","print":"00ab","counts":true}
{"at_ms":950,"node":"node-c","event":"target_ended","target":"i-2","id":"c8","print":"00ab","counts":true}
{"at_ms":960,"node":"node-c","event":"target_ended","target":"i-3","id":"c9","print":"00cd","counts":true}
{"at_ms":1000,"node":"node-a","event":"kept_away","id":"c1","print":"00ab","wait_ms":4900}
{"at_ms":1000,"node":"node-a","event":"ended","id":"c1","route":"r","status":503,"reason":"ends_targets","verdict":"not_run","step":"engines","peer":"","come_back_ms":4900,"took_ms":0}
"#;

#[test]
fn a_blocked_call_is_explained_by_the_targets_that_crashed_under_its_other_attempts() {
    let log = write_log("kept", CALL_BLOCKED_LOG);
    let output = run_command(&["explain-log", "c1"], &[&log]);
    let text = String::from_utf8_lossy(&output.stdout);
    let cause = text.lines().last().expect("a last line");
    for word in ["ends_targets", "no part of it ran", "4900 ms", "i-1, i-2"] {
        assert!(cause.contains(word), "{word} in: {cause}");
    }
    assert!(!text.contains("i-3"), "i-3 crashed under another call");
}

const PART_BLOCKED_LOG: &str = r#"{"at_ms":900,"node":"node-b","event":"target_ended","target":"i-1","id":"c7","print":"00ab","parts":"0a,0b","counts":true}
{"at_ms":950,"node":"node-c","event":"target_ended","target":"i-2","id":"c8","print":"00cd","parts":"0b","counts":true}
{"at_ms":960,"node":"node-c","event":"target_ended","target":"i-3","id":"c9","print":"00ef","parts":"0a,0bb","counts":true}
{"at_ms":1000,"node":"node-a","event":"kept_away","id":"c1","print":"0012","suspect":"part 0b","wait_ms":29000}
{"at_ms":1000,"node":"node-a","event":"ended","id":"c1","route":"r","status":503,"reason":"ends_targets","verdict":"not_run","step":"engines","peer":"","come_back_ms":29000,"took_ms":0}
"#;

// Guards against an explanation that names no crash, since no other call has the fingerprint of the blocked one.
#[test]
fn a_call_with_a_blocked_part_is_explained_by_the_crashes_under_calls_with_that_part() {
    let log = write_log("part", PART_BLOCKED_LOG);
    let output = run_command(&["explain-log", "c1"], &[&log]);
    let text = String::from_utf8_lossy(&output.stdout);
    let cause = text.lines().last().expect("a last line");
    for word in ["ends_targets", "29000 ms", "i-1, i-2"] {
        assert!(cause.contains(word), "{word} in: {cause}");
    }
    assert!(
        !text.contains("i-3"),
        "i-3 crashed under a call without that part"
    );
}

const RATE_LIMITED_LOG: &str = r#"{"at_ms":700,"node":"node-b","event":"target_limit","target":"i-1","service":"engines","per_s":3.0,"id":"c7"}
{"at_ms":800,"node":"node-c","event":"target_limit","target":"i-1","service":"engines","per_s":1.5,"id":"c8"}
{"at_ms":900,"node":"node-c","event":"target_limit","target":"i-2","service":"engines","per_s":null,"id":"c9"}
{"at_ms":950,"node":"node-c","event":"target_limit","target":"i-3","service":"others","per_s":4.0,"id":"c9"}
{"at_ms":1000,"node":"node-a","event":"at_limit","id":"c1","service":"engines","wait_ms":650,"limited":2,"steady":true}
{"at_ms":1000,"node":"node-a","event":"ended","id":"c1","route":"r","status":503,"reason":"at_limit","verdict":"not_run","step":"engines","peer":"","come_back_ms":650,"took_ms":2}
{"at_ms":1500,"node":"node-c","event":"target_limit","target":"i-4","service":"engines","per_s":9.0,"id":"c9"}
"#;

#[test]
fn a_call_refused_at_the_rate_limit_is_explained_by_the_limits_known_at_that_time() {
    let log = write_log("limit", RATE_LIMITED_LOG);
    let output = run_command(&["explain-log", "c1"], &[&log]);
    let text = String::from_utf8_lossy(&output.stdout);
    let cause = text.lines().last().expect("a last line");
    for word in [
        "at_limit at engines",
        "no part of it ran",
        "650 ms",
        "calls per second: i-1 to 1.5",
    ] {
        assert!(cause.contains(word), "{word} in: {cause}");
    }
    for other in ["i-3", "i-4"] {
        assert!(!text.contains(other), "{other} is unrelated to this call");
    }
}
