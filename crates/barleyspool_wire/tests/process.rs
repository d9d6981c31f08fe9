//! A thread that panics ends the process with it, also while the others run.
//!
//! Threads were waited for one after the other, so a daemon whose second thread panicked went on without it.

#![allow(clippy::unwrap_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_wire::process::{EssentialTasks, ThreadError, Threads};
use std::sync::mpsc;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

#[test]
fn a_panic_is_told_while_other_threads_run() {
    let (running, until) = mpsc::channel::<()>();
    let mut threads = Threads::default();
    threads
        .spawn("first", move || assert!(until.recv().is_err()))
        .unwrap();
    threads.spawn("second", || panic!("on purpose")).unwrap();
    assert_eq!(threads.wait(), Err(ThreadError::Panicked("second".to_owned())));
    drop(running);
}

#[test]
fn threads_that_end_in_order_are_waited_for() {
    let mut threads = Threads::default();
    for name in ["first", "second"] {
        threads.spawn(name, || {}).unwrap();
    }
    assert_eq!(threads.wait(), Ok(()));
}

/// The runtime keeps a panic of a task to itself: the thread went on without it.
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
