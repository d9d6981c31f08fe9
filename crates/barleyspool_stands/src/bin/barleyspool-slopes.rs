//! `barleyspool-slopes`: reruns the measurements of docs/CAPACITY.md and prints their table.

use barleyspool_stands::deployment::Deployment;
use barleyspool_stands::slopes::{core_slopes, node_slopes};
use std::error::Error;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures costs at several sizes and extrapolates them to the planned size. Takes under a minute.
        cmd barleyspool-slopes {
            /// Directory with the deployments (default: "settings").
            optional --settings dir: PathBuf
            /// Skip the measurements that start entry processes.
            optional --core-only
        }
    }
}

#[allow(clippy::print_stdout, reason = "the table is this program's output")]
#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let flags = flags::BarleyspoolSlopes::from_env_or_exit();
    let settings = flags.settings.unwrap_or_else(|| "settings".into());
    println!("| cost of | size in | measured | linear fit | extrapolated |");
    println!("|---|---|---|---|---|");
    for slope in core_slopes()? {
        println!("{}", slope.table_row());
    }
    if !flags.core_only {
        let deployment = Deployment::load(&settings.join("vigilanza/deployment.json"))?;
        let entry = std::env::current_exe()?.with_file_name("barleyspool-entry");
        for slope in node_slopes(&entry, &deployment).await? {
            println!("{}", slope.table_row());
        }
    }
    Ok(())
}
