//! What one node has counted, and what of it others have acknowledged.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::window::Counts;
use crate::id::{AccountId, Incarnation, NodeId, Window};

/// How many windows are kept, the newest among them: collectors may change, and the store be away for
/// a minute, until a window has been settled.
pub const RETAINED_WINDOWS: u64 = 16;
/// The most counts of one message, at some 20 bytes each, so that it travels in one packet.
pub const MOST_COUNTS: usize = 48;

/// One life of a node that collects counts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct NodeInstance {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// The count of an account in a window, in all so far.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Count {
    /// The window.
    pub window: Window,
    /// The account.
    pub account: AccountId,
    /// How many of its requests have begun in the window.
    pub requests: u64,
}

/// One message to a collector.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Its number, which the acknowledgement names.
    pub number: u64,
    /// Counts that the collector is not known to have.
    pub counts: Vec<Count>,
    /// With these the collector has all counts of the windows before this one.
    pub complete: Window,
}

type Key = (Window, AccountId);

/// What a collector still has to be told.
#[derive(Debug, Default)]
struct Untold {
    /// Counts that have changed since they were sent to it.
    changed: BTreeSet<Key>,
    /// Messages that it has not acknowledged.
    sent: BTreeMap<u64, Sent>,
    /// It is known to have all counts of the windows before this one.
    complete: Window,
}

impl Untold {
    /// Whether a message with counts of a window before `newest` is not acknowledged.
    fn is_open(&self, newest: Window) -> bool {
        self.sent.values().flat_map(|sent| &sent.keys).any(|(window, _)| *window < newest)
    }
}

#[derive(Debug)]
struct Sent {
    round: u64,
    keys: Vec<Key>,
    complete: Window,
}

/// What one node has counted. Counts only grow, so a message that is lost, repeated or late does no
/// harm.
#[derive(Debug, Default)]
pub struct Tally {
    windows: BTreeMap<Window, Counts>,
    untold: HashMap<NodeInstance, Untold>,
    numbers: u64,
    round: u64,
    /// The window of now, as of the last round.
    newest: Window,
}

impl Tally {
    /// Counts a request of an account that began in `window`.
    pub fn record_request(&mut self, window: Window, account: &AccountId) {
        *self.windows.entry(window).or_default().entry(account.clone()).or_default() += 1;
        for untold in self.untold.values_mut() {
            untold.changed.insert((window, account.clone()));
        }
    }

    /// The counts of a window.
    pub fn counts(&self, window: Window) -> Option<&Counts> {
        self.windows.get(&window)
    }

    /// Begins a round of messages to these collectors. Drops windows that are too old at `newest`, and
    /// takes what was sent before the last round and not acknowledged for lost.
    pub fn begin_round(&mut self, newest: Window, collectors: &[NodeInstance]) {
        let is_kept = |window: &Window| window.0 + RETAINED_WINDOWS > newest.0;
        self.round += 1;
        self.newest = newest;
        self.windows.retain(|window, _| is_kept(window));
        self.untold.retain(|collector, _| collectors.contains(collector));
        for collector in collectors {
            if !self.untold.contains_key(collector) {
                let all = self.windows.iter().flat_map(|(window, counts)| {
                    counts.keys().map(|account| (*window, account.clone()))
                });
                let untold = Untold { changed: all.collect(), ..Untold::default() };
                self.untold.insert(collector.clone(), untold);
            }
        }
        for untold in self.untold.values_mut() {
            let lost = untold.sent.extract_if(.., |_, sent| sent.round + 1 < self.round);
            untold.changed.extend(lost.flat_map(|(_, sent)| sent.keys));
            untold.changed.retain(|(window, _)| is_kept(window));
        }
    }

    /// Messages with all that a collector has to be told: counts, and once a window that it has all of
    /// those before.
    pub fn messages(&mut self, collector: &NodeInstance) -> Vec<Message> {
        let newest = self.newest;
        let Some(untold) = self.untold.get_mut(collector) else { return Vec::new() };
        let keys: Vec<Key> = std::mem::take(&mut untold.changed).into_iter().collect();
        let mut parts: Vec<&[Key]> = keys.chunks(MOST_COUNTS).collect();
        let is_open = untold.is_open(newest);
        if parts.is_empty() && !is_open && untold.complete < newest {
            parts.push(&[]);
        }
        let ends = |part: &[Key]| part.iter().any(|(window, _)| *window < newest);
        let ending = parts.iter().filter(|part| ends(part)).count();
        let mut messages = Vec::new();
        for keys in parts {
            // Messages may be lost one by one, so the last counts of a window go with their own mark or
            // before it.
            let is_complete = !is_open && (ending == 0 || ending == 1 && ends(keys));
            let complete = if is_complete { newest } else { untold.complete };
            self.numbers += 1;
            let count = |(window, account): &Key| {
                let requests = *self.windows.get(window)?.get(account)?;
                Some(Count { window: *window, account: account.clone(), requests })
            };
            let counts = keys.iter().filter_map(count).collect();
            messages.push(Message { number: self.numbers, counts, complete });
            let sent = Sent { round: self.round, keys: keys.to_vec(), complete };
            untold.sent.insert(self.numbers, sent);
        }
        messages
    }

    /// Takes a collector's acknowledgement of a message.
    pub fn acknowledge(&mut self, collector: &NodeInstance, number: u64) {
        if let Some(untold) = self.untold.get_mut(collector)
            && let Some(sent) = untold.sent.remove(&number)
        {
            untold.complete = untold.complete.max(sent.complete);
        }
    }
}
