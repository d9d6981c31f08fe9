//! The platform: a configuration service and a fleet list that can be read and watched, and told to fail.

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

/// Where the stand-in is told what to do.
pub const TELL_PATH: &str = "/stand/tell";
/// The longest wait of a watch.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// How the configuration service behaves.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It works.
    #[default]
    Up,
    /// It answers 503.
    Down,
    /// It answers as it was when it was told so.
    Stale,
    /// It answers after two seconds.
    Slow,
}

/// What the stand-in can be told.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tell {
    /// Behave so.
    Mode(Mode),
    /// Publish this head; its part keeps its revision.
    Publish(Box<ConfigHead>),
    /// Publish this part, and a head that asks for it.
    PublishPart(ConfigPart),
    /// Publish the present configuration once more, under a new revision.
    Touch,
    /// List a target as leaving.
    LeaveTarget(TargetId),
    /// Take an entry node off the list; its cell enters a new era.
    RemoveEntry(NodeId),
    /// Put an entry node that was taken off back onto the list.
    AddEntry(NodeId),
    /// Show changes of the list this many milliseconds late.
    ListLag(u64),
}

#[derive(Clone, Debug)]
struct State {
    mode: Mode,
    head: ConfigValue<ConfigHead>,
    part: ConfigValue<ConfigPart>,
    fleet: Fleet,
    all_entries: Fleet,
    lag: Duration,
    reads: u64,
}

/// The platform.
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    stale: Arc<Mutex<Option<State>>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Platform {
    /// The platform of a deployment, at revision 1.
    pub fn new(deployment: &Deployment) -> Self {
        let revision = Revision(1);
        let fleet = deployment.fleet();
        let state = State {
            mode: Mode::Up,
            head: ConfigValue {
                revision,
                value: deployment.head(revision),
            },
            part: ConfigValue {
                revision,
                value: deployment.part(),
            },
            all_entries: fleet.clone(),
            fleet,
            lag: Duration::ZERO,
            reads: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            stale: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Serves until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, move |request| {
            let platform = self.clone();
            async move { platform.answer(request).await }
        })
        .await;
    }

    /// How often it was read, watches included.
    pub fn reads(&self) -> u64 {
        self.with(|state| state.reads)
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        // A poisoned lock means that another request panicked; the state itself is whole.
        let mut state = self
            .state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        act(&mut state)
    }

    /// The state as readers of the configuration see it.
    fn seen(&self) -> State {
        let now = self.with(|state| state.clone());
        let stale = self
            .stale
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        match (&now.mode, &*stale) {
            (Mode::Stale, Some(old)) => old.clone(),
            _ => now,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<FullBody> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        if request.method() == Method::POST && path == TELL_PATH {
            return self.told(request).await;
        }
        self.with(|state| state.reads += 1);
        let after = Revision(number(&query, "after"));
        let wait = Duration::from_millis(number(&query, "wait_ms")).min(LONGEST_WAIT);
        if path == FLEET_PATH {
            return self.wait_for(wait, |platform| platform.fleet_after(after)).await;
        }
        match self.with(|state| state.mode) {
            Mode::Down => return http::reply(StatusCode::SERVICE_UNAVAILABLE, "down\n"),
            Mode::Slow => tokio::time::sleep(Duration::from_secs(2)).await,
            Mode::Up | Mode::Stale => {}
        }
        match path.strip_prefix(CONFIG_PATH) {
            Some(HEAD_KEY) => self.wait_for(wait, |platform| platform.head_after(after)).await,
            Some(PART_KEY) => json(&self.seen().part),
            _ => http::reply(StatusCode::NOT_FOUND, "no such value\n"),
        }
    }

    /// Answers as soon as `read` gives something, or 204 after `wait`.
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
        let state = self.seen();
        if self.with(|state| state.mode) == Mode::Down {
            return Some(http::reply(StatusCode::SERVICE_UNAVAILABLE, "down\n"));
        }
        (state.head.revision > after).then(|| json(&state.head))
    }

    fn fleet_after(&self, after: Revision) -> Option<Response<FullBody>> {
        self.with(|state| (state.fleet.revision > after).then(|| json(&state.fleet)))
    }

    async fn told(&self, request: Request<Incoming>) -> Response<FullBody> {
        let Ok(body) = request.into_body().collect().await else {
            return http::reply(StatusCode::BAD_REQUEST, "broken off\n");
        };
        match serde_json::from_slice::<Tell>(&body.to_bytes()) {
            Ok(tell) => {
                self.tell(tell);
                http::reply(StatusCode::OK, "done\n")
            }
            Err(error) => http::reply(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }

    /// Does what it is told.
    pub fn tell(&self, tell: Tell) {
        match tell {
            Tell::Mode(mode) => {
                let before = self.with(|state| state.clone());
                *self
                    .stale
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner) = Some(before);
                self.with(|state| state.mode = mode);
            }
            Tell::Publish(head) => self.with(|state| {
                state.head.value = *head;
                state
                    .head
                    .value
                    .parts
                    .clone_from(&vec![part_ref(state.part.revision)]);
                state.head.revision = Revision(state.head.revision.0 + 1);
            }),
            Tell::Touch => self.with(|state| state.head.revision = Revision(state.head.revision.0 + 1)),
            Tell::PublishPart(part) => self.with(|state| {
                let revision = Revision(state.head.revision.0 + 1);
                state.part = ConfigValue {
                    revision,
                    value: part,
                };
                state.head.revision = revision;
                state.head.value.parts = vec![part_ref(revision)];
            }),
            Tell::ListLag(ms) => self.with(|state| state.lag = Duration::from_millis(ms)),
            Tell::LeaveTarget(id) => self.change_list(move |fleet, _| {
                let target = fleet.targets.iter_mut().find(|target| target.id == id);
                if let Some(target) = target {
                    target.state = ListState::Leaving;
                }
            }),
            Tell::RemoveEntry(id) => self.change_list(move |fleet, _| {
                fleet.entries.retain(|entry| entry.id != id);
                new_era(fleet);
            }),
            Tell::AddEntry(id) => self.change_list(move |fleet, all| {
                fleet
                    .entries
                    .extend(all.entries.iter().find(|entry| entry.id == id).cloned());
                new_era(fleet);
            }),
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// Changes the list, as late as it lags.
    fn change_list(&self, change: impl FnOnce(&mut Fleet, &Fleet) + Send + 'static) {
        let lag = self.with(|state| state.lag);
        let platform = self.clone();
        let apply = move || {
            platform.with(|state| {
                state.fleet.revision = Revision(state.fleet.revision.0 + 1);
                change(&mut state.fleet, &state.all_entries);
            });
            platform.changed.send_modify(|count| *count += 1);
        };
        if lag.is_zero() {
            return apply();
        }
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
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

/// The set of entry nodes changed: the cell enters a new era at the list's revision.
fn new_era(fleet: &mut Fleet) {
    let mut members: Vec<NodeId> = fleet.entries.iter().map(|entry| entry.id).collect();
    members.sort_unstable();
    let epoch = Epoch(fleet.revision.0);
    if let Some(cell) = fleet.cells.first_mut() {
        cell.eras.push(Era { epoch, members });
    }
}

fn json<T: Serialize>(value: &T) -> Response<FullBody> {
    match serde_json::to_vec(value) {
        Ok(body) => http::reply(StatusCode::OK, body),
        Err(error) => http::reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// A whole number out of a query; zero when it is not there.
fn number(query: &str, name: &str) -> u64 {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or_default()
}
