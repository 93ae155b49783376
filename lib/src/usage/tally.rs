//! What one node has counted, and what of it others have acknowledged.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::window::Counts;
use crate::id::{AccountId, Incarnation, NodeId, Window};

/// How many windows are kept, the newest among them: collectors may change, and the store be away for
/// a minute, until a window has been settled.
pub const KEPT: u64 = 16;
/// The most counts of one message, at some 20 bytes each, so that it travels in one packet.
pub const MOST_COUNTS: usize = 48;

/// One life of a node that collects counts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Collector {
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
}

type Key = (Window, AccountId);

/// What a collector still has to be told.
#[derive(Debug, Default)]
struct Untold {
    /// Counts that have changed since they were sent to it.
    changed: BTreeSet<Key>,
    /// Messages that it has not acknowledged, with the round in which they were sent.
    sent: BTreeMap<u64, (u64, Vec<Key>)>,
}

/// What one node has counted. Counts only grow, so a message that is lost, repeated or late does no
/// harm.
#[derive(Debug, Default)]
pub struct Tally {
    windows: BTreeMap<Window, Counts>,
    untold: HashMap<Collector, Untold>,
    numbers: u64,
    round: u64,
}

impl Tally {
    /// Counts a request of an account that began in `window`.
    pub fn note(&mut self, window: Window, account: &AccountId) {
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
    pub fn begin_round(&mut self, newest: Window, collectors: &[Collector]) {
        let is_kept = |window: &Window| window.0 + KEPT > newest.0;
        self.round += 1;
        self.windows.retain(|window, _| is_kept(window));
        self.untold.retain(|collector, _| collectors.contains(collector));
        for collector in collectors {
            if !self.untold.contains_key(collector) {
                let all = self.windows.iter().flat_map(|(window, counts)| {
                    counts.keys().map(|account| (*window, account.clone()))
                });
                let untold = Untold { changed: all.collect(), sent: BTreeMap::new() };
                self.untold.insert(collector.clone(), untold);
            }
        }
        for untold in self.untold.values_mut() {
            let lost = untold.sent.extract_if(.., |_, (round, _)| *round + 1 < self.round);
            untold.changed.extend(lost.flat_map(|(_, (_, keys))| keys));
            untold.changed.retain(|(window, _)| is_kept(window));
        }
    }

    /// Messages with all that a collector has to be told.
    pub fn messages(&mut self, collector: &Collector) -> Vec<Message> {
        let Some(untold) = self.untold.get_mut(collector) else { return Vec::new() };
        let keys: Vec<Key> = std::mem::take(&mut untold.changed).into_iter().collect();
        let mut messages = Vec::new();
        for keys in keys.chunks(MOST_COUNTS) {
            self.numbers += 1;
            let count = |(window, account): &Key| {
                let requests = *self.windows.get(window)?.get(account)?;
                Some(Count { window: *window, account: account.clone(), requests })
            };
            let counts = keys.iter().filter_map(count).collect();
            messages.push(Message { number: self.numbers, counts });
            untold.sent.insert(self.numbers, (self.round, keys.to_vec()));
        }
        messages
    }

    /// Takes a collector's acknowledgement of a message.
    pub fn acknowledge(&mut self, collector: &Collector, number: u64) {
        if let Some(untold) = self.untold.get_mut(collector) {
            untold.sent.remove(&number);
        }
    }
}
