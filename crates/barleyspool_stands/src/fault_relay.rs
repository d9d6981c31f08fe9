//! A relay between two addresses that can be cut, in both directions or in one.

use barleyspool_wire::net;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// How late a relay passes bytes on that delays them.
const DELAY: Duration = Duration::from_millis(150);

/// What a relay does with bytes.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum RelayMode {
    /// Passes all on.
    #[default]
    PassThrough,
    /// Holds all back, and lets new connections hang: what a network that drops packets looks like.
    Blackhole,
    /// Holds back what the far side sends; what is sent to it still arrives.
    BlackholeReplies,
    /// Passes all on, late.
    Delayed,
    /// Closes every connection.
    Reset,
}

/// A relay to one address.
#[derive(Clone, Debug)]
pub struct FaultRelay {
    mode: Arc<watch::Sender<RelayMode>>,
}

impl Default for FaultRelay {
    fn default() -> Self {
        Self {
            mode: Arc::new(watch::Sender::new(RelayMode::PassThrough)),
        }
    }
}

impl FaultRelay {
    /// Changes what the relay does, for open connections too.
    pub fn set_mode(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }

    /// Relays connections to `destination` until the task is dropped.
    pub async fn serve(self, listener: TcpListener, destination: String) {
        loop {
            let Ok(client) = net::accept(&listener).await else {
                continue;
            };
            let (mode, destination) = (self.mode.subscribe(), destination.clone());
            tokio::spawn(async move {
                let Ok(server) = net::connect(&destination).await else {
                    return;
                };
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                let requests = forward(client_read, server_write, mode.clone(), false);
                let replies = forward(server_read, client_write, mode, true);
                // When one direction ends both connections are closed.
                tokio::select! { () = requests => {}, () = replies => {} }
            });
        }
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<RelayMode>,
    is_reply: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let blocked = match *mode.borrow_and_update() {
            RelayMode::PassThrough | RelayMode::Delayed => false,
            RelayMode::Blackhole => true,
            RelayMode::BlackholeReplies => is_reply,
            RelayMode::Reset => return,
        };
        tokio::select! {
            changed = mode.changed() => if changed.is_err() { return },
            read = from.read(&mut chunk), if !blocked => match read {
                Ok(0) | Err(_) => return,
                Ok(len) => {
                    if *mode.borrow() == RelayMode::Delayed {
                        tokio::time::sleep(DELAY).await;
                    }
                    if to.write_all(&chunk[..len]).await.is_err() {
                        return;
                    }
                }
            },
        }
    }
}
