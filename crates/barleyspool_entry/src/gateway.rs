//! The callers' RPC: `Ask` from the plan, `Run` through a lane.

use crate::lane::LaneMessage;
use crate::shared::Shared;
use barleyspool_core::{
    CallerId, Outcome, Reason, Refusal, RefusalOrigin, RequestKey, Revision, Span, Verdict, rendezvous,
};
use barleyspool_wire::{rpc, rpc_convert};
use futures::Stream;
use rand::Rng;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use tonic::{Request, Response, Status};

/// When to come back to a node whose lane cannot take another call.
const LANE_FULL_WAIT: Span = Span::from_millis(100);

/// Numbers the callers of this process.
static NEXT_CALLER: AtomicU64 = AtomicU64::new(1);

/// The callers' service of one entry node.
#[derive(Clone, Debug)]
pub struct Gateway {
    shared: Arc<Shared>,
}

impl Gateway {
    /// The service over what the threads share.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Refuses a call that no lane can take. Nothing of it ran here.
    fn refuse(&self, uncertain: bool) -> rpc::RunReply {
        let verdict = if uncertain {
            Verdict::Unknown
        } else {
            Verdict::NotRun
        };
        let peer = Some(RefusalOrigin::Node(self.shared.settings.node));
        let refusal = Refusal {
            reason: Reason::QueueFull,
            verdict,
            step: None,
            origin: peer,
            retry_after: LANE_FULL_WAIT,
        };
        let revision = self
            .shared
            .plan
            .load()
            .config
            .as_ref()
            .map_or(Revision(0), |config| config.revision);
        let outcome = rpc_convert::outcome(&Outcome::Refused(refusal), "", None, revision);
        rpc::RunReply {
            reply: Some(rpc::run_reply::Reply::Outcome(outcome)),
        }
    }
}

#[tonic::async_trait]
impl rpc::gateway_server::Gateway for Gateway {
    async fn ask(&self, request: Request<rpc::AskRequest>) -> Result<Response<rpc::AskReply>, Status> {
        let ask = request.into_inner();
        let plan = self.shared.plan.load();
        let key = (!ask.key.is_empty()).then(|| RequestKey::new(&ask.organisation, &ask.key));
        // Callers of one organisation are spread too: a large one must not fall onto one node.
        let spread = rendezvous::text_key(&ask.organisation) ^ u128::from(rand::rng().random::<u64>());
        let addresses = plan.addresses(&ask.zone, key, spread);
        let addresses = addresses
            .into_iter()
            .map(|peer| rpc::Address {
                address: peer.address.clone(),
                zone: peer.zone.clone(),
            })
            .collect();
        Ok(Response::new(rpc::AskReply {
            addresses,
            keep_ms: self.shared.settings.keep.as_millis(),
            revision: plan.config.as_ref().map_or(0, |config| config.revision.0),
        }))
    }

    type RunStream = RunStream;

    async fn run(&self, request: Request<rpc::RunRequest>) -> Result<Response<RunStream>, Status> {
        let call = rpc_convert::call(request.into_inner());
        let key = RequestKey::new(&call.organisation, &call.key);
        let uncertain = call.earlier == barleyspool_core::Earlier::Uncertain;
        let caller = CallerId(NEXT_CALLER.fetch_add(1, Ordering::Relaxed));
        let (replies, received) = mpsc::unbounded_channel();
        let message = LaneMessage::Arrive {
            caller,
            call,
            replies: replies.clone(),
        };
        if self.shared.lane(key).try_send(message).is_err() {
            self.shared.lane_full.fetch_add(1, Ordering::Relaxed);
            let _ = replies.send(self.refuse(uncertain));
        }
        let stream = RunStream {
            shared: Arc::clone(&self.shared),
            key,
            caller,
            received,
            done: false,
        };
        self.shared.open_streams.fetch_add(1, Ordering::Relaxed);
        Ok(Response::new(stream))
    }
}

/// The stream of one `Run`. Dropping it before its outcome tells the lane that the caller has left.
#[derive(Debug)]
pub struct RunStream {
    shared: Arc<Shared>,
    key: RequestKey,
    caller: CallerId,
    received: mpsc::UnboundedReceiver<rpc::RunReply>,
    done: bool,
}

impl Stream for RunStream {
    type Item = Result<rpc::RunReply, Status>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.done {
            return Poll::Ready(None);
        }
        let reply = std::task::ready!(self.received.poll_recv(context));
        self.done = reply
            .as_ref()
            .is_none_or(|reply| matches!(reply.reply, Some(rpc::run_reply::Reply::Outcome(_))));
        Poll::Ready(reply.map(Ok))
    }
}

impl Drop for RunStream {
    fn drop(&mut self) {
        self.shared.open_streams.fetch_sub(1, Ordering::Relaxed);
        if !self.done {
            let (lane, caller) = (self.shared.lane(self.key).clone(), self.caller);
            tokio::spawn(async move {
                let _ = lane.send(LaneMessage::CallerLeft(caller)).await;
            });
        }
    }
}
