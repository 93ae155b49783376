//! Counting the requests of each client account, and collecting the counts of all nodes.

pub mod report;
pub mod sender;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::id::{AccountId, NodeId, Window};
use sardinepick_lib::usage::collection::{Collection, NodeLifetime, Total};
use sardinepick_lib::usage::tally::{Message, NodeInstance, Tally};
use sardinepick_lib::usage::window::Windows;
use sardinepick_lib::wall_clock::Estimate;
use sardinepick_wire::usage::{Body, Usage as Datagram};
use tokio::net::UdpSocket;

use crate::serve::metrics::Metrics;

/// How many recent windows are shown to operators.
const MAX_RECENT_WINDOWS: usize = 8;

#[derive(Debug)]
struct State {
    /// The windows that this node has closed most recently, oldest first, with their outcomes.
    recent_windows: VecDeque<(Window, &'static str)>,
    tally: Tally,
    collection: Collection,
    time: Estimate,
}

/// The counts of one node, and those that it has collected from others.
pub struct Usage {
    me: NodeInstance,
    windows: Option<Windows>,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

impl Usage {
    /// Creates empty counts. `window` is the length of a window; `None` if usage is not counted.
    pub fn new(me: NodeInstance, window: Option<Duration>, clock: Arc<dyn Clock>) -> Self {
        let time = Estimate::new(clock.now(), clock.wall());
        let collection = Collection::new(me.clone(), time.at(clock.now()));
        let state =
            State { recent_windows: VecDeque::new(), tally: Tally::default(), collection, time };
        Self { me, windows: window.map(Windows::new), clock, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The windows; `None` if usage is not counted.
    pub fn windows(&self) -> Option<Windows> {
        self.windows
    }

    /// The estimate of the true time at `now`, since the Unix epoch.
    pub fn time_at(&self, now: Instant) -> Duration {
        self.state().time.at(now)
    }

    /// Takes another node's estimate of the true time into account.
    pub fn note_peer_time(&self, node: &NodeId, time: Duration, now: Instant) {
        let moved = self.state().time.observe_peer(now, node, time);
        if let Some(seconds) = moved {
            log::warn!(by_s = seconds; "this node's time was off; that of the others is taken");
        }
    }

    /// Counts a request that starts to run, if it belongs to an account.
    pub fn count_request(&self, account: Option<&AccountId>) {
        let (Some(windows), Some(account)) = (self.windows, account) else { return };
        let now = self.clock.now();
        let mut state = self.state();
        let window = windows.at(state.time.at(now));
        state.tally.record_request(window, account);
    }

    /// Records that this node counts no more requests.
    fn close(&self) {
        self.state().tally.close();
    }

    /// Whether all counts of this node, which has closed, have been delivered.
    fn is_delivered(&self) -> bool {
        self.windows.is_none() || self.state().tally.is_delivered()
    }

    /// Advances to the current window, and returns the messages to send to each collector.
    fn pending_messages(
        &self,
        windows: Windows,
        collectors: &[NodeInstance],
        lifetimes: &[NodeLifetime],
    ) -> Vec<Vec<Message>> {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let mut state = self.state();
        let state = &mut *state;
        state.time.observe_wall_clock(now, wall);
        let newest = windows.at(state.time.at(now));
        state.collection.update_lifetimes(newest, lifetimes);
        let others = || collectors.iter().filter(|collector| **collector != self.me);
        state.tally.begin_round(newest, &others().cloned().collect::<Vec<_>>());
        let messages = |collector: &NodeInstance| state.tally.messages(collector);
        collectors.iter().map(messages).collect()
    }

    /// The total of a window, as far as this node knows it.
    fn total(&self, windows: Windows, window: Window, lifetimes: &[NodeLifetime]) -> Total {
        let now = self.clock.now();
        let state = self.state();
        let (own, time) = (state.tally.counts(window), state.time.at(now));
        state.collection.total(windows, window, own, lifetimes, time)
    }

    fn note_window(&self, window: Window, outcome: &'static str) {
        let mut state = self.state();
        if state.recent_windows.len() == MAX_RECENT_WINDOWS {
            state.recent_windows.pop_front();
        }
        state.recent_windows.push_back((window, outcome));
    }

    /// The windows that this node has closed most recently, oldest first, with their outcomes.
    pub fn last_windows(&self) -> Vec<(Window, &'static str)> {
        self.state().recent_windows.iter().copied().collect()
    }

    /// Handles a datagram of another node.
    pub async fn handle_datagram(
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
                log::warn!(peer:% = from, error:% = error; "malformed usage datagram dropped");
                return;
            }
        };
        match datagram.body {
            Body::Acknowledged(number) => self.state().tally.acknowledge(&datagram.sender, number),
            Body::Counts(message) => {
                let (number, now) = (message.number, self.time_at(self.clock.now()));
                self.state().collection.apply(&datagram.sender, message, now);
                let body = Body::Acknowledged(number);
                let answer = Datagram { sender: self.me.clone(), body };
                sender::transmit(socket, from, &answer, metrics).await;
            }
        }
    }
}
