//! Counting the requests of each client account, and collecting the counts of all nodes.

pub mod exchange;
pub mod report;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::id::{AccountId, NodeId, Window};
use sardinepick_lib::usage::collection::{Collection, Life, Total};
use sardinepick_lib::usage::tally::{Collector, Message, Tally};
use sardinepick_lib::usage::window::Windows;
use sardinepick_lib::wall_clock::Estimate;
use sardinepick_wire::usage::{Body, Usage as Datagram};
use tokio::net::UdpSocket;

use crate::serve::metrics::Metrics;

/// How many of the last windows are kept for people to see.
const SHOWN: usize = 8;

#[derive(Debug)]
struct State {
    /// The last windows that this node has brought to an end, oldest first, and what became of them.
    shown: VecDeque<(Window, &'static str)>,
    tally: Tally,
    collection: Collection,
    time: Estimate,
}

/// What one node has counted and collected.
pub struct Usage {
    me: Collector,
    windows: Option<Windows>,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

impl Usage {
    /// Nothing yet. `window` is the length of the windows, none where usage is not counted.
    pub fn new(me: Collector, window: Option<Duration>, clock: Arc<dyn Clock>) -> Self {
        let time = Estimate::new(clock.now(), clock.wall());
        let collection = Collection::new(me.clone(), time.at(clock.now()));
        let state = State { shown: VecDeque::new(), tally: Tally::default(), collection, time };
        Self { me, windows: window.map(Windows::new), clock, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The windows, where usage is counted.
    pub fn windows(&self) -> Option<Windows> {
        self.windows
    }

    /// What is taken for the true time at `now`, since the start of 1970.
    pub fn time_at(&self, now: Instant) -> Duration {
        self.state().time.at(now)
    }

    /// Takes what another node takes for the true time.
    pub fn note_time(&self, node: &NodeId, time: Duration, now: Instant) {
        let moved = self.state().time.observe_peer(now, node, time);
        if let Some(seconds) = moved {
            log::warn!(by_s = seconds; "this node's time was off; that of the others is taken");
        }
    }

    /// Counts a request of an account that begins to run.
    pub fn note(&self, account: Option<&AccountId>) {
        let (Some(windows), Some(account)) = (self.windows, account) else { return };
        let now = self.clock.now();
        let mut state = self.state();
        let window = windows.at(state.time.at(now));
        state.tally.note(window, account);
    }

    /// The window of now, and the messages for each of these collectors.
    fn round(
        &self,
        windows: Windows,
        collectors: &[Collector],
        lives: &[Life],
    ) -> Vec<Vec<Message>> {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let mut state = self.state();
        let state = &mut *state;
        state.time.observe_wall_clock(now, wall);
        let newest = windows.at(state.time.at(now));
        state.collection.note(newest, lives);
        let others = || collectors.iter().filter(|collector| **collector != self.me);
        state.tally.begin_round(newest, &others().cloned().collect::<Vec<_>>());
        let messages = |collector: &Collector| state.tally.messages(collector);
        collectors.iter().map(messages).collect()
    }

    /// A window as far as this node knows it.
    fn total(&self, windows: Windows, window: Window, lives: &[Life]) -> Total {
        let now = self.clock.now();
        let state = self.state();
        let (own, time) = (state.tally.counts(window), state.time.at(now));
        state.collection.total(windows, window, own, lives, time)
    }

    fn note_window(&self, window: Window, outcome: &'static str) {
        let mut state = self.state();
        if state.shown.len() == SHOWN {
            state.shown.pop_front();
        }
        state.shown.push_back((window, outcome));
    }

    /// The last windows that this node has brought to an end, and what became of them.
    pub fn last_windows(&self) -> Vec<(Window, &'static str)> {
        self.state().shown.iter().copied().collect()
    }

    /// Takes a datagram of another node.
    pub async fn take(
        &self,
        socket: &UdpSocket,
        from: SocketAddr,
        bytes: &[u8],
        metrics: &Metrics,
    ) {
        metrics.usage_bytes.with_label_values(&["received"]).inc_by(bytes.len() as u64);
        let datagram = match Datagram::decode(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::warn!(peer:% = from, error:% = error; "usage of a node is not taken");
                return;
            }
        };
        match datagram.body {
            Body::Acknowledged(number) => self.state().tally.acknowledge(&datagram.sender, number),
            Body::Counts(message) => {
                let (number, now) = (message.number, self.time_at(self.clock.now()));
                self.state().collection.take(&datagram.sender, message, now);
                let body = Body::Acknowledged(number);
                let answer = Datagram { sender: self.me.clone(), body };
                exchange::transmit(socket, from, &answer, metrics).await;
            }
        }
    }
}
