//! Quarantine of requests that crash runners: counting crashes together with the other nodes, and
//! enforcing the resulting decisions wherever a request is about to reach a runner.

use std::collections::HashSet;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::quarantine::{Disposition, Entry, Quarantine, Stage};
use sardinepick_lib::fleet::suspect::{QUARANTINE_ENDS, RunnerEnd, Suspects};
use sardinepick_lib::id::RunnerId;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use self::count::is_primary_counter;
pub use self::trial::Trial;
use crate::serve::pending::Pending;
use crate::serve::request::Request;
use crate::serve::shared::Shared;

pub mod count;
pub mod gossip;
pub mod store;
mod trial;

/// How often proposals are checked while any awaits its decision.
const DECISION_POLL: Duration = Duration::from_millis(20);
/// A request waits for decisions and the trials of others for at most this fraction of its time.
const MAX_WAIT_FRACTION: u32 = 2;
/// When a caller is asked to retry whose request has waited too long.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// How often entries are checked for expiry otherwise.
const EXPIRY_POLL: Duration = Duration::from_secs(1);

/// The maximum number of rivals whose fingerprints are logged, and the digits of each.
const MAX_SHOWN_RIVALS: usize = 8;
const SHORT_FINGERPRINT: usize = 8;

#[derive(Debug, Default)]
struct State {
    suspects: Suspects,
    quarantine: Quarantine,
    /// Crash reports to other nodes that await a reply.
    reports: Pending<u32>,
    /// Decisions of this node that have not been written to the store.
    pending_writes: HashSet<Fingerprint>,
}

/// A node's record of requests that crash runners.
#[derive(Debug)]
pub struct QuarantineState {
    state: Mutex<State>,
    /// Signals that the stage of a request has changed.
    changed: watch::Sender<()>,
    /// Signals that there are decisions to write to the store.
    write_pending: Notify,
    /// Whether the entries in the store have been read.
    store_read: AtomicBool,
}

impl Default for QuarantineState {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(()),
            write_pending: Notify::new(),
            store_read: AtomicBool::new(false),
        }
    }
}

impl QuarantineState {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether quarantine allows a request to run.
pub enum Admission {
    /// It may run.
    Free,
    /// It may run in this trial: the only run of all requests that cannot be told apart from it.
    Restricted(Trial),
    /// It may run once, to see whether it still crashes runners.
    Trial,
    /// It must not run.
    Refused,
    /// A decision is pending, or another request is being tried. The caller may retry after this
    /// time.
    Undecided(Duration),
}

/// Decides whether a request may run. It waits for pending decisions and for the trials of others,
/// for a part of its time: a refusal could turn out wrong, and a run could crash another runner.
pub async fn admit(shared: &Arc<Shared>, request: &Request) -> Admission {
    let began = shared.clock.now();
    let until = began + request.time_left(began) / MAX_WAIT_FRACTION;
    let mut changed = shared.quarantine.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let now = shared.clock.now();
        let disposition =
            shared.quarantine.state().quarantine.disposition(&request.fingerprint, now);
        match disposition {
            Disposition::Free => return Admission::Free,
            Disposition::Refused => return refuse(shared, request),
            Disposition::Restricted(group) => {
                if let Some(trial) = Trial::begin(shared, request, group).await {
                    // It may have been confirmed meanwhile, or tried.
                    let disposition = disposition_of(shared, request);
                    if matches!(disposition, Disposition::Restricted(_)) {
                        return Admission::Restricted(trial);
                    }
                    continue;
                }
            }
            Disposition::Undecided => {}
        }
        if now >= until {
            shared.metrics.quarantine.with_label_values(&["undecided"]).inc();
            return Admission::Undecided(UNDECIDED_RETRY_AFTER);
        }
        // A timeout is handled like a change: proposals and permits expire with time.
        let _ = timeout(DECISION_POLL, changed.changed()).await;
    }
}

fn disposition_of(shared: &Shared, request: &Request) -> Disposition {
    let now = shared.clock.now();
    shared.quarantine.state().quarantine.disposition(&request.fingerprint, now)
}

/// Whether a request may run without a permit or a decision.
pub fn is_free(shared: &Shared, request: &Request) -> bool {
    disposition_of(shared, request) == Disposition::Free
}

/// Records that the caller of a restricted request has received `events` events of its answer, in
/// all attempts. Returns whether that is past the furthest end, which clears the request.
pub fn note_progress(shared: &Shared, request: &Fingerprint, events: u64) -> bool {
    let has_progressed = shared.quarantine.state().quarantine.has_progressed(request, events);
    has_progressed && set_stage(shared, request, Stage::Cleared, "progress")
}

fn refuse(shared: &Shared, request: &Request) -> Admission {
    let fingerprint = &request.fingerprint;
    let now = shared.clock.now();
    // Only one node runs the trial, so that a request sent to many nodes at once crashes at most
    // one runner.
    let is_trial = is_primary_counter(shared, fingerprint)
        && shared.quarantine.state().quarantine.begin_trial(fingerprint, now);
    if is_trial {
        log::info!(request:% = request.id, fingerprint:% = fingerprint; "quarantine tries it again");
        shared.metrics.quarantine.with_label_values(&["tried"]).inc();
        return Admission::Trial;
    }
    let mut state = shared.quarantine.state();
    state.quarantine.note_refused(fingerprint);
    let Some(entry) = state.quarantine.get(fingerprint) else { return Admission::Free };
    log::info!(
        request:% = request.id, fingerprint:% = fingerprint, ends = entry.ends.len(),
        age_ms = now.saturating_duration_since(entry.since).as_millis() as u64;
        "quarantine refuses"
    );
    shared.metrics.quarantine.with_label_values(&["refused"]).inc();
    Admission::Refused
}

/// Records that a trial did not run; the next request becomes the trial.
pub fn return_trial(shared: &Shared, request: &Fingerprint) {
    shared.quarantine.state().quarantine.return_trial(request);
}

/// Records that a runner answered a request completely and without an error of its own, which clears
/// the request if it is proposed, restricted or confirmed.
pub fn note_answered(shared: &Shared, request: &Fingerprint) {
    let now = shared.clock.now();
    let objects = shared.quarantine.state().quarantine.note_answered(*request, now);
    if objects {
        set_stage(shared, request, Stage::Cleared, "answered");
    }
}

/// Releases a request from quarantine on an operator's command. Returns whether it was quarantined.
pub fn release(shared: &Shared, request: &Fingerprint) -> bool {
    let is_held = shared.quarantine.state().quarantine.is_active(request);
    is_held && set_stage(shared, request, Stage::Cleared, "released by an operator")
}

/// Moves a request to a stage on this node and, by gossip, on all others. Returns whether the stage
/// changed.
fn set_stage(shared: &Shared, request: &Fingerprint, stage: Stage, why: &str) -> bool {
    let now = shared.clock.now();
    let (was, entry) = {
        let mut state = shared.quarantine.state();
        let was = state.quarantine.get(request).map(|entry| entry.stage);
        (was, state.quarantine.set(request, stage, now))
    };
    let Some(entry) = entry else { return false };
    update_suspects(shared, &entry);
    note_stage(shared, &entry, why);
    shared.heartbeat_now.notify_one();
    if was.is_some_and(Stage::is_stored) || stage.is_stored() {
        schedule_write(shared, *request);
    }
    if stage == Stage::Confirmed {
        reconsider(shared);
    }
    true
}

/// Restricts the confirmed requests for whose ends another one accounts better.
fn reconsider(shared: &Shared) {
    let now = shared.clock.now();
    let restricted = shared.quarantine.state().quarantine.reconsider(now);
    for entry in restricted {
        note_stage(shared, &entry, "another request accounts for it");
        schedule_write(shared, entry.request);
    }
}

/// Schedules the current stage of a request to be written to the store.
fn schedule_write(shared: &Shared, request: Fingerprint) {
    shared.quarantine.state().pending_writes.insert(request);
    shared.quarantine.write_pending.notify_one();
}

/// Applies a stage to the crash counts.
fn update_suspects(shared: &Shared, entry: &Entry) {
    if entry.stage == Stage::Cleared {
        shared.quarantine.state().suspects.clear(&entry.request);
    }
}

fn note_stage(shared: &Shared, entry: &Entry, why: &str) {
    let stage: &'static str = entry.stage.into();
    let (rivals, here) = {
        let state = shared.quarantine.state();
        let here = state.suspects.get(&entry.request).map_or(0, |s| s.ends().len());
        (state.quarantine.rivals(&entry.request), here)
    };
    let shown: Vec<String> = rivals.iter().take(MAX_SHOWN_RIVALS).map(short).collect();
    log::info!(
        fingerprint:% = entry.request, stage = stage, serial = entry.serial,
        ends = entry.ends.len(), begun = entry.begun, ends_here = here, why = why,
        rivals = rivals.len(), rival_fingerprints:% = shown.join(" "); "quarantine changes"
    );
    shared.metrics.quarantine.with_label_values(&[stage]).inc();
    // Wakes requests that wait for a decision.
    shared.quarantine.changed.send_replace(());
}

/// The first digits of a fingerprint, enough to find it in the log.
fn short(request: &Fingerprint) -> String {
    request.to_string().chars().take(SHORT_FINGERPRINT).collect()
}

/// Logs a call of a request under which runners have ended, immediately before it is sent.
pub fn note_call(shared: &Shared, request: &Request, runner: &RunnerId, step: &'static str) {
    let (ends, entry) = {
        let state = shared.quarantine.state();
        let ends = state.suspects.get(&request.fingerprint).map_or(0, |s| s.ends().len());
        (ends, state.quarantine.get(&request.fingerprint).map(|e| (e.stage, e.serial)))
    };
    if ends == 0 && entry.is_none() {
        return;
    }
    let stage = entry.map_or("none", |(stage, _)| stage.into());
    shared.metrics.suspect_calls.with_label_values(&[stage]).inc();
    log::info!(
        request:% = request.id, fingerprint:% = request.fingerprint, runner:% = runner, step = step,
        ends_here = ends, stage = stage, serial = entry.map_or(0, |(_, serial)| serial);
        "suspect request sent"
    );
}

/// Decides proposals and expires old entries until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut changed = shared.quarantine.changed.subscribe();
    loop {
        let now = shared.clock.now();
        let is_deciding = shared.quarantine.state().quarantine.has_undecided(now);
        if is_deciding {
            sleep(DECISION_POLL).await;
        } else {
            // A change and a timeout are handled alike.
            let _ = timeout(EXPIRY_POLL, changed.changed()).await;
        }
        decide(&shared);
        for request in expire(&shared) {
            log::info!(fingerprint:% = request; "quarantine entry expired");
            if is_primary_counter(&shared, &request) {
                schedule_write(&shared, request);
            }
        }
    }
}

/// Expires old entries, and returns the requests that were in quarantine until now.
fn expire(shared: &Shared) -> Vec<Fingerprint> {
    let now = shared.clock.now();
    let mut state = shared.quarantine.state();
    state.suspects.expire(now);
    state.quarantine.expire(now)
}

/// Decides the proposals that are due, provided that this node has counted enough crashes itself.
fn decide(shared: &Shared) {
    let now = shared.clock.now();
    let due = shared.quarantine.state().quarantine.due(now);
    for request in due {
        let (stage, ends) = {
            let state = shared.quarantine.state();
            let entry = state.quarantine.get(&request);
            let is_counted = state.suspects.get(&request).is_some_and(|suspect| {
                let failed = |end: &RunnerEnd| {
                    entry.is_some_and(|entry| entry.failed_trials.contains(&end.incarnation))
                };
                suspect.ends().len() >= QUARANTINE_ENDS || suspect.ends().iter().any(failed)
            });
            let stage = is_counted.then(|| state.quarantine.decide(&request, now)).flatten();
            (stage, entry.map(|entry| entry.ends.clone()).unwrap_or_default())
        };
        match stage {
            Some(Stage::Confirmed)
                if shared.part_quarantine.unexplained(&ends, &request) < QUARANTINE_ENDS =>
            {
                set_stage(shared, &request, Stage::Restricted, "a prompt part accounts for it");
            }
            Some(stage) => drop(set_stage(shared, &request, stage, "decided")),
            None => {}
        }
    }
}

/// The state of the quarantine as JSON, for operators.
pub fn state(shared: &Shared) -> serde_json::Value {
    let now = shared.clock.now();
    let state = shared.quarantine.state();
    let age = |at| now.saturating_duration_since(at).as_secs();
    let line = |entry: &Entry| {
        serde_json::json!({
            "fingerprint": entry.request.to_string(), "stage": entry.stage.to_string(),
            "ends": entry.ends.len(), "trials": entry.trials, "first_s": age(entry.first), "since_s": age(entry.since),
            "refused_here": state.quarantine.refused(&entry.request),
        })
    };
    let entries: Vec<serde_json::Value> = state.quarantine.entries().map(line).collect();
    serde_json::json!({"requests": entries, "suspected": state.suspects.len()})
}
