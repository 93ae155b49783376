//! One attempt to connect to a runner.

use std::net::SocketAddr;

use futures_util::future::BoxFuture;
use sardinepick_lib::fleet::reachability::{Action, Dial, MAX_RELAYS, Outcome, RELAY_TIMEOUT};
use smallvec::SmallVec;
use tokio::time::sleep;

use super::{Connector, Destination, Peer};
use crate::relay;
use crate::serve::connection::{CONNECT_TIMEOUT, Link, SendError, Way};
use crate::serve::dial::{Failure, Stream};

type Connecting<'a, E> = Option<BoxFuture<'a, Result<Box<dyn Stream>, E>>>;

/// The connects of one attempt that are in progress.
struct Attempt<'a> {
    connector: &'a Connector,
    destination: Destination<'a>,
    direct: Connecting<'a, std::io::Error>,
    relay: Connecting<'a, relay::Error>,
    /// The peer that was asked last.
    peer: Option<Peer>,
    /// The peers that have not been asked; `None` until one is needed.
    peers: Option<SmallVec<[Peer; MAX_RELAYS]>>,
    was_peer_asked: bool,
    /// The errors so far.
    errors: Vec<String>,
}

/// What has happened while an attempt waited.
enum Event {
    Direct(Result<Box<dyn Stream>, std::io::Error>),
    Relay(Result<Box<dyn Stream>, relay::Error>),
    Timer,
}

impl Connector {
    /// Connects to a runner. The first connection that is established is used.
    pub(super) async fn connect(&self, destination: Destination<'_>) -> Result<Link, SendError> {
        let path = self.path(destination.address);
        let mut dial = Dial::new(path, MAX_RELAYS, CONNECT_TIMEOUT, self.now());
        let mut attempt = Attempt::new(self, destination);
        loop {
            let until = match dial.poll(self.now()) {
                Action::Direct => {
                    attempt.connect_directly();
                    continue;
                }
                Action::Relay => {
                    if !attempt.ask_next_peer() {
                        dial.note_relay_failed();
                    }
                    continue;
                }
                Action::GiveUp => return Err(attempt.give_up(&dial)),
                Action::Wait(until) => until,
            };
            let wait = until.saturating_duration_since(self.now());
            let event = tokio::select! {
                biased;
                connected = ended(&mut attempt.direct) => Event::Direct(connected),
                connected = ended(&mut attempt.relay) => Event::Relay(connected),
                () = sleep(wait) => Event::Timer,
            };
            match event {
                Event::Direct(Ok(stream)) => return attempt.use_direct(stream).await,
                Event::Direct(Err(error)) => {
                    attempt.direct = None;
                    attempt.errors.push(error.to_string());
                    dial.note_direct_failed();
                }
                Event::Relay(Ok(stream)) => return attempt.use_relay(&dial, stream).await,
                Event::Relay(Err(error)) => {
                    attempt.note_peer_failed(Some(&error));
                    dial.note_relay_failed();
                }
                Event::Timer => {}
            }
        }
    }
}

impl<'a> Attempt<'a> {
    fn new(connector: &'a Connector, destination: Destination<'a>) -> Self {
        let (direct, relay, peer, peers) = Default::default();
        let (was_peer_asked, errors) = Default::default();
        Self { connector, destination, direct, relay, peer, peers, was_peer_asked, errors }
    }

    fn address(&self) -> SocketAddr {
        self.destination.address
    }

    fn connect_directly(&mut self) {
        let (connections, address) = (&self.connector.handles.connections, self.address());
        self.direct = Some(Box::pin(connections.dial(address, CONNECT_TIMEOUT)));
    }

    /// Asks the next peer instead of the one before; false if there is none.
    fn ask_next_peer(&mut self) -> bool {
        if self.relay.is_some() {
            self.note_peer_failed(None);
        }
        let (connector, Destination { runner, address }) = (self.connector, self.destination);
        let peers = self.peers.get_or_insert_with(|| connector.choose_peers(address));
        if peers.is_empty() {
            return false;
        }
        let peer = peers.remove(0);
        let peer_address = peer.address;
        self.peer = Some(peer);
        self.was_peer_asked = true;
        self.relay = Some(Box::pin(async move {
            let relays = &connector.handles.relays;
            let stream = relays.open(peer_address, runner, address, RELAY_TIMEOUT).await?;
            Ok(Box::new(stream) as Box<dyn Stream>)
        }));
        true
    }

    /// Records that the peer that was asked last has not connected; without an error if it has not
    /// answered.
    fn note_peer_failed(&mut self, error: Option<&relay::Error>) {
        self.relay = None;
        if let Some(error) = error {
            self.errors.push(error.to_string());
        }
        if let Some(peer) = self.peer.take() {
            let (address, now) = (self.address(), self.connector.now());
            self.connector.reachability().note_relay_failed(&peer.id, address, now);
        }
    }

    async fn use_direct(self, stream: Box<dyn Stream>) -> Result<Link, SendError> {
        let (address, now) = (self.address(), self.connector.now());
        self.connector.update(|reachability| {
            reachability.note_outcome(address, Outcome::Open, now);
        });
        self.connector.handles.connections.establish(address, Way::Direct, stream).await
    }

    async fn use_relay(self, dial: &Dial, stream: Box<dyn Stream>) -> Result<Link, SendError> {
        let (address, now) = (self.address(), self.connector.now());
        let outcome = dial.relayed(now);
        let connections = &self.connector.handles.connections;
        if self.direct.is_some() && outcome.is_some() {
            connections.note_connect_failed(address, Failure::Timeout);
        }
        self.connector.update(|reachability| {
            if let Some(peer) = &self.peer {
                reachability.note_relayed(&peer.id, address, now);
            }
            if let Some(outcome) = outcome {
                reachability.note_outcome(address, outcome, now);
            }
        });
        let mut link = connections.establish(address, Way::Relayed, stream).await?;
        link.peer = self.peer.map(|peer| peer.id);
        Ok(link)
    }

    fn give_up(mut self, dial: &Dial) -> SendError {
        if self.direct.is_some() {
            self.errors.push(format!("no answer within {CONNECT_TIMEOUT:?}"));
            let connections = &self.connector.handles.connections;
            connections.note_connect_failed(self.address(), Failure::Timeout);
        }
        if self.relay.is_some() {
            self.note_peer_failed(None);
        }
        let (address, now) = (self.address(), self.connector.now());
        let outcome = dial.gave_up().filter(|_| self.was_peer_asked);
        let timed_out = dial.timed_out(now);
        self.connector.update(|reachability| {
            if let Some(since) = timed_out {
                reachability.note_timed_out(address, since, now);
            }
            match outcome {
                Some(outcome) => reachability.note_outcome(address, outcome, now),
                None => reachability.note_direct_failed(address, now),
            }
        });
        let (detail, has_timed_out) = (self.errors.join("; "), timed_out.is_some());
        SendError::Connect { peer: address, detail, has_timed_out }
    }
}

/// Waits for the end of a connect; forever if none is in progress.
async fn ended<E>(connecting: &mut Connecting<'_, E>) -> Result<Box<dyn Stream>, E> {
    match connecting {
        Some(connecting) => connecting.await,
        None => std::future::pending().await,
    }
}
