//! A link between one node and one target, or another node, that a test can interrupt.
//!
//! Unlike a [`crate::fault_relay::FaultRelay`] it also refuses new connections, or leaves them without a reply.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// What a link does with connections.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Connections pass.
    Up,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections pass nothing, and new ones get no reply.
    Silent,
    /// Open connections pass, and new ones are refused.
    RefusesNew,
    /// Open connections pass nothing; new ones are accepted and pass nothing either, as at a proxy that has lost the other side.
    Mute,
    /// Open connections are reset; new ones are accepted and then reset.
    AcceptsAndResets,
}

impl LinkState {
    /// Whether new connections are accepted.
    fn accepts(self) -> bool {
        matches!(self, Self::Up | Self::Mute | Self::AcceptsAndResets)
    }

    /// Whether open connections pass data.
    fn passes(self) -> bool {
        matches!(self, Self::Up | Self::RefusesNew)
    }

    /// Whether open connections are reset.
    fn resets(self) -> bool {
        matches!(self, Self::Reset | Self::AcceptsAndResets)
    }
}

/// A link from one node to one target.
#[derive(Debug)]
pub struct TargetLink {
    /// Where the node reaches the target.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl TargetLink {
    /// Starts a link at `address` to `target` that passes connections.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let (state, changes) = watch::channel(LinkState::Up);
        let listener = listen(address, BACKLOG)?;
        tokio::spawn(run(address, target, changes, listener));
        Ok(Self { address, state })
    }

    /// Changes the state, also for open connections.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

async fn run(
    address: SocketAddr,
    target: SocketAddr,
    mut changes: watch::Receiver<LinkState>,
    listener: TcpListener,
) {
    let mut listener = Some(listener);
    loop {
        let state = *changes.borrow_and_update();
        let ended = match state {
            LinkState::Up | LinkState::Mute | LinkState::AcceptsAndResets => {
                let open = match listener.take() {
                    Some(open) => Ok(open),
                    None => listen(address, BACKLOG),
                };
                let Ok(open) = open else { return };
                let ended = accept(&open, target, &mut changes).await;
                listener = changes.borrow().accepts().then_some(open);
                ended
            }
            LinkState::Reset | LinkState::RefusesNew => changes.changed().await.is_err(),
            LinkState::Silent => {
                // The kernel drops the opening packets of further connections while this queue is full.
                let Ok(full) = listen(address, 0) else { return };
                let waiting = TcpStream::connect(address).await;
                let ended = changes.changed().await.is_err();
                drop((full, waiting));
                ended
            }
        };
        if ended {
            return;
        }
    }
}

/// Passes connections until the state changes. Returns whether the link was dropped.
async fn accept(
    listener: &TcpListener,
    target: SocketAddr,
    changes: &mut watch::Receiver<LinkState>,
) -> bool {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(pass(stream, target, changes.clone()));
                }
            }
            changed = changes.changed() => return changed.is_err(),
        }
    }
}

async fn pass(mut node: TcpStream, target: SocketAddr, mut changes: watch::Receiver<LinkState>) {
    if changes.borrow().resets() {
        let _ = node.set_zero_linger();
        return;
    }
    let Ok(mut target) = TcpStream::connect(target).await else {
        return;
    };
    let (up, down) = (changes.clone(), changes.clone());
    let is_reset = {
        let (node_read, node_write) = node.split();
        let (target_read, target_write) = target.split();
        tokio::select! {
            () = copy(node_read, target_write, up) => false,
            () = copy(target_read, node_write, down) => false,
            reset = changes.wait_for(|state| state.resets()) => reset.is_ok(),
        }
    };
    if is_reset {
        let _ = node.set_zero_linger();
        let _ = target.set_zero_linger();
    }
}

async fn copy(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, mut changes: watch::Receiver<LinkState>) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        if changes.wait_for(|state| state.passes()).await.is_err() {
            return;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
