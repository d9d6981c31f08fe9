//! The cost of a real entry process without requests, which is the cost of its control thread.

use super::Slope;
use crate::deployment::{Deployment, EntrySpec};
use crate::platform::Platform;
use crate::process::{cpu_time, resident_bytes};
use barleyspool_wire::net;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// How long the nodes may take to start and join.
const STARTUP_TIME: Duration = Duration::from_secs(4);
/// How long the idle nodes are measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(6);

/// Entry processes that are killed, and their directory of settings that is removed, on drop.
struct NodeProcesses {
    children: Vec<Child>,
    dir: PathBuf,
}

impl Drop for NodeProcesses {
    fn drop(&mut self) {
        for child in &mut self.children {
            // Killing fails if the process has already exited, which is harmless.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Runs cells of several sizes as real processes and measures the CPU time, memory and network traffic of a
/// node.
///
/// # Errors
/// When the settings cannot be written or the processes cannot be started.
pub async fn node_slopes(entry: &Path, deployment: &Deployment) -> Result<Vec<Slope>, Box<dyn Error>> {
    let (mut cpu, mut memory, mut traffic) = (Vec::new(), Vec::new(), Vec::new());
    for (index, node_count) in [3_u32, 9, 18, 26].into_iter().enumerate() {
        let node = measure_cell(entry, deployment, node_count, 14_000 + index as u16 * 300).await?;
        cpu.push((f64::from(node_count), node.cpu_percent));
        memory.push((f64::from(node_count), node.memory_mb));
        traffic.push((f64::from(node_count), node.traffic_kb_per_s));
    }
    let slope = |name: &str, cost_unit, points| Slope {
        name: name.to_owned(),
        size_unit: "entries in the cell",
        cost_unit,
        points,
        projected_size: 13.0,
    };
    Ok(vec![
        slope("process: control, share of a core, idle", "% of a core", cpu),
        slope("process: resident memory, idle", "MB", memory),
        slope(
            "process: bytes sent and received, headers included, heartbeat 500 ms",
            "KB/s",
            traffic,
        ),
    ])
}

/// The average resource use of an idle node of a cell.
struct NodeUsage {
    /// CPU use, in percent of a core.
    cpu_percent: f64,
    /// Resident memory, in megabytes.
    memory_mb: f64,
    /// Bytes sent and received, in kilobytes per second.
    traffic_kb_per_s: f64,
}

/// Runs an idle cell of `node_count` nodes and returns the average use of a node. The ports of the cell start
/// at `base`.
async fn measure_cell(
    entry: &Path,
    deployment: &Deployment,
    node_count: u32,
    base: u16,
) -> Result<NodeUsage, Box<dyn Error>> {
    let mut deployment = deployment.clone();
    deployment.platform_address = format!("127.0.0.1:{base}");
    let address = |id: u32, port_offset: u32| format!("127.0.0.1:{}", u32::from(base) + id * 8 + port_offset);
    let spec = |id: u32| EntrySpec {
        id,
        zone: deployment.zones[id as usize % deployment.zones.len()].clone(),
        caller_address: address(id, 0),
        control_address: address(id, 1),
        bulk_address: address(id, 2),
    };
    deployment.entries = (1..=node_count).map(spec).collect();
    let platform = Platform::new(&deployment);
    let platform_task = tokio::spawn(platform.serve(net::listen(deployment.platform_address.parse()?)?));
    let dir = std::env::temp_dir().join(format!("barleyspool-slopes-{}-{base}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let mut nodes = NodeProcesses {
        children: Vec::new(),
        dir,
    };
    for spec in &deployment.entries {
        let settings = serde_json::json!({
            "node": spec.id, "zone": spec.zone, "region": deployment.region,
            "callers": spec.caller_address, "control": spec.control_address, "bulk": spec.bulk_address, "operators": address(spec.id, 3),
            "seeds": [address(1, 1), address(2, 1)],
            "configuration": deployment.platform_address, "fleet": deployment.platform_address, "log_level": "error",
        });
        let file = nodes.dir.join(format!("{}.json", spec.id));
        std::fs::write(&file, settings.to_string())?;
        nodes.children.push(
            Command::new(entry)
                .arg("--settings")
                .arg(file)
                .stdin(Stdio::null())
                .spawn()?,
        );
    }
    tokio::time::sleep(STARTUP_TIME).await;
    let loopback = loopback_bytes();
    let before: Duration = nodes.children.iter().map(|child| cpu_time(child.id())).sum();
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let loopback = loopback_bytes() - loopback;
    let after: Duration = nodes.children.iter().map(|child| cpu_time(child.id())).sum();
    let percent_of_core =
        (after - before).as_secs_f64() / MEASUREMENT_TIME.as_secs_f64() * 100.0 / f64::from(node_count);
    let resident: u64 = nodes
        .children
        .iter()
        .map(|child| resident_bytes(child.id()))
        .sum();
    platform_task.abort();
    Ok(NodeUsage {
        cpu_percent: percent_of_core,
        memory_mb: resident as f64 / 1e6 / f64::from(node_count),
        // Each byte on the loopback interface is sent by one node and received by another.
        traffic_kb_per_s: 2.0 * loopback / 1000.0 / MEASUREMENT_TIME.as_secs_f64() / f64::from(node_count),
    })
}

/// Returns how many bytes were sent over the loopback interface since boot.
fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or_default()
}
