//! Quarantine of prompt parts that crash runners, as one node takes part in it: counting crashes
//! together with the other nodes, and deciding which requests may run.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use rand::rngs::StdRng;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::part_quarantine::{
    self as core, Answer, Cause, Change, Entry, Mark, Prompt, Question, Stage, Subject,
};
use sardinepick_lib::fleet::roster::Roster;
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::suspect::{COUNTING_NODES, choose_counting_nodes};
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::id::NodeId;
use sardinepick_wire::part_quarantine::Message;
use sardinepick_wire::schedule::Schedule;
use smallvec::SmallVec;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::lock::lock;
use crate::serve::metrics::Metrics;
use crate::serve::pending::Pending;
use crate::serve::store::Client;

mod admission;
mod gossip;
mod report;
mod store;

use admission::Wanted;
pub use admission::{Admission, Permit};

/// How often proposals are checked while any awaits its decision.
const DECISION_POLL: Duration = Duration::from_millis(20);
/// How often entries are checked for expiry otherwise.
const EXPIRY_POLL: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    core: core::PartQuarantine,
    /// Crash reports to other nodes that await an acknowledgement.
    reports: Pending<()>,
    /// Requests for permits that await an answer.
    questions: Pending<Answer>,
    /// Parts whose entries have not been written to the store.
    pending_writes: HashSet<Subject>,
}

/// What a node knows of the parts that were quarantined when it started.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
enum Coverage {
    /// It has asked nobody yet.
    #[default]
    None,
    /// The platform's store has not answered, and no other node has yet.
    Asked,
    /// It knows all.
    Complete,
}

/// What the quarantine uses of the node.
pub struct Handles {
    /// The membership view.
    pub roster: Arc<Mutex<Roster>>,
    /// Signals that a heartbeat must be sent now.
    pub heartbeat_now: Arc<Notify>,
    /// The platform's store.
    pub store: Arc<Client>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Metrics,
    /// Random numbers for pauses.
    pub rng: Mutex<StdRng>,
}

/// A node's record of prompt parts that crash runners.
pub struct PartQuarantine {
    handles: Handles,
    socket: OnceLock<Arc<UdpSocket>>,
    state: Mutex<State>,
    /// Signals that an entry has changed, or that all entries are known.
    changed: watch::Sender<()>,
    /// Signals that there are entries to write to the store.
    write_pending: Notify,
    /// What is known of the entries that existed at the start.
    coverage: watch::Sender<Coverage>,
}

impl PartQuarantine {
    /// Creates the quarantine of a node that has not started yet.
    pub fn new(handles: Handles) -> Self {
        Self {
            handles,
            socket: OnceLock::new(),
            state: Mutex::default(),
            changed: watch::Sender::new(()),
            write_pending: Notify::new(),
            coverage: watch::Sender::default(),
        }
    }

    /// Sets the socket for messages to other nodes; until then none can be sent.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Set only once, when the node starts.
        let _ = self.socket.set(socket);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Whether this node knows all entries that existed when it started.
    fn is_complete(&self) -> bool {
        *self.coverage.borrow() == Coverage::Complete
    }

    /// Records that a run on a prompt has made progress.
    pub fn note_progress(&self, prompt: &Prompt) {
        let now = self.handles.clock.now();
        let changes = self.state().core.note_progress(prompt, now);
        self.note_changes(changes);
    }

    /// Releases a part on an operator's command. Returns whether it was restricted or quarantined.
    pub fn release(&self, subject: &Subject) -> bool {
        let now = self.handles.clock.now();
        let change = self.state().core.release(subject, now);
        let is_released = change.is_some();
        self.note_changes(change);
        is_released
    }

    /// Logs changes, and passes them on to the other nodes and to the store.
    fn note_changes(&self, changes: impl IntoIterator<Item = Change>) {
        let mut has_changes = false;
        for Change { entry, was, cause } in changes {
            has_changes = true;
            let labels: [&'static str; 2] = [entry.stage.into(), cause.into()];
            log::info!(
                part:% = entry.subject, stage = labels[0], cause = labels[1],
                serial = entry.serial, crashes = entry.crashes.len(),
                context = entry.context.len(), trials = entry.trials; "prompt part changes"
            );
            self.handles.metrics.part_changes.with_label_values(&labels).inc();
            if was.is_some_and(Stage::is_stored) || entry.stage.is_stored() {
                self.schedule_write(&entry.subject, cause);
            }
        }
        if has_changes {
            self.changed.send_replace(());
            self.handles.heartbeat_now.notify_one();
        }
    }

    /// Schedules the entry of a part that the store has or should have to be written. A change that
    /// was heard is written by the primary counting node.
    fn schedule_write(&self, subject: &Subject, cause: Cause) {
        let is_writer = match cause {
            Cause::Stored => false,
            Cause::Heard => self.is_primary_counter(subject),
            _ => true,
        };
        if is_writer {
            self.state().pending_writes.insert(*subject);
            self.write_pending.notify_one();
        }
    }

    /// The nodes that count a part's crashes, the primary first: the address of each, or `None` for
    /// this node.
    fn counting_nodes(&self, subject: &Subject) -> SmallVec<[Option<SocketAddr>; COUNTING_NODES]> {
        let roster = lock(&self.handles.roster);
        let contacts = roster.ready_contacts();
        let me = &roster.me().contact.id;
        let nodes = contacts.iter().map(|contact| &contact.id).chain([me]);
        let peer = |id: &NodeId| contacts.iter().find(|c| c.id == *id).map(|c| c.peer);
        choose_counting_nodes(subject.fingerprint(), nodes).into_iter().map(peer).collect()
    }

    /// Whether this node is the primary counter of a part's crashes.
    fn is_primary_counter(&self, subject: &Subject) -> bool {
        self.counting_nodes(subject).first() == Some(&None)
    }

    async fn send(&self, peer: SocketAddr, message: Message) {
        let Some(socket) = self.socket.get() else { return };
        let bytes = Schedule::Part(message).encode();
        let sent = self.handles.metrics.schedule_bytes.with_label_values(&["sent"]);
        sent.inc_by(bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(peer:% = peer, error:% = error; "cannot send a message about a prompt part");
        }
    }

    /// Handles a datagram of another node.
    pub async fn handle(&self, from: SocketAddr, message: Message) {
        match message {
            Message::Crash { number, report } => {
                let now = self.handles.clock.now();
                let change = self.state().core.note_report(&report.report(now), now);
                self.note_changes(change);
                self.send(from, Message::Noted { number }).await;
            }
            Message::Noted { number } => self.state().reports.resolve(number, ()),
            Message::Acquire { number, subject, covered, group } => {
                let node = stable_hash(0, from.to_string().as_bytes());
                let question = Question { node, number };
                let answer = self.answer(&Wanted { subject, covered, group }, question);
                self.send(from, Message::Acquired { number, answer }).await;
            }
            Message::Acquired { number, answer } => self.state().questions.resolve(number, answer),
            Message::Return { subject, permit } => {
                self.state().core.return_permit(&subject, permit);
            }
        }
    }

    /// Decides proposals and expires old entries until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut changed = self.changed.subscribe();
        loop {
            let now = self.handles.clock.now();
            if self.state().core.has_undecided(now) {
                sleep(DECISION_POLL).await;
            } else {
                // A change and a timeout are handled alike.
                let _ = timeout(EXPIRY_POLL, changed.changed()).await;
            }
            let now = self.handles.clock.now();
            let changes = self.state().core.decide(now);
            self.note_changes(changes);
            let expired = self.state().core.expire(now);
            for subject in expired {
                log::info!(part:% = subject; "quarantine of a prompt part expired");
                if self.is_primary_counter(&subject) {
                    self.state().pending_writes.insert(subject);
                    self.write_pending.notify_one();
                }
            }
        }
    }

    /// How many of the crashes under a request remain after those for which suspect parts account.
    pub fn unexplained(&self, crashes: &[Tag], request: &Fingerprint) -> usize {
        self.state().core.unexplained_by_parts(crashes, Mark::of_request(request))
    }

    /// The state of the quarantine as JSON, for operators.
    pub fn as_json(&self) -> serde_json::Value {
        let now = self.handles.clock.now();
        let state = self.state();
        let age = |at| now.saturating_duration_since(at).as_secs();
        let line = |entry: &Entry| {
            let next = entry.next_trial().filter(|_| entry.stage == Stage::Quarantined);
            serde_json::json!({
                "part": entry.subject.to_string(), "stage": entry.stage.to_string(),
                "crashes": entry.crashes.len(), "context": entry.context.len(),
                "first_s": age(entry.first), "since_s": age(entry.since), "trials": entry.trials,
                "next_trial_s": next.map(|at| at.saturating_duration_since(now).as_secs()),
                "refused_here": state.core.refused(&entry.subject),
            })
        };
        let entries: Vec<serde_json::Value> = state.core.entries().map(line).collect();
        serde_json::json!({
            "parts": entries, "suspected": state.core.suspects(),
            "complete": self.is_complete(),
        })
    }
}
