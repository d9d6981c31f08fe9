//! Asking other nodes for what the source told them.

use super::relay::{Known, Part, known_query};
use super::state::{ControlState, Origin};
use crate::adapters::Feed;
use crate::event_log::Line;
use barleyspool_core::{
    ListHolder, ListRequester, Member, MemberHealth, PackedList, Revision, Span, Time, choose_list_holder,
};
use barleyspool_wire::net;
use barleyspool_wire::timer;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// How often it is looked whether another node is to be asked, or notified, besides when one reports something newer.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// How long a question may take.
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a node that did not answer is not asked again while another one can be.
const DOWN_FOR: Span = Span::from_secs(2);
/// The least time between two questions: configurations can come ten a second, and each question is a connection and a
/// request to a node that many others ask too.
const GATHER: Duration = Duration::from_millis(100);
/// The largest answer, in bytes.
const MOST_BYTES: usize = 16 << 20;
/// How long a node that was busy handing out lists is not asked again while another one can be: a list takes some 0.1 s on a weak link.
const BUSY_FOR: Span = Span::from_millis(100);
/// The least time between two questions while those that have the list are busy.
const GATHER_BUSY: Duration = Duration::from_millis(20);

/// Nodes that did not answer or were busy, and until when others are asked before them.
type Avoided = HashMap<SocketAddr, Time>;

/// Asks another node whenever one has something newer, and notifies others now and then of how far this one is.
pub async fn run(state: Rc<ControlState>) {
    let mut avoided = Avoided::new();
    let mut look = LOOK_EVERY;
    loop {
        state.reading.until_reported(look).await;
        look = LOOK_EVERY;
        state.expire_targets();
        state.set_role();
        state.announce_now_and_then();
        if !state.asks() {
            continue;
        }
        let Some(peer) = peer_to_ask(&state, &avoided) else {
            continue;
        };
        if ask_and_take(&state, &peer, &mut avoided).await {
            tokio::time::sleep(GATHER).await;
        } else {
            tokio::time::sleep(GATHER_BUSY).await;
            look = Duration::ZERO;
        }
    }
}

/// Asks a node and takes what it answers. Returns false when it was too busy to hand out its list.
async fn ask_and_take(state: &ControlState, peer: &SocketAddr, avoided: &mut Avoided) -> bool {
    avoided.retain(|_, until| state.now() < *until);
    let asked = ask(state, peer).await;
    state.shared.count_asked(asked.is_ok());
    match asked {
        Ok(known) => {
            let busy = matches!(known.targets, Part::Busy);
            if busy {
                avoided.insert(*peer, state.now() + BUSY_FOR);
            }
            take(state, known, peer);
            !busy
        }
        Err(failure) => {
            let line = Line::AskFailed {
                peer: &peer.to_string(),
                cause: &failure.to_string(),
            };
            state.log.write(state.now(), &line);
            avoided.insert(*peer, state.now() + DOWN_FOR);
            true
        }
    }
}

/// The relay address of the node to ask now, if any has something newer.
fn peer_to_ask(state: &ControlState, avoided: &Avoided) -> Option<SocketAddr> {
    let held = state.held();
    let settings = &state.shared.settings;
    let taker = ListRequester {
        link_mbps: settings.link(),
        waited: state.reading.behind_for(state.now()),
    };
    // Differences are small, so they come from anywhere.
    let may_ask_other_zones = state.targets_known.get() || taker.may_ask_other_zones();
    let membership = state.membership.borrow();
    let answers = |member: &&Member| {
        let up = matches!(member.health, MemberHealth::Alive | MemberHealth::Leaving);
        up && held.is_behind(member.source)
    };
    let holder = |member: &Member| {
        let address: SocketAddr = member.facts.address.parse().ok()?;
        // All nodes use the same ports.
        let relay = SocketAddr::new(address.ip(), settings.relay.port());
        Some(ListHolder {
            address: relay,
            avoided: avoided.get(&relay).is_some_and(|until| state.now() < *until),
            other_zone: member.facts.zone != settings.zone,
            link_mbps: member.facts.link_mbps,
        })
    };
    let holders = membership.members().filter(answers).filter_map(holder);
    let holders = holders.filter(|holder| may_ask_other_zones || !holder.other_zone);
    choose_list_holder(holders, &mut rand::rng())
}

/// Whether a whole configuration is to come from another node. Differences do; the whole is one call and some ten KB at the source, which
/// is better fit for it while it answers.
fn wants_whole(state: &ControlState) -> bool {
    [Feed::Configuration, Feed::Targets]
        .iter()
        .any(|feed| state.reading.is_failing(*feed))
}

/// Why another node did not tell what it knows.
#[derive(Debug, displaydoc::Display)]
enum AskFailure {
    /// no answer in time
    Silent,
    /// it cannot be reached: {0}
    Unreachable(std::io::Error),
    /// the connection failed: {0}
    Broken(hyper::Error),
    /// the question cannot be written: {0}
    Question(hyper::http::Error),
    /// the answer cannot be read: {0}
    Unreadable(String),
}

async fn ask(state: &ControlState, peer: &SocketAddr) -> Result<Known, AskFailure> {
    let query = known_query(state.held(), wants_whole(state));
    let answer = timer::timeout(ASK_TIMEOUT, fetch(peer, &query)).await;
    answer.unwrap_or(Err(AskFailure::Silent))
}

fn take(state: &ControlState, known: Known, peer: &SocketAddr) {
    let from = peer.to_string();
    let from = Origin::Node(&from);
    // Before what may open a first way to targets of these zones.
    state.take_evacuations(known.evacuations, from);
    let accepted = match known.configuration {
        Part::Same => false,
        Part::Changes(changes) => state.offer_changes(changes, from),
        Part::Whole(document) => state.offer(document, from),
        Part::Unknown | Part::Busy => {
            state.reading.read_again(Feed::Configuration);
            false
        }
    };
    if accepted {
        state.reading.has_read(Feed::Configuration);
        state.overtaken(Feed::Configuration);
    }
    let at = known.at;
    state.note_expiring(at, known.expiring);
    let changed = match known.targets {
        Part::Same => false,
        Part::Changes(changes) => state.apply_targets(at, changes, from),
        Part::Whole(list) => take_list(state, at, &list, from),
        // Asked again, or another node.
        Part::Unknown | Part::Busy => false,
    };
    if changed {
        state.overtaken(Feed::Targets);
    }
}

/// Takes a whole list. Returns whether it is another one than before.
fn take_list(state: &ControlState, at: Revision, bytes: &[u8], from: Origin) -> bool {
    let unreadable = |error: &dyn ToString| AskFailure::Unreadable(error.to_string());
    let list = rmp_serde::from_slice::<PackedList>(bytes).map_err(|error| unreadable(&error));
    match list.and_then(|list| list.unpack().map_err(|error| unreadable(&error))) {
        Ok(table) => {
            state.reading.has_read(Feed::Targets);
            state.replace_targets(at, table, from)
        }
        Err(cause) => {
            let line = Line::AskFailed {
                peer: from.name(),
                cause: &cause.to_string(),
            };
            state.log.write(state.now(), &line);
            false
        }
    }
}

async fn fetch(peer: &SocketAddr, path: &str) -> Result<Known, AskFailure> {
    let stream = net::connect(&peer.to_string())
        .await
        .map_err(AskFailure::Unreachable)?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io)
        .await
        .map_err(AskFailure::Broken)?;
    spawn_local(connection);
    let request = Request::get(path)
        .header("host", peer.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(AskFailure::Question)?;
    let response = sender.send_request(request).await.map_err(AskFailure::Broken)?;
    let body = Limited::new(response.into_body(), MOST_BYTES).collect().await;
    let body = body.map_err(|error| AskFailure::Unreadable(error.to_string()))?;
    rmp_serde::from_slice(&body.to_bytes()).map_err(|error| AskFailure::Unreadable(error.to_string()))
}
