//! `barleyspool-slopes`: reruns the measurements of docs/CAPACITY.md and prints their table.

use barleyspool_stands::deployment::Deployment;
use barleyspool_stands::slopes::{core_slopes, node_slopes};
use std::error::Error;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures what things cost at several sizes and draws them out to the size to come. Takes under a minute.
        cmd barleyspool-slopes {
            /// Where the deployments are; "settings" if not given.
            optional --settings dir: PathBuf
            /// Leave out what needs entry processes.
            optional --core-only
        }
    }
}

#[allow(clippy::print_stdout, reason = "the table is this program's output")]
#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let flags = flags::BarleyspoolSlopes::from_env_or_exit();
    let settings = flags.settings.unwrap_or_else(|| "settings".into());
    println!("| what | size counts | measured | line | drawn out |");
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
