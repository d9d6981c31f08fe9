//! `barleyspool-stand-platform`: serves the simulated platform of a deployment, or sends a command to a running one.

use barleyspool_stands::deployment::Deployment;
use barleyspool_stands::platform::{COMMAND_PATH, Platform};
use barleyspool_wire::{http, net};
use std::error::Error;
use std::time::Duration;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// The simulated platform.
        cmd barleyspool-stand-platform {
            /// Serve the platform of a deployment.
            cmd serve {
                /// The deployment file, in JSON.
                required --deployment file: PathBuf
            }
            /// Send a command to a running platform, such as '{"mode":"down"}' or '{"remove_entry":3}'.
            cmd tell {
                /// Address of the platform.
                required address: String
                /// The command, in JSON.
                required what: String
            }
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    match flags::BarleyspoolStandPlatform::from_env_or_exit().subcommand {
        flags::BarleyspoolStandPlatformCmd::Serve(flags) => {
            let deployment = Deployment::load(&flags.deployment)?;
            let listener = net::listen(deployment.platform_address.parse()?)?;
            Platform::new(&deployment).serve(listener).await;
        }
        flags::BarleyspoolStandPlatformCmd::Tell(flags) => {
            let body = flags.what.into_bytes();
            let timeout = Duration::from_secs(2);
            let (status, answer) = http::send_request(
                &flags.address,
                hyper::Method::POST,
                COMMAND_PATH,
                body,
                4096,
                timeout,
            )
            .await?;
            if !status.is_success() {
                return Err(format!("{status}: {}", String::from_utf8_lossy(&answer)).into());
            }
        }
    }
    Ok(())
}
