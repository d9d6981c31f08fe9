//! The planned stop, and reloading of the settings.

use super::state::ControlState;
use crate::event_log::LogEvent;
use crate::settings::GatewaySettings;
use barleyspool_core::{MemberEvent, PlannedStop, Span, StopPhase};
use barleyspool_wire::process::Signals;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::Signal;

/// Interval between checks for a changed settings file; each check is one system call.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between checks of whether a planned stop has reached its next phase, and therefore the longest
/// delay that the checks add to a phase.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Modification time of a file; `None` while it does not exist, for example while it is being replaced.
fn modified_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|file| file.modified()).ok()
}

/// Waits for SIGTERM or SIGINT, performs a planned stop ([`StopPhase`]) and exits the process.
pub async fn stop_on_signal(state: Rc<ControlState>, mut terminate: Signal, mut interrupt: Signal) {
    Signals::wait_for_stop(&mut terminate, &mut interrupt).await;
    let mut stop = begin_stop(&state);
    let shared = &state.shared;
    loop {
        if shared.listener_closed.load(Ordering::Acquire) {
            stop.listener_closed(state.now());
        }
        let open = shared.caller_connections.load(Ordering::Acquire);
        let phase = stop.phase(state.now(), open);
        if phase == StopPhase::Finished {
            break;
        }
        shared
            .stop
            .send_if_modified(|current| std::mem::replace(current, phase) != phase);
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    let event = LogEvent::Stopped {
        aborted_calls: shared.in_flight.load(Ordering::Relaxed),
        open_connections: shared.caller_connections.load(Ordering::Relaxed),
    };
    state.log.write(state.now(), &event);
    state.log.flush();
    std::process::exit(0);
}

/// Starts a planned stop: announces to other nodes that this node is leaving, and publishes a plan with the
/// time at which unfinished calls are aborted.
fn begin_stop(state: &ControlState) -> PlannedStop {
    let settings = &state.shared.settings;
    let accept_for = Span::from_millis(settings.stop_accept_ms);
    let max_duration = Span::from_millis(settings.stop_end_ms);
    let stop = PlannedStop::new(state.now(), accept_for, max_duration);
    let event = LogEvent::Stopping {
        in_flight: state.shared.in_flight.load(Ordering::Relaxed),
    };
    state.log.write(state.now(), &event);
    state.abort_at.set(Some(stop.abort_at()));
    state.step_members(MemberEvent::Leave);
    state.publish_plan();
    stop
}

/// Reloads the settings on SIGHUP and when the modification time of their file changes. Only the seeds are
/// applied; other changes take effect at the next start. An invalid file is rejected as a whole.
pub async fn reload_settings(state: Rc<ControlState>, settings_file: PathBuf, mut hangup: Signal) {
    let mut last_modified = modified_at(&settings_file);
    loop {
        tokio::select! {
            signal = hangup.recv() => if signal.is_none() { return },
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => {
                let modified = modified_at(&settings_file);
                if modified.is_none() || modified == last_modified {
                    continue;
                }
            }
        }
        last_modified = modified_at(&settings_file);
        let loaded = GatewaySettings::load(&settings_file);
        let cause = loaded.as_ref().err().map(ToString::to_string).unwrap_or_default();
        let event = LogEvent::SettingsReloaded {
            valid: loaded.is_ok(),
            cause: &cause,
        };
        state.log.write(state.now(), &event);
        if let Ok(settings) = loaded {
            let port = settings.members.port();
            let seeds = settings.seeds.iter();
            let seeds = seeds.map(|seed| format!("{}:{port}", seed.ip())).collect();
            state.step_members(MemberEvent::Seeds(seeds));
        }
    }
}
