//! The planned stop, and reading the settings again.

use super::state::ControlState;
use crate::event_log::Line;
use crate::settings::GatewaySettings;
use barleyspool_core::MemberEvent;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};

/// How often the settings file is looked at; one call to the operating system each time.
const SETTINGS_LOOK: Duration = Duration::from_secs(3);
/// How often a stopping node looks whether its calls are done.
const LOOK: Duration = Duration::from_millis(50);

/// When a file was written; `None` while it is not there, as when it is being replaced.
fn written_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|file| file.modified()).ok()
}

/// Waits for SIGTERM or SIGINT, then stops in order: not ready and out of the others' answers at once; calls
/// are taken a while longer from callers that still have the address; then what is in flight is finished.
pub async fn stop_on_signal(state: Rc<ControlState>) {
    let (Ok(mut term), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    let shared = &state.shared;
    let in_flight = || shared.in_flight.load(Ordering::Relaxed);
    state.log.write(
        state.now(),
        &Line::Stopping {
            in_flight: in_flight(),
        },
    );
    state.stopping.set(true);
    state.step_members(MemberEvent::Leave);
    state.publish();
    let settings = &shared.settings;
    let accept = Duration::from_millis(settings.stop_accept_ms);
    let end = Duration::from_millis(settings.stop_end_ms);
    tokio::time::sleep(accept).await;
    shared.closed.send_replace(true);
    let mut waited = accept;
    while in_flight() > 0 && waited < end {
        tokio::time::sleep(LOOK).await;
        waited += LOOK;
    }
    state.log.write(
        state.now(),
        &Line::Stopped {
            cut: in_flight(),
            open: shared.open_callers.load(Ordering::Relaxed),
        },
    );
    state.log.flush();
    std::process::exit(0);
}

/// Reads the settings again on SIGHUP, and when their file has changed without one. Seeds come into force; whatever
/// else changed waits for a restart. A bad file is refused whole.
pub async fn reload(state: Rc<ControlState>, file: PathBuf) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    let mut read_at = written_at(&file);
    loop {
        tokio::select! {
            signal = hangup.recv() => if signal.is_none() { return },
            () = tokio::time::sleep(SETTINGS_LOOK) => {
                let now = written_at(&file);
                if now.is_none() || now == read_at {
                    continue;
                }
            }
        }
        read_at = written_at(&file);
        let loaded = GatewaySettings::load(&file);
        let cause = loaded.as_ref().err().map(ToString::to_string).unwrap_or_default();
        let line = Line::Reloaded {
            good: loaded.is_ok(),
            cause: &cause,
        };
        state.log.write(state.now(), &line);
        if let Ok(settings) = loaded {
            let port = settings.members.port();
            let seeds = settings.seeds.iter();
            let seeds = seeds.map(|seed| format!("{}:{port}", seed.ip())).collect();
            state.step_members(MemberEvent::Seeds(seeds));
        }
    }
}
