//! `barleyspool-stand-target`: one target of a deployment.
//!
//! On SIGTERM it says that it is leaving, finishes what runs, and ends.

use barleyspool_stands::deployment::Deployment;
use barleyspool_stands::run_log::RunLog;
use barleyspool_stands::target::{Target, TargetSettings};
use barleyspool_wire::net;
use std::error::Error;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// How long a leaving target stays, so that those who do not know yet can be told.
const LEAVING_DELAY: Duration = Duration::from_secs(3);

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// One target's stand-in.
        cmd barleyspool-stand-target {
            /// The deployment, a JSON file.
            required --deployment file: PathBuf
            /// The target's number.
            optional --id number: u32
            /// Print the numbers of the deployment's targets and exit.
            optional --list
            /// The folder of the run log; without it nothing is logged.
            optional --run-log dir: PathBuf
            /// Work this many times slower than the deployment says.
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
    let id = flags.id.ok_or("--id: is needed")?;
    let (spec, node) = deployment
        .target(id)
        .ok_or("--id: no such target in the deployment")?;
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

#[allow(clippy::print_stdout, reason = "the list is this call's output")]
fn print_target_ids(deployment: &Deployment) {
    for target in deployment
        .targets
        .iter()
        .flat_map(|spec| deployment.targets_of(spec))
    {
        println!("{}", target.id);
    }
}
