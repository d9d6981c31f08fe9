//! The RPC service for operators.

use crate::control_thread::{ControlMessage, ControlSender};
use crate::lane::LaneMessage;
use crate::metrics::Metrics;
use crate::shared::Shared;
use barleyspool_core::{ControlEvent, Forecast, RequestKey};
use barleyspool_wire::{rpc, rpc_convert};
use std::sync::Arc;
use tokio::sync::oneshot;
use tonic::{Request, Response, Status};

/// The RPC service for operators of one entry node.
#[derive(Clone, Debug)]
pub struct OperationsService {
    shared: Arc<Shared>,
    control: ControlSender,
    metrics: Arc<Metrics>,
}

impl OperationsService {
    /// Creates the service.
    pub fn new(shared: Arc<Shared>, control: ControlSender, metrics: Arc<Metrics>) -> Self {
        Self {
            shared,
            control,
            metrics,
        }
    }

    /// Sends a request to the control thread and waits for its reply.
    async fn query_control<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> ControlMessage,
    ) -> Result<T, Status> {
        let (reply, receiver) = oneshot::channel();
        let stopping = |_| Status::unavailable("the node is shutting down");
        self.control
            .send(message(reply))
            .map_err(|_| Status::unavailable("the node is shutting down"))?;
        receiver.await.map_err(stopping)
    }

    /// Converts a forecast to the reply. The field `stage` of an `ExplainStage` is the name of a service, not a number.
    fn explain_reply(&self, forecast: &Forecast) -> rpc::ExplainReply {
        let stage_reply =
            |stage: &(_, Option<barleyspool_core::TargetId>, barleyspool_core::Span)| rpc::ExplainStage {
                stage: self.shared.service_name(stage.0),
                target: stage.1.map(|target| target.to_string()).unwrap_or_default(),
                expected_ms: stage.2.ceil_millis(),
            };
        let (reason, retry_after) = match forecast.refusal {
            Some((reason, retry_after)) => (reason.name().to_owned(), retry_after.ceil_millis()),
            None => (String::new(), 0),
        };
        rpc::ExplainReply {
            admitted: forecast.refusal.is_none(),
            reason,
            come_back_ms: retry_after,
            stages: forecast.stages.iter().map(stage_reply).collect(),
        }
    }
}

#[tonic::async_trait]
impl rpc::operations_server::Operations for OperationsService {
    async fn status(&self, _: Request<rpc::StatusRequest>) -> Result<Response<rpc::StatusReply>, Status> {
        self.query_control(ControlMessage::StatusRequest)
            .await
            .map(Response::new)
    }

    async fn counters(
        &self,
        request: Request<rpc::CountersRequest>,
    ) -> Result<Response<rpc::CountersReply>, Status> {
        let counters = self.metrics.counters(&request.into_inner().prefix);
        Ok(Response::new(rpc::CountersReply { counters }))
    }

    async fn targets(&self, _: Request<rpc::TargetsRequest>) -> Result<Response<rpc::TargetsReply>, Status> {
        let mut targets: Vec<rpc::TargetState> = Vec::new();
        for stats in &self.shared.lane_stats {
            for view in &stats.load().targets {
                let id = view.id.to_string();
                if let Some(entry) = targets.iter_mut().find(|target| target.target == id) {
                    entry.in_flight += u64::from(view.in_flight);
                    entry.limit += u64::from(view.limit);
                    continue;
                }
                targets.push(rpc::TargetState {
                    target: id,
                    address: view.address.clone(),
                    zone: view.zone.clone(),
                    service: view.service.clone(),
                    state: view.phase.to_owned(),
                    in_flight: view.in_flight.into(),
                    limit: view.limit.into(),
                    latency_ms: view.latency_ms,
                    report_age_ms: view.report_age_ms.unwrap_or_default(),
                });
            }
        }
        Ok(Response::new(rpc::TargetsReply { targets }))
    }

    async fn peers(&self, _: Request<rpc::PeersRequest>) -> Result<Response<rpc::PeersReply>, Status> {
        self.query_control(ControlMessage::PeersRequest)
            .await
            .map(Response::new)
    }

    async fn explain(
        &self,
        request: Request<rpc::ExplainRequest>,
    ) -> Result<Response<rpc::ExplainReply>, Status> {
        let request = request.into_inner().request;
        let request = request.ok_or_else(|| Status::invalid_argument("request is missing"))?;
        let call = rpc_convert::call_from_request(request);
        let lane = self
            .shared
            .lane_for(RequestKey::new(&call.organisation, &call.key));
        let (reply, receiver) = oneshot::channel();
        let is_full = lane.try_send(LaneMessage::Explain { call, reply }).is_err();
        if is_full {
            return Err(Status::unavailable("the inbox of the traffic thread is full"));
        }
        let forecast = receiver
            .await
            .map_err(|_| Status::unavailable("the node is shutting down"))?;
        Ok(Response::new(self.explain_reply(&forecast)))
    }

    async fn stop(&self, _: Request<rpc::StopRequest>) -> Result<Response<rpc::StopReply>, Status> {
        // Only unfinished requests count; `running` in the reply to a status request includes open streams to callers.
        let running: usize = self
            .shared
            .lane_stats
            .iter()
            .map(|stats| stats.load().live_requests)
            .sum();
        let stop = ControlMessage::Event(ControlEvent::Stop);
        self.control
            .send(stop)
            .map_err(|_| Status::unavailable("the node is shutting down"))?;
        Ok(Response::new(rpc::StopReply {
            running: running as u64,
        }))
    }

    async fn orders(&self, _: Request<rpc::OrdersRequest>) -> Result<Response<rpc::OrdersReply>, Status> {
        Err(Status::unimplemented(
            "entry nodes have no orders; use the operator address of a keeper",
        ))
    }
}
