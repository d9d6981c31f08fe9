//! Telling other nodes what the source told this one; and metrics.

use super::http_port::{self, PortAnswer};
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

/// Where metrics are read.
const METRICS_PATH: &str = "/metrics";
/// Where other nodes read what this one knows.
const KNOWN_PATH: &str = "/known";

/// What one node tells another of a configuration or of a list of targets.
#[derive(Debug, Serialize, Deserialize)]
pub enum Part<W, C> {
    /// The asking node has the same, or something newer.
    Same,
    /// What has changed since.
    Changes(Vec<C>),
    /// The whole.
    Whole(W),
    /// What has changed since is not known any more, and the whole was not asked for.
    Unknown,
    /// What has changed since is not known any more, and as many others as this node's link bears are taking the whole.
    Busy,
}

/// What one node knows, for another.
#[derive(Debug, Serialize, Deserialize)]
pub struct Known {
    /// The configuration.
    pub configuration: Part<CatalogDocument, CatalogChange>,
    /// The zones that are evacuated.
    pub evacuations: Evacuations,
    /// The revision of the list of targets.
    pub at: Revision,
    /// The list; as a whole it is a [`PackedList`].
    pub targets: Part<ByteBuf, TargetChange>,
    /// Entries of the list that are missing at the source and may come back.
    #[serde(rename = "lapsing")]
    pub expiring: ExpiringEntries,
}

/// The question for what is newer than `held`; `whole` when the configuration may come as a whole.
pub fn known_query(held: HeldRevisions, whole: bool) -> String {
    format!("{KNOWN_PATH}?{},{},{}", held.version, held.list, u8::from(whole))
}

/// Serves other nodes and readers of metrics until the process ends.
pub async fn serve(state: Rc<ControlState>, listener: TcpListener, metrics: Rc<Metrics>) {
    http_port::serve(listener, move |request| answer(&state, &metrics, request)).await;
}

fn answer(state: &Rc<ControlState>, metrics: &Metrics, request: &Request<Incoming>) -> PortAnswer {
    let mut transfer = None;
    let body = match request.uri().path() {
        METRICS_PATH => metrics.text(),
        KNOWN_PATH => known(state, request.uri().query().unwrap_or_default(), &mut transfer),
        _ => Vec::new(),
    };
    let found = !body.is_empty();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    if !found {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    let state = Rc::clone(state);
    let closed = transfer
        .map(|key| Box::new(move || state.list_transfers.borrow_mut().finish(key)) as Box<dyn FnOnce()>);
    PortAnswer { response, closed }
}

/// What this node knows beyond what the query names; see [`known_query`]. `transfer` is set when that is a whole list.
fn known(state: &ControlState, query: &str, transfer: &mut Option<TransferKey>) -> Vec<u8> {
    // What cannot be read counts as nothing known, and is answered with everything.
    let mut have = query.split(',').map(|text| text.parse().unwrap_or(0));
    let held = HeldRevisions {
        version: Revision(have.next().unwrap_or(0)),
        list: Revision(have.next().unwrap_or(0)),
        // They are told in any case.
        evacuations: Revision(0),
    };
    let whole = have.next() == Some(1);
    let known = Known {
        configuration: configuration(state, held, whole),
        evacuations: state.evacuations.borrow().clone(),
        at: state.targets.borrow().at,
        targets: targets(state, held, transfer),
        expiring: state.targets.borrow().expiring(state.now()),
    };
    rmp_serde::to_vec(&known).unwrap_or_default()
}

fn configuration(
    state: &ControlState,
    held: HeldRevisions,
    whole: bool,
) -> Part<CatalogDocument, CatalogChange> {
    let catalogs = state.catalogs.borrow();
    let newer = catalogs
        .catalog
        .as_ref()
        .filter(|catalog| catalog.version() > held.version);
    let Some(catalog) = newer else { return Part::Same };
    match catalogs.changes_since(held.version) {
        Some(changes) => Part::Changes(changes),
        None if whole => Part::Whole(catalog.document.clone()),
        None => Part::Unknown,
    }
}

fn targets(
    state: &ControlState,
    held: HeldRevisions,
    transfer: &mut Option<TransferKey>,
) -> Part<ByteBuf, TargetChange> {
    let targets = state.targets.borrow();
    if !state.targets_known.get() || targets.at <= held.list {
        return Part::Same;
    }
    if let Some(changes) = targets.changes_since(held.list) {
        return Part::Changes(changes);
    }
    *transfer = state.list_transfers.borrow_mut().admit(state.now());
    let list = transfer.and_then(|_| packed(state));
    list.map_or(Part::Busy, Part::Whole)
}

/// The whole list, packed once for all who take it at one revision; `None` when it cannot be.
fn packed(state: &ControlState) -> Option<ByteBuf> {
    let targets = state.targets.borrow();
    let mut packed = state.packed.borrow_mut();
    if let Some((at, bytes)) = &*packed
        && *at == targets.at
    {
        return Some(bytes.clone());
    }
    let list = PackedList::pack(&targets.table);
    match rmp_serde::to_vec(&list) {
        Ok(bytes) => {
            let bytes = ByteBuf::from(bytes);
            *packed = Some((targets.at, bytes.clone()));
            Some(bytes)
        }
        Err(cause) => {
            state.skipped("targets", &cause.to_string());
            None
        }
    }
}
