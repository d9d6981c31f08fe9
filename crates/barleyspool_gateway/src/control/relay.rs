//! Serves source data to other nodes, and metrics. The relay of streams to callers is another part, in the traffic
//! thread (`traffic/stream_relay.rs`).

use super::http_port::{self, PortResponse};
use super::state::ControlState;
use crate::metrics::Metrics;
use barleyspool_core::{
    CatalogChange, CatalogDocument, Evacuations, ExpiringEntries, HeldRevisions, PackedList, Revision,
    TargetChange, TransferKey,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Path on which other nodes request source data.
const RELAY_PATH: &str = "/known";

/// The answer for one kind of source data: the configuration or the target list.
#[derive(Debug, Serialize, Deserialize)]
pub enum FeedUpdate<Document, Change> {
    /// The requesting node already has this revision or a newer one.
    #[serde(rename = "Same")]
    Unchanged,
    /// The changes since the revision that the requesting node has.
    Changes(Vec<Change>),
    /// The full data.
    #[serde(rename = "Whole")]
    Full(Document),
    /// The changes are no longer kept, and the requesting node did not accept the full data.
    #[serde(rename = "Unknown")]
    HistoryGone,
    /// The changes are no longer kept, and this node already serves as many full transfers as its link
    /// carries.
    Busy,
}

/// The answer to a request of another node for newer source data.
#[derive(Debug, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// The configuration.
    pub configuration: FeedUpdate<CatalogDocument, CatalogChange>,
    /// The evacuated zones.
    pub evacuations: Evacuations,
    /// The revision of the target list.
    #[serde(rename = "at")]
    pub targets_revision: Revision,
    /// The target list; the full data is an encoded [`PackedList`].
    pub targets: FeedUpdate<ByteBuf, TargetChange>,
    /// Entries of the list that are missing at the source and may reappear.
    #[serde(rename = "lapsing")]
    pub expiring: ExpiringEntries,
}

/// Path and query of a request for data newer than `held`. `accepts_full` permits a full configuration in the
/// answer.
pub fn relay_path(held: HeldRevisions, accepts_full: bool) -> String {
    format!(
        "{RELAY_PATH}?{},{},{}",
        held.version,
        held.list,
        u8::from(accepts_full)
    )
}

/// Serves source data and metrics on one port until the process ends.
pub async fn serve(state: Rc<ControlState>, listener: TcpListener, metrics: Rc<Metrics>) {
    http_port::serve(listener, move |request| handle_request(&state, &metrics, request)).await;
}

fn handle_request(state: &Rc<ControlState>, metrics: &Metrics, request: &Request<Incoming>) -> PortResponse {
    let mut transfer = None;
    let body = match request.uri().path() {
        METRICS_PATH => metrics.text(),
        RELAY_PATH => encode_answer(state, request.uri().query().unwrap_or_default(), &mut transfer),
        _ => Vec::new(),
    };
    let found = !body.is_empty();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    if !found {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    let state = Rc::clone(state);
    let on_close = transfer
        .map(|key| Box::new(move || state.list_transfers.borrow_mut().finish(key)) as Box<dyn FnOnce()>);
    PortResponse { response, on_close }
}

/// Encodes the data that is newer than the revisions in the query; see [`relay_path`]. Sets `transfer` when
/// the answer contains a full target list.
fn encode_answer(state: &ControlState, query: &str, transfer: &mut Option<TransferKey>) -> Vec<u8> {
    // A revision that does not parse counts as zero, so the answer contains everything.
    let mut fields = query.split(',').map(|text| text.parse().unwrap_or(0));
    let held = HeldRevisions {
        version: Revision(fields.next().unwrap_or(0)),
        list: Revision(fields.next().unwrap_or(0)),
        // The evacuated zones are always part of the answer.
        evacuations: Revision(0),
    };
    let accepts_full = fields.next() == Some(1);
    let answer = RelayAnswer {
        configuration: configuration_update(state, held, accepts_full),
        evacuations: state.evacuations.borrow().clone(),
        targets_revision: state.targets.borrow().at,
        targets: targets_update(state, held, transfer),
        expiring: state.targets.borrow().expiring(state.now()),
    };
    rmp_serde::to_vec(&answer).unwrap_or_default()
}

fn configuration_update(
    state: &ControlState,
    held: HeldRevisions,
    accepts_full: bool,
) -> FeedUpdate<CatalogDocument, CatalogChange> {
    let catalogs = state.catalogs.borrow();
    let newer = catalogs
        .catalog
        .as_ref()
        .filter(|catalog| catalog.version() > held.version);
    let Some(catalog) = newer else {
        return FeedUpdate::Unchanged;
    };
    match catalogs.changes_since(held.version) {
        Some(changes) => FeedUpdate::Changes(changes),
        None if accepts_full => FeedUpdate::Full(catalog.document.clone()),
        None => FeedUpdate::HistoryGone,
    }
}

fn targets_update(
    state: &ControlState,
    held: HeldRevisions,
    transfer: &mut Option<TransferKey>,
) -> FeedUpdate<ByteBuf, TargetChange> {
    let targets = state.targets.borrow();
    if !state.has_target_list.get() || targets.at <= held.list {
        return FeedUpdate::Unchanged;
    }
    if let Some(changes) = targets.changes_since(held.list) {
        return FeedUpdate::Changes(changes);
    }
    *transfer = state.list_transfers.borrow_mut().admit(state.now());
    let list = transfer.and_then(|_| encode_packed_list(state));
    list.map_or(FeedUpdate::Busy, FeedUpdate::Full)
}

/// The full target list in packed form, encoded once per revision and change, and cached for all receivers;
/// `None` when it cannot be encoded.
fn encode_packed_list(state: &ControlState) -> Option<ByteBuf> {
    let targets = state.targets.borrow();
    let mut cached = state.packed_list.borrow_mut();
    let state_key = (targets.at, targets.generation);
    if let Some((key, bytes)) = &*cached
        && *key == state_key
    {
        return Some(bytes.clone());
    }
    let list = PackedList::pack(&targets.table);
    match rmp_serde::to_vec(&list) {
        Ok(bytes) => {
            let bytes = ByteBuf::from(bytes);
            *cached = Some((state_key, bytes.clone()));
            Some(bytes)
        }
        Err(cause) => {
            state.log_skipped_item("targets", &cause.to_string());
            None
        }
    }
}
