//! Simulated platform: a configuration service and a fleet list with reads and watches, and injected failures.

use crate::deployment::{Deployment, PART_KEY};
use barleyspool_core::{ConfigHead, ConfigPart, Epoch, Era, Fleet, ListState, NodeId, Revision, TargetId};
use barleyspool_wire::http::{self, FullBody};
use barleyspool_wire::platform::{CONFIG_PATH, ConfigValue, FLEET_PATH, HEAD_KEY};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Path for [`PlatformCommand`]s.
pub const COMMAND_PATH: &str = "/stand/tell";
/// Longest time that a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Behaviour of the configuration service. The fleet list is not affected.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceMode {
    /// Answers normally.
    #[default]
    Up,
    /// Answers 503.
    Down,
    /// Answers with the configuration as it was when this mode was set.
    Stale,
    /// Answers after two seconds.
    Slow,
}

/// Command that changes the state or the behaviour of the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformCommand {
    /// Set the behaviour of the configuration service.
    #[serde(rename = "mode")]
    SetMode(ServiceMode),
    /// Publish a new head. The configuration part keeps its revision.
    #[serde(rename = "publish")]
    PublishHead(Box<ConfigHead>),
    /// Publish a new configuration part, and a head that refers to it.
    PublishPart(ConfigPart),
    /// Publish the current configuration again with a new revision.
    #[serde(rename = "touch")]
    Republish,
    /// Mark a target as leaving in the fleet list.
    #[serde(rename = "leave_target")]
    MarkTargetLeaving(TargetId),
    /// Remove an entry node from the fleet list, which starts a new era of its cell.
    RemoveEntry(NodeId),
    /// Add a removed entry node to the fleet list again, which also starts a new era.
    AddEntry(NodeId),
    /// Delay all following changes of the fleet list by this many milliseconds.
    #[serde(rename = "list_lag")]
    SetListDelay(u64),
}

#[derive(Clone, Debug)]
struct State {
    mode: ServiceMode,
    head: ConfigValue<ConfigHead>,
    part: ConfigValue<ConfigPart>,
    fleet: Fleet,
    initial_fleet: Fleet,
    list_delay: Duration,
    read_count: u64,
}

/// The simulated platform. Clones share their state.
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    stale_state: Arc<Mutex<Option<State>>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Platform {
    /// Creates the platform of a deployment at revision 1.
    pub fn new(deployment: &Deployment) -> Self {
        let revision = Revision(1);
        let fleet = deployment.fleet();
        let state = State {
            mode: ServiceMode::Up,
            head: ConfigValue {
                revision,
                value: deployment.config_head(revision),
            },
            part: ConfigValue {
                revision,
                value: deployment.config_part(),
            },
            initial_fleet: fleet.clone(),
            fleet,
            list_delay: Duration::ZERO,
            read_count: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            stale_state: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Serves requests until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, move |request| {
            let platform = self.clone();
            async move { platform.handle(request).await }
        })
        .await;
    }

    /// Replaces the address of each target in the fleet list, without a new revision. Called before the list is read for the
    /// first time.
    pub fn replace_addresses(&self, address: impl Fn(&str) -> String) {
        self.with_state(|state| {
            for fleet in [&mut state.fleet, &mut state.initial_fleet] {
                let targets = fleet.targets.iter_mut();
                targets.for_each(|target| target.address = address(&target.address));
            }
        });
    }

    /// Number of reads so far, including watches.
    pub fn read_count(&self) -> u64 {
        self.with_state(|state| state.read_count)
    }

    fn with_state<T>(&self, update: impl FnOnce(&mut State) -> T) -> T {
        // The lock is poisoned if another request panicked. The state is still consistent.
        let mut state = self
            .state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        update(&mut state)
    }

    /// State that readers of the configuration see.
    fn visible_state(&self) -> State {
        let current = self.with_state(|state| state.clone());
        let stale = self
            .stale_state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        match (&current.mode, &*stale) {
            (ServiceMode::Stale, Some(stale)) => stale.clone(),
            _ => current,
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<FullBody> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        if request.method() == Method::POST && path == COMMAND_PATH {
            return self.run_command(request).await;
        }
        self.with_state(|state| state.read_count += 1);
        let after = Revision(query_number(&query, "after"));
        let wait = Duration::from_millis(query_number(&query, "wait_ms")).min(MAX_WATCH_WAIT);
        if path == FLEET_PATH {
            return self.wait_for(wait, |platform| platform.fleet_after(after)).await;
        }
        match self.with_state(|state| state.mode) {
            ServiceMode::Down => return http::reply(StatusCode::SERVICE_UNAVAILABLE, "down\n"),
            ServiceMode::Slow => tokio::time::sleep(Duration::from_secs(2)).await,
            ServiceMode::Up | ServiceMode::Stale => {}
        }
        match path.strip_prefix(CONFIG_PATH) {
            Some(HEAD_KEY) => self.wait_for(wait, |platform| platform.head_after(after)).await,
            Some(PART_KEY) => json_response(&self.visible_state().part),
            _ => http::reply(StatusCode::NOT_FOUND, "no such value\n"),
        }
    }

    /// Answers as soon as `read` returns a response, or with 204 after `wait`.
    async fn wait_for(
        &self,
        wait: Duration,
        read: impl Fn(&Self) -> Option<Response<FullBody>>,
    ) -> Response<FullBody> {
        let mut changed = self.changed.subscribe();
        let answer = async {
            loop {
                if let Some(response) = read(self) {
                    return response;
                }
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        match read(self) {
            Some(response) => response,
            None if wait.is_zero() => http::reply(StatusCode::NO_CONTENT, ""),
            None => tokio::time::timeout(wait, answer)
                .await
                .unwrap_or_else(|_| http::reply(StatusCode::NO_CONTENT, "")),
        }
    }

    fn head_after(&self, after: Revision) -> Option<Response<FullBody>> {
        let state = self.visible_state();
        if self.with_state(|state| state.mode) == ServiceMode::Down {
            return Some(http::reply(StatusCode::SERVICE_UNAVAILABLE, "down\n"));
        }
        (state.head.revision > after).then(|| json_response(&state.head))
    }

    fn fleet_after(&self, after: Revision) -> Option<Response<FullBody>> {
        self.with_state(|state| (state.fleet.revision > after).then(|| json_response(&state.fleet)))
    }

    async fn run_command(&self, request: Request<Incoming>) -> Response<FullBody> {
        let Ok(body) = request.into_body().collect().await else {
            return http::reply(StatusCode::BAD_REQUEST, "the request body was interrupted\n");
        };
        match serde_json::from_slice::<PlatformCommand>(&body.to_bytes()) {
            Ok(command) => {
                self.execute(command);
                http::reply(StatusCode::OK, "done\n")
            }
            Err(error) => http::reply(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }

    /// Executes a command.
    pub fn execute(&self, command: PlatformCommand) {
        match command {
            PlatformCommand::SetMode(mode) => {
                let current = self.with_state(|state| state.clone());
                *self
                    .stale_state
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner) = Some(current);
                self.with_state(|state| state.mode = mode);
            }
            PlatformCommand::PublishHead(head) => self.with_state(|state| {
                state.head.value = *head;
                state
                    .head
                    .value
                    .parts
                    .clone_from(&vec![part_ref(state.part.revision)]);
                state.head.revision = Revision(state.head.revision.0 + 1);
            }),
            PlatformCommand::Republish => {
                self.with_state(|state| state.head.revision = Revision(state.head.revision.0 + 1));
            }
            PlatformCommand::PublishPart(part) => self.with_state(|state| {
                let revision = Revision(state.head.revision.0 + 1);
                state.part = ConfigValue {
                    revision,
                    value: part,
                };
                state.head.revision = revision;
                state.head.value.parts = vec![part_ref(revision)];
            }),
            PlatformCommand::SetListDelay(ms) => {
                self.with_state(|state| state.list_delay = Duration::from_millis(ms));
            }
            PlatformCommand::MarkTargetLeaving(id) => self.change_fleet(move |fleet, _| {
                let target = fleet.targets.iter_mut().find(|target| target.id == id);
                if let Some(target) = target {
                    target.state = ListState::Leaving;
                }
            }),
            PlatformCommand::RemoveEntry(id) => self.change_fleet(move |fleet, _| {
                fleet.entries.retain(|entry| entry.id != id);
                append_era(fleet);
            }),
            PlatformCommand::AddEntry(id) => self.change_fleet(move |fleet, initial| {
                fleet
                    .entries
                    .extend(initial.entries.iter().find(|entry| entry.id == id).cloned());
                append_era(fleet);
            }),
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// Changes the fleet list after the current list delay.
    fn change_fleet(&self, change: impl FnOnce(&mut Fleet, &Fleet) + Send + 'static) {
        let list_delay = self.with_state(|state| state.list_delay);
        let platform = self.clone();
        let apply = move || {
            platform.with_state(|state| {
                state.fleet.revision = Revision(state.fleet.revision.0 + 1);
                change(&mut state.fleet, &state.initial_fleet);
            });
            platform.changed.send_modify(|count| *count += 1);
        };
        if list_delay.is_zero() {
            return apply();
        }
        tokio::spawn(async move {
            tokio::time::sleep(list_delay).await;
            apply();
        });
    }
}

fn part_ref(revision: Revision) -> barleyspool_core::PartRef {
    barleyspool_core::PartRef {
        key: PART_KEY.to_owned(),
        revision,
    }
}

/// Appends an era with the current entry nodes to the cell. The revision of the list is the epoch of the era.
fn append_era(fleet: &mut Fleet) {
    let mut members: Vec<NodeId> = fleet.entries.iter().map(|entry| entry.id).collect();
    members.sort_unstable();
    let epoch = Epoch(fleet.revision.0);
    if let Some(cell) = fleet.cells.first_mut() {
        cell.eras.push(Era { epoch, members });
    }
}

fn json_response<T: Serialize>(value: &T) -> Response<FullBody> {
    match serde_json::to_vec(value) {
        Ok(body) => http::reply(StatusCode::OK, body),
        Err(error) => http::reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Unsigned integer parameter of a query string, or zero if it is missing or invalid.
fn query_number(query: &str, name: &str) -> u64 {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or_default()
}
