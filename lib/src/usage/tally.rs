//! The counts of one node, and which of them each collector has acknowledged.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::window::Counts;
use crate::id::{AccountId, Incarnation, NodeId, Window};

/// The number of windows that are retained, including the current one. Collectors can change and the
/// store can be unreachable for a minute before a window is settled.
pub const RETAINED_WINDOWS: u64 = 16;
/// The maximum number of counts per message. At about 20 bytes per count, a message fits into one
/// packet.
pub const MAX_COUNTS_PER_MESSAGE: usize = 48;

/// One incarnation of a node that sends or collects counts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct NodeInstance {
    /// The node.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
}

/// The total so far for one account in one window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Count {
    /// The window.
    pub window: Window,
    /// The account.
    pub account: AccountId,
    /// The number of the account's requests that started in the window.
    pub requests: u64,
}

/// A message to a collector.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The number that the acknowledgement refers to.
    pub number: u64,
    /// Counts that the collector may not have yet.
    pub counts: Vec<Count>,
    /// After this message the collector has all counts of the windows before this one.
    pub complete: Window,
}

type Key = (Window, AccountId);

/// The delivery state of one collector.
#[derive(Debug, Default)]
struct Delivery {
    /// Counts that changed since they were last sent.
    changed: BTreeSet<Key>,
    /// Unacknowledged messages by number.
    in_flight: BTreeMap<u64, InFlight>,
    /// The collector has acknowledged all counts of the windows before this one.
    complete: Window,
}

impl Delivery {
    /// Whether a message with counts of a window before `newest` is unacknowledged.
    fn has_in_flight_before(&self, newest: Window) -> bool {
        self.in_flight.values().flat_map(|sent| &sent.keys).any(|(window, _)| *window < newest)
    }
}

#[derive(Debug)]
struct InFlight {
    round: u64,
    keys: Vec<Key>,
    complete: Window,
}

/// The counts of one node. Counts only grow, so lost, duplicated and reordered messages are harmless.
#[derive(Debug, Default)]
pub struct Tally {
    windows: BTreeMap<Window, Counts>,
    deliveries: HashMap<NodeInstance, Delivery>,
    last_number: u64,
    round: u64,
    /// The current window as of the last round.
    newest: Window,
    /// Whether this node counts no more requests.
    is_closed: bool,
}

/// The completion mark of a node that counts no more requests.
const ALL_WINDOWS: Window = Window(u64::MAX);

impl Tally {
    /// Counts a request of `account` that started in `window`.
    pub fn record_request(&mut self, window: Window, account: &AccountId) {
        *self.windows.entry(window).or_default().entry(account.clone()).or_default() += 1;
        for delivery in self.deliveries.values_mut() {
            delivery.changed.insert((window, account.clone()));
        }
    }

    /// Records that this node counts no more requests: its counts are complete once they are
    /// delivered, and no window has to wait for its next incarnation.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Whether all collectors have acknowledged that the counts of a closed tally are complete.
    pub fn is_delivered(&self) -> bool {
        self.is_closed && self.deliveries.values().all(|d| d.complete == ALL_WINDOWS)
    }

    /// The counts of a window.
    pub fn counts(&self, window: Window) -> Option<&Counts> {
        self.windows.get(&window)
    }

    /// Starts a round of messages to `collectors`. Drops windows that are no longer retained at
    /// `newest`. Messages that were sent before the last round and are still unacknowledged count as
    /// lost, and their counts are sent again.
    pub fn begin_round(&mut self, newest: Window, collectors: &[NodeInstance]) {
        let is_retained = |window: &Window| window.0 + RETAINED_WINDOWS > newest.0;
        self.round += 1;
        self.newest = newest;
        self.windows.retain(|window, _| is_retained(window));
        self.deliveries.retain(|collector, _| collectors.contains(collector));
        for collector in collectors {
            if !self.deliveries.contains_key(collector) {
                let all = self.windows.iter().flat_map(|(window, counts)| {
                    counts.keys().map(|account| (*window, account.clone()))
                });
                let delivery = Delivery { changed: all.collect(), ..Delivery::default() };
                self.deliveries.insert(collector.clone(), delivery);
            }
        }
        for delivery in self.deliveries.values_mut() {
            let lost = delivery.in_flight.extract_if(.., |_, sent| sent.round + 1 < self.round);
            delivery.changed.extend(lost.flat_map(|(_, sent)| sent.keys));
            delivery.changed.retain(|(window, _)| is_retained(window));
        }
    }

    /// The messages to send to `collector` in this round: the changed counts and, once all earlier
    /// windows have been delivered, the mark that they are complete.
    pub fn messages(&mut self, collector: &NodeInstance) -> Vec<Message> {
        let newest = if self.is_closed { ALL_WINDOWS } else { self.newest };
        let Some(delivery) = self.deliveries.get_mut(collector) else { return Vec::new() };
        let keys: Vec<Key> = std::mem::take(&mut delivery.changed).into_iter().collect();
        let mut batches: Vec<&[Key]> = keys.chunks(MAX_COUNTS_PER_MESSAGE).collect();
        let has_in_flight = delivery.has_in_flight_before(newest);
        if batches.is_empty() && !has_in_flight && delivery.complete < newest {
            batches.push(&[]);
        }
        let has_earlier = |batch: &[Key]| batch.iter().any(|(window, _)| *window < newest);
        let earlier = batches.iter().filter(|batch| has_earlier(batch)).count();
        let mut messages = Vec::new();
        for keys in batches {
            // Each message can be lost independently, so the completion mark must not be sent before
            // the last counts of the windows that it covers, only with them or after them.
            let is_complete = !has_in_flight && (earlier == 0 || earlier == 1 && has_earlier(keys));
            let complete = if is_complete { newest } else { delivery.complete };
            self.last_number += 1;
            let count = |(window, account): &Key| {
                let requests = *self.windows.get(window)?.get(account)?;
                Some(Count { window: *window, account: account.clone(), requests })
            };
            let counts = keys.iter().filter_map(count).collect();
            messages.push(Message { number: self.last_number, counts, complete });
            let sent = InFlight { round: self.round, keys: keys.to_vec(), complete };
            delivery.in_flight.insert(self.last_number, sent);
        }
        messages
    }

    /// Records that `collector` acknowledged the message with this number.
    pub fn acknowledge(&mut self, collector: &NodeInstance, number: u64) {
        if let Some(delivery) = self.deliveries.get_mut(collector)
            && let Some(sent) = delivery.in_flight.remove(&number)
        {
            delivery.complete = delivery.complete.max(sent.complete);
        }
    }
}
