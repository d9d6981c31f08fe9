//! `barleyspool-stand-target`: one simulated target of a deployment.
//!
//! On SIGTERM the target reports that it is leaving, finishes its running calls and exits.

use barleyspool_stands::deployment::Deployment;
use barleyspool_stands::run_log::RunLog;
use barleyspool_stands::target::{Target, TargetSettings};
use barleyspool_wire::net;
use std::error::Error;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Minimum time that a leaving target keeps answering, so that nodes without this information can receive it.
const LEAVING_DELAY: Duration = Duration::from_secs(3);

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// A simulated target.
        cmd barleyspool-stand-target {
            /// The deployment file, in JSON.
            required --deployment file: PathBuf
            /// Id of the target.
            optional --id number: u32
            /// Print the ids of the deployment's targets and exit.
            optional --list
            /// The folder for the run log. Without it, nothing is logged.
            optional --run-log dir: PathBuf
            /// Multiply the call duration of the deployment by this factor.
            optional --slower factor: u32
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let flags = flags::BarleyspoolStandTarget::from_env_or_exit();
    let deployment = Deployment::load(&flags.deployment)?;
    if flags.list {
        print_target_ids(&deployment);
        return Ok(());
    }
    let id = flags.id.ok_or("--id is required")?;
    let (spec, node) = deployment
        .target(id)
        .ok_or("--id: the deployment has no such target")?;
    let settings = TargetSettings {
        id,
        service: spec.service.clone(),
        slots: spec.slots,
        service_time: Duration::from_millis(spec.service_time_ms) * flags.slower.unwrap_or(1),
        reports_load: spec.reports_load,
        engine: spec.engine,
        checks_fences: spec.checks_fences,
        model_load_time: Duration::from_millis(500),
    };
    let log = RunLog::open(flags.run_log.as_deref(), id)?;
    let target = Target::new(settings, log, spec.models.iter().cloned());
    let listener = net::listen(node.address.parse()?)?;
    let server_task = tokio::spawn(target.clone().serve(listener));
    signal(SignalKind::terminate())?.recv().await;
    target.start_leaving();
    tokio::time::sleep(LEAVING_DELAY).await;
    while !target.is_idle() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    server_task.abort();
    Ok(())
}

#[allow(clippy::print_stdout, reason = "the list is the output of this program")]
fn print_target_ids(deployment: &Deployment) {
    for target in deployment
        .targets
        .iter()
        .flat_map(|spec| deployment.targets_of(spec))
    {
        println!("{}", target.id);
    }
}
