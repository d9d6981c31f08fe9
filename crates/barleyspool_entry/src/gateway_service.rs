//! The RPC service for callers. `Ask` is answered from the plan; `Run` is handled by a lane.

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

/// The retry delay in the refusal of a call whose lane has a full inbox.
const LANE_FULL_RETRY_AFTER: Span = Span::from_millis(100);

/// The next caller id of this process.
static NEXT_CALLER_ID: AtomicU64 = AtomicU64::new(1);

/// The RPC service for callers of one entry node.
#[derive(Clone, Debug)]
pub struct GatewayService {
    shared: Arc<Shared>,
}

impl GatewayService {
    /// Creates the service.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// The refusal of a call whose lane has a full inbox. This node ran nothing of the call; `uncertain` says
    /// that an earlier send to another node may have run.
    fn lane_full_reply(&self, uncertain: bool) -> rpc::RunReply {
        let verdict = if uncertain {
            Verdict::Unknown
        } else {
            Verdict::NotRun
        };
        let origin = Some(RefusalOrigin::Node(self.shared.settings.node));
        let refusal = Refusal {
            reason: Reason::QueueFull,
            verdict,
            step: None,
            origin,
            retry_after: LANE_FULL_RETRY_AFTER,
        };
        let revision = self
            .shared
            .plan
            .load()
            .config
            .as_ref()
            .map_or(Revision(0), |config| config.revision);
        let outcome = rpc_convert::outcome_message(&Outcome::Refused(refusal), "", None, revision);
        rpc::RunReply {
            reply: Some(rpc::run_reply::Reply::Outcome(outcome)),
        }
    }
}

#[tonic::async_trait]
impl rpc::gateway_server::Gateway for GatewayService {
    async fn ask(&self, request: Request<rpc::AskRequest>) -> Result<Response<rpc::AskReply>, Status> {
        let request = request.into_inner();
        let plan = self.shared.plan.load();
        let key = (!request.key.is_empty()).then(|| RequestKey::new(&request.organisation, &request.key));
        // The random part spreads the callers of one organisation over the nodes; otherwise all callers of a
        // large organisation would use the same node.
        let spread = rendezvous::text_key(&request.organisation) ^ u128::from(rand::rng().random::<u64>());
        let addresses = plan.addresses(&request.zone, key, spread);
        let addresses = addresses
            .into_iter()
            .map(|peer| rpc::Address {
                address: peer.address.clone(),
                zone: peer.zone.clone(),
            })
            .collect();
        Ok(Response::new(rpc::AskReply {
            addresses,
            keep_ms: self.shared.settings.address_ttl.as_millis(),
            revision: plan.config.as_ref().map_or(0, |config| config.revision.0),
        }))
    }

    type RunStream = RunStream;

    async fn run(&self, request: Request<rpc::RunRequest>) -> Result<Response<RunStream>, Status> {
        let call = rpc_convert::call_from_request(request.into_inner());
        let key = RequestKey::new(&call.organisation, &call.key);
        let uncertain = call.earlier == barleyspool_core::Earlier::Uncertain;
        let caller = CallerId(NEXT_CALLER_ID.fetch_add(1, Ordering::Relaxed));
        let (sender, replies) = mpsc::unbounded_channel();
        let message = LaneMessage::Arrive {
            caller,
            call,
            replies: sender.clone(),
        };
        if self.shared.lane_for(key).try_send(message).is_err() {
            self.shared.lane_rejects.fetch_add(1, Ordering::Relaxed);
            let _ = sender.send(self.lane_full_reply(uncertain));
        }
        let stream = RunStream {
            shared: Arc::clone(&self.shared),
            key,
            caller,
            replies,
            finished: false,
        };
        self.shared.open_streams.fetch_add(1, Ordering::Relaxed);
        Ok(Response::new(stream))
    }
}

/// The response stream of one `Run`. If it is dropped before the outcome was sent, the lane is notified that
/// the caller disconnected.
#[derive(Debug)]
pub struct RunStream {
    shared: Arc<Shared>,
    key: RequestKey,
    caller: CallerId,
    replies: mpsc::UnboundedReceiver<rpc::RunReply>,
    finished: bool,
}

impl Stream for RunStream {
    type Item = Result<rpc::RunReply, Status>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.finished {
            return Poll::Ready(None);
        }
        let reply = std::task::ready!(self.replies.poll_recv(context));
        self.finished = reply
            .as_ref()
            .is_none_or(|reply| matches!(reply.reply, Some(rpc::run_reply::Reply::Outcome(_))));
        Poll::Ready(reply.map(Ok))
    }
}

impl Drop for RunStream {
    fn drop(&mut self) {
        self.shared.open_streams.fetch_sub(1, Ordering::Relaxed);
        if !self.finished {
            let (lane, caller) = (self.shared.lane_for(self.key).clone(), self.caller);
            tokio::spawn(async move {
                let _ = lane.send(LaneMessage::CallerLeft(caller)).await;
            });
        }
    }
}
