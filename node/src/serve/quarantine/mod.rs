//! Keeping from runners what ends them: counting ends with the other nodes, and heeding what comes
//! of it wherever a request is about to reach a runner.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::quarantine::{Entry, Quarantine, Stage, Standing};
use sardinepick_lib::fleet::suspect::{COUNTING, ENDS, End, Reach, Suspects, counting};
use sardinepick_lib::id::NodeId;
use sardinepick_wire::fleet as pb;
use sardinepick_wire::quarantine::{quarantined, read_quarantined};
use sardinepick_wire::schedule::Schedule;
use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{sleep, timeout};

use crate::serve::ended;
use crate::serve::request::Request;
use crate::serve::scheduler::transmit;
use crate::serve::shared::Shared;
use crate::serve::ticket::Ticket;

pub mod store;

/// How long a node that counts has to answer, each time it is told.
const PATIENCE: Duration = Duration::from_millis(15);
/// How often it is told. One datagram can be lost; one that comes twice counts once.
const TRIES: u32 = 2;
/// How often proposals are looked at while any awaits its decision, and all else otherwise.
const PERIODS: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

#[derive(Debug, Default)]
struct State {
    suspects: Suspects,
    quarantine: Quarantine,
    /// Ends that other nodes were told of, and who waits for their answers.
    told: u64,
    waiting: HashMap<u64, oneshot::Sender<u32>>,
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

    /// How many requests are suspected.
    pub fn suspected(&self) -> usize {
        self.state().suspects.len()
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
    let mut changed = shared.keeper.changed.subscribe();
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

/// Whether a request is refused, without waiting where that is not decided.
pub fn is_refused(shared: &Shared, request: &Request) -> bool {
    let now = shared.clock.now();
    let standing = shared.keeper.state().quarantine.standing(&request.fingerprint, now);
    standing == Standing::Refused
}

/// Notes that a call broke off. Whether so many runners have ended under its request that it must not
/// be sent on.
pub async fn note_broken(
    shared: &Shared,
    ticket: &Ticket,
    request: &Request,
    reach: Reach,
) -> bool {
    let Some(life) = ended::find(shared, ticket, request, reach).await else { return false };
    let end = End { life, reach };
    let fingerprint = request.fingerprint;
    let here = count(shared, fingerprint, end);
    let peers = counting_peers(shared, &fingerprint);
    let others = join_all(peers.into_iter().map(|peer| tell(shared, peer, fingerprint, end))).await;
    let ends = others.into_iter().flatten().map(|ends| ends as usize).fold(here, usize::max);
    log::info!(
        request:% = request.id, fingerprint:% = fingerprint, ends = ends, here = here;
        "ends of runners under a request counted"
    );
    ends >= ENDS
}

/// Counts an end, and proposes the request if there are enough.
fn count(shared: &Shared, request: Fingerprint, end: End) -> usize {
    let now = shared.clock.now();
    let mut state = shared.keeper.state();
    let ends = state.suspects.note(request, end, now);
    let State { suspects, quarantine, .. } = &mut *state;
    let proposed = suspects.get(&request).and_then(|s| quarantine.propose(request, s, now));
    if let Some(entry) = proposed {
        // Nobody hears of a proposal that this node can itself object to.
        let objects = state.quarantine.objects(&entry);
        drop(state);
        note_stage(shared, &entry, "counted");
        if objects {
            set(shared, &request, Stage::Cleared, "answered since");
        }
        shared.beat_now.notify_one();
    }
    ends
}

/// Tells a node that counts of an end. Gives how many it has counted; none if it does not answer.
async fn tell(shared: &Shared, peer: SocketAddr, request: Fingerprint, end: End) -> Option<u32> {
    for _ in 0..TRIES {
        let (sender, answer) = oneshot::channel();
        let number = {
            let mut state = shared.keeper.state();
            state.told += 1;
            let number = state.told;
            state.waiting.insert(number, sender);
            number
        };
        transmit(shared, peer, &Schedule::Ended { number, request, end }).await;
        let answer = timeout(PATIENCE, answer).await;
        shared.keeper.state().waiting.remove(&number);
        if let Ok(Ok(ends)) = answer {
            return Some(ends);
        }
    }
    log::info!(peer:% = peer, fingerprint:% = request; "node that counts ends is silent");
    None
}

/// Takes what another node tells of an end, and answers.
pub async fn take_ended(
    shared: &Shared,
    from: SocketAddr,
    number: u64,
    request: Fingerprint,
    end: End,
) {
    let ends = u32::try_from(count(shared, request, end)).unwrap_or(u32::MAX);
    transmit(shared, from, &Schedule::Counted { number, ends }).await;
}

/// Takes the answer of a node that counts.
pub fn take_counted(shared: &Shared, number: u64, ends: u32) {
    let waiting = shared.keeper.state().waiting.remove(&number);
    // One that comes late or twice finds nobody waiting.
    if let Some(waiting) = waiting {
        let _ = waiting.send(ends);
    }
}

fn with_counting<T>(
    shared: &Shared,
    request: &Fingerprint,
    use_them: impl FnOnce(&[&NodeId], &dyn Fn(&NodeId) -> Option<SocketAddr>) -> T,
) -> T {
    let roster = shared.roster();
    let fronts = roster.fronts();
    let nodes = fronts.iter().map(|contact| &contact.id).chain([&shared.me.id]);
    let counting: SmallVec<[&NodeId; COUNTING]> = counting(request, nodes);
    let peer = |id: &NodeId| fronts.iter().find(|c| c.id == *id).map(|c| c.peer);
    use_them(&counting, &peer)
}

/// Where the nodes are reached that count a request's ends, this one left out.
fn counting_peers(shared: &Shared, request: &Fingerprint) -> SmallVec<[SocketAddr; COUNTING]> {
    with_counting(shared, request, |nodes, peer| nodes.iter().filter_map(|id| peer(id)).collect())
}

/// Whether this node is the first of those that count a request's ends.
fn counts_first(shared: &Shared, request: &Fingerprint) -> bool {
    with_counting(shared, request, |nodes, _| nodes.first() == Some(&&shared.me.id))
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
        Stage::Confirmed => state.suspects.excuse(&entry.ends, &entry.request),
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

/// Takes what another node tells of requests that are not run.
pub fn take(shared: &Shared, told: &[pb::Quarantined], from: &str) {
    let now = shared.clock.now();
    let entries = match read_quarantined(told, now) {
        Ok(entries) => entries,
        Err(error) => {
            log::warn!(node = from, error:% = error; "quarantine of a node is not taken");
            return;
        }
    };
    for entry in entries {
        if !shared.keeper.state().quarantine.take(entry.clone(), now) {
            continue;
        }
        heed(shared, &entry);
        note_stage(shared, &entry, "heard");
        if shared.keeper.state().quarantine.objects(&entry) {
            set(shared, &entry.request, Stage::Cleared, "answered since");
        }
        shared.beat_now.notify_one();
    }
}

/// What has not been told to other nodes yet, as far as one message carries it.
pub fn news(shared: &Shared) -> Vec<pb::Quarantined> {
    let news = shared.keeper.state().quarantine.take_news();
    quarantined(&news, shared.clock.now())
}

/// Whether there is more to be told.
pub fn has_news(shared: &Shared) -> bool {
    shared.keeper.state().quarantine.has_news()
}

/// All that is known, for another node; what is refused comes first.
pub fn all(shared: &Shared) -> Vec<pb::Quarantined> {
    let mut all: Vec<Entry> = shared.keeper.state().quarantine.entries().cloned().collect();
    all.sort_by_key(|entry| entry.stage != Stage::Confirmed);
    quarantined(&all, shared.clock.now())
}

/// A digest of all that is known.
pub fn digest(shared: &Shared) -> u64 {
    shared.keeper.state().quarantine.digest(shared.clock.now())
}

/// Compares another node's digest. True if lists should be compared.
pub fn note_digest(shared: &Shared, node: &NodeId, digest: u64) -> bool {
    shared.keeper.state().quarantine.note_digest(node, digest, shared.clock.now())
}

/// Decides what was proposed and forgets what is long ago, until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut changed = shared.keeper.changed.subscribe();
    loop {
        let now = shared.clock.now();
        let deliberating = shared.keeper.state().quarantine.is_deliberating(now);
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
            (counted >= ENDS).then(|| state.quarantine.decide(&request, now)).flatten()
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
