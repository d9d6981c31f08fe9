//! A panic of a thread is reported while the other threads are still running.
//!
//! Joining the threads one after the other let a daemon continue without its second thread after that one panicked.

#![allow(clippy::unwrap_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_wire::process::{EssentialTasks, ThreadError, Threads};
use std::sync::mpsc;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

#[test]
fn a_panic_is_reported_while_other_threads_run() {
    let (keep_running, stopped) = mpsc::channel::<()>();
    let mut threads = Threads::default();
    threads
        .spawn("first", move || assert!(stopped.recv().is_err()))
        .unwrap();
    threads.spawn("second", || panic!("on purpose")).unwrap();
    assert_eq!(threads.wait(), Err(ThreadError::Panicked("second".to_owned())));
    drop(keep_running);
}

#[test]
fn wait_returns_after_all_threads_have_exited() {
    let mut threads = Threads::default();
    for name in ["first", "second"] {
        threads.spawn(name, || {}).unwrap();
    }
    assert_eq!(threads.wait(), Ok(()));
}

/// The runtime isolates a panic of a task, so the thread continued without that task.
#[test]
fn a_panic_of_an_essential_task_ends_its_thread() {
    let mut threads = Threads::default();
    let thread = || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let mut tasks = EssentialTasks::default();
            tasks.spawn_local(std::future::pending());
            tasks.spawn_local(async {});
            tasks.spawn_local(async { panic!("on purpose") });
            tasks.watch().await;
        });
    };
    threads.spawn("control", thread).unwrap();
    assert_eq!(threads.wait(), Err(ThreadError::Panicked("control".to_owned())));
}
