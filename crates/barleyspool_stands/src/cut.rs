//! A relay between two addresses that can be cut, in both directions or in one.

use barleyspool_wire::net;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// Bytes passed on at once.
const CHUNK: usize = 16 * 1024;
/// How late a relay passes bytes on that delays them.
const DELAY: Duration = Duration::from_millis(150);

/// What a relay does with bytes.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum CutMode {
    /// Passes all on.
    #[default]
    Open,
    /// Holds all back, and lets new connections hang: what a network that drops packets looks like.
    Silent,
    /// Holds back what the far side sends; what is sent to it still arrives.
    OneWay,
    /// Passes all on, late.
    Delayed,
    /// Closes every connection.
    Reset,
}

/// A relay to one address.
#[derive(Clone, Debug)]
pub struct Cut {
    mode: Arc<watch::Sender<CutMode>>,
}

impl Default for Cut {
    fn default() -> Self {
        Self {
            mode: Arc::new(watch::Sender::new(CutMode::Open)),
        }
    }
}

impl Cut {
    /// Changes what the relay does, for open connections too.
    pub fn set(&self, mode: CutMode) {
        self.mode.send_replace(mode);
    }

    /// Relays connections to `to` until the task is dropped.
    pub async fn serve(self, listener: TcpListener, to: String) {
        loop {
            let Ok(near) = net::accept(&listener).await else {
                continue;
            };
            let (mode, to) = (self.mode.subscribe(), to.clone());
            tokio::spawn(async move {
                let Ok(far) = net::connect(&to).await else { return };
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                let out = pass(near_read, far_write, mode.clone(), false);
                let back = pass(far_read, near_write, mode, true);
                // When one direction ends both connections are closed.
                tokio::select! { () = out => {}, () = back => {} }
            });
        }
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<CutMode>,
    back: bool,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let blocked = match *mode.borrow_and_update() {
            CutMode::Open | CutMode::Delayed => false,
            CutMode::Silent => true,
            CutMode::OneWay => back,
            CutMode::Reset => return,
        };
        tokio::select! {
            changed = mode.changed() => if changed.is_err() { return },
            read = from.read(&mut chunk), if !blocked => match read {
                Ok(0) | Err(_) => return,
                Ok(len) => {
                    if *mode.borrow() == CutMode::Delayed {
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
