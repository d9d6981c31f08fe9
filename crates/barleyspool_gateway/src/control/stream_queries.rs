//! Finds the software versions that began streams, for the traffic thread.

use super::state::ControlState;
use crate::shared::StreamQuery;
use barleyspool_core::{MemberEvent, StreamId, VersionId};
use barleyspool_wire::timer;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// How long the other nodes may take to answer before they are asked again: datagrams may be lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);
/// How often they are asked.
const ATTEMPTS: u32 = 3;
/// How often a node asks that has just started and may not know all others.
const STARTING_ATTEMPTS: u32 = 8;

/// Requests that wait for an answer, by stream.
#[derive(Debug, Default)]
pub struct StreamWaiters(RefCell<HashMap<StreamId, Vec<oneshot::Sender<Option<VersionId>>>>>);

impl StreamWaiters {
    /// Answers all requests for a stream.
    pub fn answer(&self, stream: StreamId, version: Option<VersionId>) {
        for waiter in self.0.borrow_mut().remove(&stream).into_iter().flatten() {
            // A request that has timed out does not wait any more.
            let _ = waiter.send(version);
        }
    }

    fn add(&self, stream: StreamId) -> oneshot::Receiver<Option<VersionId>> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.0.borrow_mut();
        waiters.retain(|_, waiting| waiting.iter().any(|waiter| !waiter.is_closed()));
        waiters.entry(stream).or_default().push(sender);
        receiver
    }
}

/// Answers the requests of the traffic thread until the process ends.
pub async fn serve(state: Rc<ControlState>, mut queries: mpsc::UnboundedReceiver<StreamQuery>) {
    while let Some(query) = queries.recv().await {
        let state = Rc::clone(&state);
        spawn_local(async move {
            // The call may have ended meanwhile.
            match query {
                StreamQuery::Version { stream, reply } => {
                    let _ = reply.send(find(&state, stream).await);
                }
                StreamQuery::ListCheck { call, reply } => {
                    let _ = reply.send(is_list_current(&state, call).await);
                }
            }
        });
    }
}

async fn find(state: &ControlState, stream: StreamId) -> Option<VersionId> {
    for attempt in 1..=STARTING_ATTEMPTS {
        let found = state.stream_waiters.add(stream);
        state.step_members(MemberEvent::FindStream(stream));
        let answer = timer::timeout(ANSWER_TIMEOUT, found).await;
        let converged = state.converged.get();
        match answer {
            Ok(Ok(Some(version))) => return Some(version),
            Ok(_) if converged => return None,
            // The nodes that know the stream may not be known yet.
            Ok(_) => tokio::time::sleep(ANSWER_TIMEOUT).await,
            Err(_) if converged && attempt >= ATTEMPTS => return None,
            Err(_) => {}
        }
    }
    None
}

/// Whether more than half of the nodes asked answer, and none of them has a newer list of targets than this node.
async fn is_list_current(state: &ControlState, call: StreamId) -> bool {
    for _ in 0..ATTEMPTS {
        let compared = state.stream_waiters.add(call);
        state.step_members(MemberEvent::CompareLists(call));
        if timer::timeout(ANSWER_TIMEOUT, compared).await.is_ok() {
            break;
        }
    }
    let newest = state.membership.borrow_mut().take_list_check(state.now(), call);
    newest.is_some_and(|newest| newest <= state.held_revisions().list)
}
