//! What a daemon needs as a process: the operators' signals, and threads and tasks that end together.

use std::io;
use std::sync::mpsc;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinSet;

/// Handlers of the signals that operators send.
///
/// They are set before the process listens anywhere: what stands for them by default ends a process at once, with all that it
/// has accepted.
#[derive(Debug)]
pub struct Signals {
    /// SIGTERM: a planned stop.
    pub terminate: Signal,
    /// SIGINT: the same.
    pub interrupt: Signal,
    /// SIGHUP: the settings are read again.
    pub hangup: Signal,
}

impl Signals {
    /// Sets the handlers; `runtime` is the one that waits for them.
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

    /// Waits until a planned stop is asked for.
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
/// None of them can do without the others: a process without its traffic threads accepts connections that nobody serves, one
/// without its control thread acts for ever on what it knew. So the first that panics is the end of the process.
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

/// Tells that a thread ended, also when it panicked.
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
        // Nobody listens any more when the process is ending already.
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
    /// When the operating system refuses it.
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

    /// Waits until all threads have ended, or one has panicked.
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

/// Tasks without which their thread is of no use, such as one that accepts connections or reads the configuration.
///
/// The runtime keeps a panic of a task from the others. For a task that serves one caller that is right; one of these would be
/// missing for ever, and nobody would know.
#[derive(Debug, Default)]
pub struct EssentialTasks(JoinSet<()>);

impl EssentialTasks {
    /// Starts a task on this thread.
    pub fn spawn_local(&mut self, task: impl Future<Output = ()> + 'static) {
        self.0.spawn_local(task);
    }

    /// Waits for ever, or panics as the first of the tasks did.
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
