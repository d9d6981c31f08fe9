//! A TCP relay that injects network faults: dropped, delayed and reset connections, in one direction or both.

use barleyspool_wire::net;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// Most bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Delay of each chunk in [`RelayMode::Delayed`].
const FORWARDING_DELAY: Duration = Duration::from_millis(150);

/// How a relay handles traffic.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards all bytes.
    #[default]
    PassThrough,
    /// Forwards nothing and lets new connections hang, like a network that drops all packets.
    Blackhole,
    /// Forwards bytes to the destination, but nothing that the destination sends.
    BlackholeReplies,
    /// Forwards all bytes after a delay.
    Delayed,
    /// Closes all connections.
    Reset,
}

/// A relay to one destination.
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
    /// Changes the mode, also for open connections.
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
                // When one direction ends, both connections are closed.
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
                        tokio::time::sleep(FORWARDING_DELAY).await;
                    }
                    if to.write_all(&chunk[..len]).await.is_err() {
                        return;
                    }
                }
            },
        }
    }
}
