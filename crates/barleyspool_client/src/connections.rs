//! A pool of open connections to entry nodes.

use barleyspool_wire::net;
use barleyspool_wire::rpc::gateway_client::GatewayClient;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint, Uri};

/// The interval of the HTTP/2 keep-alive pings on a connection with a running request, and the timeout of each
/// ping. Deadlines are about a second, and a job whose node hangs has to be retried at another node well before
/// that.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// The largest message accepted from an entry node.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// One connection per entry node, opened on first use.
#[derive(Debug, Default)]
pub struct Connections {
    clients: Mutex<HashMap<String, GatewayClient<Channel>>>,
}

impl Connections {
    /// Returns the connection to `address`; opens it if there is none.
    ///
    /// # Errors
    /// When the connection cannot be opened. No request has been sent in that case.
    pub async fn get(&self, address: &str) -> Result<GatewayClient<Channel>, tonic::transport::Error> {
        if let Some(client) = self
            .clients
            .lock()
            .ok()
            .and_then(|clients| clients.get(address).cloned())
        {
            return Ok(client);
        }
        let channel = Endpoint::from_shared(format!("http://{address}"))?
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_INTERVAL)
            .connect_with_connector(tower::service_fn(|uri: Uri| async move {
                let address = uri.authority().map(ToString::to_string).unwrap_or_default();
                net::connect(&address).await.map(TokioIo::new)
            }))
            .await?;
        let client = GatewayClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        if let Ok(mut clients) = self.clients.lock() {
            clients.insert(address.to_owned(), client.clone());
        }
        Ok(client)
    }

    /// Removes a connection that failed.
    pub fn remove(&self, address: &str) {
        if let Ok(mut clients) = self.clients.lock() {
            clients.remove(address);
        }
    }
}
