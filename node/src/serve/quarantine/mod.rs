//! Keeping from runners what ends them: counting ends with the other nodes, and heeding what comes
//! of it wherever a request is about to reach a runner.

use std::collections::HashSet;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::quarantine::{Entry, Quarantine, Stage, Standing};
use sardinepick_lib::fleet::suspect::{QUARANTINE_ENDS, Suspects};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use self::count::counts_first;
use crate::serve::pending::Pending;
use crate::serve::request::Request;
use crate::serve::shared::Shared;

pub mod count;
pub mod news;
pub mod store;

/// How often proposals are looked at while any awaits its decision, and all else otherwise.
const PERIODS: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

#[derive(Debug, Default)]
struct State {
    suspects: Suspects,
    quarantine: Quarantine,
    /// Ends that other nodes were told of.
    questions: Pending<u32>,
    /// What was decided here and the store does not keep yet.
    unwritten: HashSet<Fingerprint>,
}

/// What a node keeps of requests under which runners end.
#[derive(Debug)]
pub struct Keeper {
    state: Mutex<State>,
    /// Signals that what may be run has changed.
    changed: watch::Sender<()>,
    /// Signals that something was decided here.
    decided: Notify,
    /// Whether what the store keeps has been read.
    is_read: AtomicBool,
}

impl Default for Keeper {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(()),
            decided: Notify::new(),
            is_read: AtomicBool::new(false),
        }
    }
}

impl Keeper {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a request may go to a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may.
    Free,
    /// It may once, to see whether runners still end under it.
    Trial,
    /// It may not.
    Refused,
}

/// Finds out whether a request may go to a runner. While that is being decided, which takes a third of
/// a second, it waits: a refusal could turn out wrong, and a run could end one more runner.
pub async fn admit(shared: &Shared, request: &Request) -> Admission {
    loop {
        let now = shared.clock.now();
        let standing = shared.keeper.state().quarantine.standing(&request.fingerprint, now);
        match standing {
            Standing::Free => return Admission::Free,
            Standing::Refused => return refuse(shared, request),
            // The rest of its way says that its time is over.
            Standing::Undecided if request.left(now).is_zero() => return Admission::Free,
            Standing::Undecided => {
                // No change for so long is looked at as one is: proposals lapse, and time passes.
                let mut changed = shared.keeper.changed.subscribe();
                let _ = timeout(PERIODS.0, changed.changed()).await;
            }
        }
    }
}

fn refuse(shared: &Shared, request: &Request) -> Admission {
    let fingerprint = &request.fingerprint;
    let now = shared.clock.now();
    // One node alone tries, so that a request that comes to many at once ends one runner at the most.
    let tries = counts_first(shared, fingerprint)
        && shared.keeper.state().quarantine.begin_trial(fingerprint, now);
    if tries {
        log::info!(request:% = request.id, fingerprint:% = fingerprint; "quarantine tries it again");
        shared.metrics.quarantine.with_label_values(&["tried"]).inc();
        return Admission::Trial;
    }
    let mut state = shared.keeper.state();
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

/// Notes that a request that was to be tried has not run: the next one is.
pub fn return_trial(shared: &Shared, request: &Fingerprint) {
    shared.keeper.state().quarantine.return_trial(request);
}

/// Whether a request is refused, without waiting where that is not decided.
pub fn is_refused(shared: &Shared, request: &Request) -> bool {
    let now = shared.clock.now();
    let standing = shared.keeper.state().quarantine.standing(&request.fingerprint, now);
    standing == Standing::Refused
}

/// Notes that a runner has answered a request whole: it has not ended under it.
pub fn note_answered(shared: &Shared, request: &Fingerprint) {
    let now = shared.clock.now();
    let speaks = shared.keeper.state().quarantine.note_answered(*request, now);
    if speaks {
        set(shared, request, Stage::Cleared, "answered");
    }
}

/// Runs a request again that is not run, by an operator's word. Whether there is one.
pub fn release(shared: &Shared, request: &Fingerprint) -> bool {
    let now = shared.clock.now();
    let standing = shared.keeper.state().quarantine.standing(request, now);
    standing != Standing::Free && set(shared, request, Stage::Cleared, "released by an operator")
}

/// Brings a request to a stage, here and at all others. Whether that is new.
fn set(shared: &Shared, request: &Fingerprint, stage: Stage, why: &str) -> bool {
    let now = shared.clock.now();
    let (was, entry) = {
        let mut state = shared.keeper.state();
        let was = state.quarantine.get(request).map(|entry| entry.stage);
        (was, state.quarantine.set(request, stage, now))
    };
    let Some(entry) = entry else { return false };
    heed(shared, &entry);
    note_stage(shared, &entry, why);
    shared.beat_now.notify_one();
    // Of what is only proposed the store knows nothing.
    if [was, Some(stage)].contains(&Some(Stage::Confirmed)) {
        keep(shared, *request);
    }
    true
}

/// Has the store follow what was decided here.
fn keep(shared: &Shared, request: Fingerprint) {
    shared.keeper.state().unwritten.insert(request);
    shared.keeper.decided.notify_one();
}

/// Does with suspects what a stage asks for.
fn heed(shared: &Shared, entry: &Entry) {
    let mut state = shared.keeper.state();
    match entry.stage {
        // What one request accounts for speaks no longer against the others that were there.
        Stage::Confirmed => state.suspects.discount(&entry.ends, &entry.request),
        Stage::Cleared => state.suspects.clear(&entry.request),
        Stage::Proposed | Stage::Withdrawn => {}
    }
}

fn note_stage(shared: &Shared, entry: &Entry, why: &str) {
    let stage: &'static str = entry.stage.into();
    log::info!(
        fingerprint:% = entry.request, stage = stage, serial = entry.serial,
        ends = entry.ends.len(), begun = entry.begun, why = why; "quarantine changes"
    );
    shared.metrics.quarantine.with_label_values(&[stage]).inc();
    // Those that wait look again.
    shared.keeper.changed.send_replace(());
}

/// Decides what was proposed and forgets what is long ago, until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut changed = shared.keeper.changed.subscribe();
    loop {
        let now = shared.clock.now();
        let deliberating = shared.keeper.state().quarantine.has_undecided(now);
        if deliberating {
            sleep(PERIODS.0).await;
        } else {
            // A change is looked at as the time that passes is.
            let _ = timeout(PERIODS.1, changed.changed()).await;
        }
        decide(&shared);
        for request in expire(&shared) {
            log::info!(fingerprint:% = request; "quarantine forgets a request");
            if counts_first(&shared, &request) {
                keep(&shared, request);
            }
        }
    }
}

/// Forgets what is long ago, and names the requests that were not run till now.
fn expire(shared: &Shared) -> Vec<Fingerprint> {
    let now = shared.clock.now();
    let mut state = shared.keeper.state();
    state.suspects.expire(now);
    state.quarantine.expire(now)
}

/// Decides proposals whose time has come, where this node has counted enough ends itself.
fn decide(shared: &Shared) {
    let now = shared.clock.now();
    let due = shared.keeper.state().quarantine.due(now);
    for request in due {
        let stage = {
            let state = shared.keeper.state();
            let counted = state.suspects.get(&request).map_or(0, |s| s.ends().len());
            (counted >= QUARANTINE_ENDS).then(|| state.quarantine.decide(&request, now)).flatten()
        };
        if let Some(stage) = stage {
            set(shared, &request, stage, "decided");
        }
    }
}

/// What is known, for people.
pub fn state(shared: &Shared) -> serde_json::Value {
    let now = shared.clock.now();
    let state = shared.keeper.state();
    let age = |at| now.saturating_duration_since(at).as_secs();
    let line = |entry: &Entry| {
        serde_json::json!({
            "fingerprint": entry.request.to_string(), "stage": entry.stage.to_string(),
            "ends": entry.ends.len(), "first_s": age(entry.first), "since_s": age(entry.since),
            "refused_here": state.quarantine.refused(&entry.request),
        })
    };
    let entries: Vec<serde_json::Value> = state.quarantine.entries().map(line).collect();
    serde_json::json!({"requests": entries, "suspected": state.suspects.len()})
}
