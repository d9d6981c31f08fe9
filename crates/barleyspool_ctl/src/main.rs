//! `barleyspool`: the command line for operators.

mod explain_log;
mod flags;
mod output;

use barleyspool_entry::EntrySettings;
use barleyspool_wire::rpc::operations_client::OperationsClient;
use barleyspool_wire::{net, rpc};
use flags::{Barleyspool, BarleyspoolCmd, ExplainLog, SettingsCmd};
use hyper_util::rt::TokioIo;
use output::Output;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tonic::transport::{Channel, Endpoint, Uri};

/// Exit code: the request of `explain` would be refused, or `explain-log` found no line of the request.
const EXIT_NEGATIVE_RESULT: u8 = 1;
/// Exit code: the command line is invalid, or a file is invalid or cannot be read.
const EXIT_USAGE: u8 = 2;
/// Exit code: the node cannot be reached.
const EXIT_UNREACHABLE: u8 = 3;
/// Exit code: the call to the node failed.
const EXIT_CALL_FAILED: u8 = 4;
/// The timeout of a call to the node.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a command failed.
#[derive(Debug, displaydoc::Display)]
enum CommandError {
    /// {node}: cannot be reached: {cause}
    Unreachable {
        /// The node's operator address.
        node: String,
        /// The connection error.
        cause: String,
    },
    /// {node}: {cause}
    CallFailed {
        /// The node's operator address.
        node: String,
        /// The error message of the call.
        cause: String,
    },
}

impl std::error::Error for CommandError {}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let flags = Barleyspool::from_env_or_exit();
    let output = Output { json: flags.json };
    if let BarleyspoolCmd::Settings(settings) = &flags.subcommand {
        return check_settings(settings);
    }
    if let BarleyspoolCmd::ExplainLog(arguments) = &flags.subcommand {
        return explain_log(arguments, &output);
    }
    let Some(node) = flags.node.clone() else {
        eprintln!("barleyspool: --node IP:PORT is needed: the operator address of a node");
        return ExitCode::from(EXIT_USAGE);
    };
    match run_command(&node, flags.subcommand, &output).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("barleyspool: {error}");
            ExitCode::from(match error {
                CommandError::Unreachable { .. } => EXIT_UNREACHABLE,
                CommandError::CallFailed { .. } => EXIT_CALL_FAILED,
            })
        }
    }
}

fn check_settings(settings: &flags::Settings) -> ExitCode {
    let SettingsCmd::Check(check) = &settings.subcommand;
    match EntrySettings::load(&check.file) {
        Ok(_) => {
            eprintln!("{}: good", check.file.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

async fn connect(node: &str) -> Result<OperationsClient<Channel>, CommandError> {
    let unreachable = |cause: String| CommandError::Unreachable {
        node: node.to_owned(),
        cause,
    };
    let endpoint =
        Endpoint::from_shared(format!("http://{node}")).map_err(|error| unreachable(error.to_string()))?;
    let connector = tower::service_fn(|uri: Uri| async move {
        let address = uri.authority().map(ToString::to_string).unwrap_or_default();
        net::connect(&address).await.map(TokioIo::new)
    });
    let channel = endpoint
        .timeout(CALL_TIMEOUT)
        .connect_with_connector(connector)
        .await;
    channel.map(OperationsClient::new).map_err(|error| {
        let cause = std::error::Error::source(&error).map_or(error.to_string(), ToString::to_string);
        unreachable(cause)
    })
}

async fn run_command(node: &str, command: BarleyspoolCmd, output: &Output) -> Result<ExitCode, CommandError> {
    let mut client = connect(node).await?;
    let call_failed = |status: tonic::Status| CommandError::CallFailed {
        node: node.to_owned(),
        cause: status.message().to_owned(),
    };
    match command {
        BarleyspoolCmd::Status(_) => {
            let reply = client.status(rpc::StatusRequest {}).await.map_err(call_failed)?;
            output.status(&reply.into_inner());
        }
        BarleyspoolCmd::Counters(counters) => {
            let prefix = counters.prefix.unwrap_or_default();
            let reply = client
                .counters(rpc::CountersRequest { prefix })
                .await
                .map_err(call_failed)?;
            output.counters(&reply.into_inner());
        }
        BarleyspoolCmd::Targets(_) => {
            let reply = client
                .targets(rpc::TargetsRequest {})
                .await
                .map_err(call_failed)?;
            output.targets(&reply.into_inner());
        }
        BarleyspoolCmd::Peers(_) => {
            let reply = client.peers(rpc::PeersRequest {}).await.map_err(call_failed)?;
            output.peers(&reply.into_inner());
        }
        BarleyspoolCmd::Orders(_) => {
            let reply = client.orders(rpc::OrdersRequest {}).await.map_err(call_failed)?;
            output.orders(&reply.into_inner());
        }
        BarleyspoolCmd::Stop(_) => {
            let reply = client.stop(rpc::StopRequest {}).await.map_err(call_failed)?;
            output.stop(&reply.into_inner());
        }
        BarleyspoolCmd::Explain(explain) => {
            let request = rpc::ExplainRequest {
                request: Some(explained_request(explain)),
            };
            let reply = client.explain(request).await.map_err(call_failed)?.into_inner();
            output.explain(&reply);
            if !reply.admitted {
                return Ok(ExitCode::from(EXIT_NEGATIVE_RESULT));
            }
        }
        // These commands contact no node; `main` has handled them.
        BarleyspoolCmd::Settings(_) | BarleyspoolCmd::ExplainLog(_) => {}
    }
    Ok(ExitCode::SUCCESS)
}

/// The hypothetical request that `explain` asks the node about.
fn explained_request(explain: flags::Explain) -> rpc::RunRequest {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    rpc::RunRequest {
        key: explain.key.unwrap_or_else(|| "explain".to_owned()),
        organisation: explain.organisation,
        pipeline: explain.pipeline,
        deadline_ms: now + explain.deadline.unwrap_or(1000),
        unrepeatable: explain.unrepeatable,
        ..rpc::RunRequest::default()
    }
}

/// Prints the log lines of a request by time, and its outcome.
fn explain_log(arguments: &ExplainLog, output: &Output) -> ExitCode {
    let lines = match explain_log::request_lines(&arguments.id, &arguments.file) {
        Ok(lines) => lines,
        Err(error) => {
            eprintln!("barleyspool: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if lines.is_empty() {
        eprintln!("barleyspool: no log line of request {}", arguments.id);
        return ExitCode::from(EXIT_NEGATIVE_RESULT);
    }
    output.request_log(&lines, &explain_log::describe_outcome(&lines));
    ExitCode::SUCCESS
}
