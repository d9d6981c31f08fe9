//! Process helpers of the daemons: signal handlers, and threads and tasks that stop together.

use std::io;
use std::sync::mpsc;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinSet;

/// Handlers of the signals that operators send.
///
/// They are installed before the process listens on any address: the default action of these signals terminates the
/// process at once and drops all accepted connections.
#[derive(Debug)]
pub struct Signals {
    /// SIGTERM: starts a planned stop.
    pub terminate: Signal,
    /// SIGINT: starts a planned stop.
    pub interrupt: Signal,
    /// SIGHUP: the control thread of the HTTP gateway reloads its settings. Entry nodes and keepers do not read this
    /// signal, so it has no effect on them.
    pub hangup: Signal,
}

impl Signals {
    /// Installs the handlers; `runtime` is the runtime that waits for the signals.
    ///
    /// # Errors
    /// When the operating system refuses a handler.
    pub fn new(runtime: &Runtime) -> io::Result<Self> {
        let _inside = runtime.enter();
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal that starts a planned stop.
    pub async fn wait_for_stop(terminate: &mut Signal, interrupt: &mut Signal) {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}

/// A thread panicked.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum ThreadError {
    /// the {0} thread panicked
    Panicked(String),
}

impl std::error::Error for ThreadError {}

/// The threads of a daemon.
///
/// Each thread depends on the others: without its traffic threads a process accepts connections that no thread
/// serves, and without its control thread it works on outdated state for ever. So the first panic of a thread ends the
/// process.
#[derive(Debug)]
pub struct Threads {
    exit_sender: mpsc::Sender<ThreadExit>,
    exits: mpsc::Receiver<ThreadExit>,
    running: usize,
}

#[derive(Debug)]
struct ThreadExit {
    name: String,
    panicked: bool,
}

/// Reports the exit of a thread when dropped, also when the thread panicked.
struct ExitNotifier {
    name: String,
    exit_sender: mpsc::Sender<ThreadExit>,
}

impl Drop for ExitNotifier {
    fn drop(&mut self) {
        let exit = ThreadExit {
            name: std::mem::take(&mut self.name),
            panicked: std::thread::panicking(),
        };
        // The receiver is gone when the process is already exiting.
        let _ = self.exit_sender.send(exit);
    }
}

impl Default for Threads {
    fn default() -> Self {
        let (exit_sender, exits) = mpsc::channel();
        Self {
            exit_sender,
            exits,
            running: 0,
        }
    }
}

impl Threads {
    /// Starts a thread.
    ///
    /// # Errors
    /// When the operating system refuses the thread.
    pub fn spawn(&mut self, name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let notifier = ExitNotifier {
            name: name.to_owned(),
            exit_sender: self.exit_sender.clone(),
        };
        let thread = std::thread::Builder::new().name(name.to_owned());
        thread.spawn(move || {
            let _notifier = notifier;
            body();
        })?;
        self.running += 1;
        Ok(())
    }

    /// Waits until all threads have exited or one has panicked.
    ///
    /// # Errors
    /// The first thread that panicked.
    pub fn wait(self) -> Result<(), ThreadError> {
        for exit in self.exits.iter().take(self.running) {
            if exit.panicked {
                return Err(ThreadError::Panicked(exit.name));
            }
        }
        Ok(())
    }
}

/// Tasks that their thread cannot work without, such as those that accept connections or read the configuration.
///
/// The runtime isolates a panic of a task from the other tasks. That is right for a task that serves one caller, but
/// an essential task would be missing for ever without any sign.
#[derive(Debug, Default)]
pub struct EssentialTasks(JoinSet<()>);

impl EssentialTasks {
    /// Starts a task on this thread.
    pub fn spawn_local(&mut self, task: impl Future<Output = ()> + 'static) {
        self.0.spawn_local(task);
    }

    /// Runs for ever; resumes the panic of the first task that panics.
    pub async fn watch(&mut self) {
        while let Some(result) = self.0.join_next().await {
            if let Err(error) = result
                && error.is_panic()
            {
                std::panic::resume_unwind(error.into_panic());
            }
        }
        std::future::pending::<()>().await;
    }
}
