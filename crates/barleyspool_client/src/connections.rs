//! Open connections to entry nodes.

use barleyspool_wire::net;
use barleyspool_wire::rpc::gateway_client::GatewayClient;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint, Uri};

/// How often a connection with a request on it is asked whether its node is still there, and how long the
/// node may take to say so. Deadlines are about a second, and a job whose node hangs has to be sent elsewhere
/// well before that.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// The largest message of an entry node, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// One connection per entry node, made when it is first needed.
#[derive(Debug, Default)]
pub struct Connections {
    clients: Mutex<HashMap<String, GatewayClient<Channel>>>,
}

impl Connections {
    /// The connection to `address`; made now if there is none.
    ///
    /// # Errors
    /// When it cannot be made. Nothing has been sent then.
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

    /// Forgets a connection that failed.
    pub fn remove(&self, address: &str) {
        if let Ok(mut clients) = self.clients.lock() {
            clients.remove(address);
        }
    }
}
