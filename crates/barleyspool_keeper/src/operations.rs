//! The `Operations` RPC service of a keeper: `Status` and `Orders`. Only entry nodes serve the other calls.

use crate::keeper::Keeper;
use barleyspool_wire::rpc;
use std::sync::Arc;
use tokio::sync::Mutex;
use tonic::{Request, Response, Status};

/// The `Operations` RPC service of a keeper.
#[derive(Clone, Debug)]
pub struct KeeperOperations {
    keeper: Arc<Mutex<Keeper>>,
}

impl KeeperOperations {
    /// Creates the service for a keeper.
    pub fn new(keeper: Arc<Mutex<Keeper>>) -> Self {
        Self { keeper }
    }
}

/// The error for the calls that only entry nodes serve.
fn served_by_entry_nodes_only<T>() -> Result<Response<T>, Status> {
    Err(Status::unimplemented(
        "not served by a keeper; call the operator address of an entry node",
    ))
}

#[tonic::async_trait]
impl rpc::operations_server::Operations for KeeperOperations {
    async fn status(&self, _: Request<rpc::StatusRequest>) -> Result<Response<rpc::StatusReply>, Status> {
        Ok(Response::new(self.keeper.lock().await.status()))
    }

    async fn orders(&self, _: Request<rpc::OrdersRequest>) -> Result<Response<rpc::OrdersReply>, Status> {
        Ok(Response::new(self.keeper.lock().await.order_states()))
    }

    async fn counters(
        &self,
        _: Request<rpc::CountersRequest>,
    ) -> Result<Response<rpc::CountersReply>, Status> {
        served_by_entry_nodes_only()
    }

    async fn targets(&self, _: Request<rpc::TargetsRequest>) -> Result<Response<rpc::TargetsReply>, Status> {
        served_by_entry_nodes_only()
    }

    async fn peers(&self, _: Request<rpc::PeersRequest>) -> Result<Response<rpc::PeersReply>, Status> {
        served_by_entry_nodes_only()
    }

    async fn explain(&self, _: Request<rpc::ExplainRequest>) -> Result<Response<rpc::ExplainReply>, Status> {
        served_by_entry_nodes_only()
    }

    async fn stop(&self, _: Request<rpc::StopRequest>) -> Result<Response<rpc::StopReply>, Status> {
        served_by_entry_nodes_only()
    }
}
