//! Prints the replies of nodes and the lines of a request, as text or as JSON.
#![allow(clippy::print_stdout, reason = "this module prints to standard output")]

use crate::explain_log::LogLine;
use barleyspool_wire::rpc;
use serde_json::{Value, json};

/// The output format, with one method for each kind of reply.
pub struct Output {
    /// Whether to print JSON instead of text.
    pub json: bool,
}

impl Output {
    pub fn status(&self, reply: &rpc::StatusReply) {
        let fields = [
            ("node", json!(reply.node)),
            ("zone", json!(reply.zone)),
            ("state", json!(reply.state)),
            ("revision", json!(reply.revision)),
            ("fleet_revision", json!(reply.fleet_revision)),
            ("epoch", json!(reply.epoch)),
            ("lease", json!(reply.lease)),
            ("lease_wait_ms", json!(reply.lease_wait_ms)),
            ("plan_age_ms", json!(reply.plan_age_ms)),
            ("running", json!(reply.running)),
            ("waiting", json!(reply.waiting)),
            ("uptime_ms", json!(reply.uptime_ms)),
            ("version", json!(reply.version)),
        ];
        if self.json {
            let object: serde_json::Map<String, Value> = fields
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value))
                .collect();
            return println!("{}", Value::Object(object));
        }
        for (name, value) in fields {
            println!("{name:<16} {}", plain_text(&value));
        }
    }

    pub fn counters(&self, reply: &rpc::CountersReply) {
        let row =
            |counter: &rpc::Counter| vec![json!(counter.name), json!(counter.labels), json!(counter.value)];
        self.print_rows(
            &["name", "labels", "value"],
            reply.counters.iter().map(row).collect(),
        );
    }

    pub fn targets(&self, reply: &rpc::TargetsReply) {
        let names = [
            "target",
            "address",
            "zone",
            "service",
            "state",
            "in_flight",
            "limit",
            "latency_ms",
            "report_age_ms",
        ];
        let row = |target: &rpc::TargetState| {
            vec![
                json!(target.target),
                json!(target.address),
                json!(target.zone),
                json!(target.service),
                json!(target.state),
                json!(target.in_flight),
                json!(target.limit),
                json!(target.latency_ms),
                json!(target.report_age_ms),
            ]
        };
        self.print_rows(&names, reply.targets.iter().map(row).collect());
    }

    pub fn peers(&self, reply: &rpc::PeersReply) {
        let row = |peer: &rpc::PeerState| {
            vec![
                json!(peer.node),
                json!(peer.address),
                json!(peer.zone),
                json!(peer.state),
                json!(peer.epoch),
                json!(peer.word_age_ms),
            ]
        };
        let names = ["node", "address", "zone", "state", "epoch", "word_age_ms"];
        self.print_rows(&names, reply.peers.iter().map(row).collect());
    }

    pub fn orders(&self, reply: &rpc::OrdersReply) {
        let row = |order: &rpc::OrderState| {
            vec![
                json!(order.target),
                json!(order.wanted),
                json!(order.reported),
                json!(order.pending),
                json!(order.reason),
            ]
        };
        let names = ["target", "wanted", "reported", "pending", "reason"];
        self.print_rows(&names, reply.orders.iter().map(row).collect());
    }

    pub fn stop(&self, reply: &rpc::StopReply) {
        if self.json {
            return println!("{}", json!({ "running": reply.running }));
        }
        println!("stopping; {} requests are still running", reply.running);
    }

    pub fn explain(&self, reply: &rpc::ExplainReply) {
        let row = |stage: &rpc::ExplainStage| {
            vec![json!(stage.stage), json!(stage.target), json!(stage.expected_ms)]
        };
        if !self.json {
            if reply.admitted {
                println!("admitted");
            } else {
                println!("refused: {}; retry after {} ms", reply.reason, reply.come_back_ms);
            }
            return self.print_rows(
                &["stage", "target", "done_after_ms"],
                reply.stages.iter().map(row).collect(),
            );
        }
        let stages: Vec<Value> = reply
            .stages
            .iter()
            .map(|stage| Value::Array(row(stage)))
            .collect();
        let (admitted, reason, retry_after_ms) = (reply.admitted, &reply.reason, reply.come_back_ms);
        println!(
            "{}",
            json!({ "admitted": admitted, "reason": reason, "come_back_ms": retry_after_ms, "stages": stages })
        );
    }

    /// Prints the log lines of a request, as text with times relative to the first line, then `cause`: the summary of
    /// the outcome from [`crate::explain_log::describe_outcome`]. The summary exists for every request, also for one
    /// that a target answered.
    pub fn request_log(&self, lines: &[LogLine], cause: &str) {
        if self.json {
            let line = |line: &LogLine| json!({ "at_ms": line.at_ms, "node": line.node, "event": line.event, "fields": line.fields });
            let lines: Vec<Value> = lines.iter().map(line).collect();
            return println!("{}", json!({ "cause": cause, "lines": lines }));
        }
        let started_at_ms = lines.first().map_or(0, |line| line.at_ms);
        for line in lines {
            let fields = line.fields.iter().filter(|(name, _)| *name != "id");
            let fields: Vec<String> = fields
                .map(|(name, value)| format!("{name}={}", plain_text(value)))
                .collect();
            let elapsed_ms = line.at_ms - started_at_ms;
            println!(
                "{elapsed_ms:>6} ms  {:<16} {:<10} {}",
                line.node,
                line.event,
                fields.join(" ")
            );
        }
        println!("cause: {cause}");
    }

    /// Prints a table whose columns are as wide as their longest cell, or a JSON array of objects.
    fn print_rows(&self, names: &[&str], rows: Vec<Vec<Value>>) {
        if self.json {
            let object = |row: Vec<Value>| {
                let fields = names.iter().map(|name| (*name).to_owned()).zip(row);
                Value::Object(fields.collect())
            };
            let rows: Vec<Value> = rows.into_iter().map(object).collect();
            return println!("{}", Value::Array(rows));
        }
        let texts: Vec<Vec<String>> = rows
            .iter()
            .map(|row| row.iter().map(plain_text).collect())
            .collect();
        let width = |column: usize| {
            let cells = texts.iter().map(|row| row[column].len());
            cells.chain([names[column].len()]).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..names.len()).map(width).collect();
        let print_line = |cells: &mut dyn Iterator<Item = &str>| {
            let cells: Vec<String> = cells
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            println!("{}", cells.join("  ").trim_end());
        };
        print_line(&mut names.iter().copied());
        for row in &texts {
            print_line(&mut row.iter().map(String::as_str));
        }
    }
}

/// The text of a value, without the quotes of a JSON string.
fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
