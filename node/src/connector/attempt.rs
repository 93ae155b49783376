//! One attempt to connect to a runner.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt as _};
use sardinepick_lib::fleet::reachability::{Action, Dial, MAX_RELAYS, Outcome};
use sardinepick_lib::id::NodeId;
use smallvec::SmallVec;
use tokio::time::sleep;

use super::{Connector, Destination, Peer};
use crate::relay;
use crate::serve::connection::{CONNECT_TIMEOUT, Link, SendError, Way};
use crate::serve::dial::{Failure, Stream};

type Connecting<'a, E> = BoxFuture<'a, Result<Box<dyn Stream>, E>>;

/// How a connect through a peer ended.
struct Relayed {
    peer: Peer,
    result: Result<Box<dyn Stream>, relay::Error>,
}

/// The connects of one attempt that are in progress.
struct Attempt<'a> {
    connector: &'a Connector,
    destination: Destination<'a>,
    direct: Option<Connecting<'a, std::io::Error>>,
    relays: FuturesUnordered<BoxFuture<'a, Relayed>>,
    /// The peers that have been asked and have not answered.
    awaited: SmallVec<[NodeId; MAX_RELAYS]>,
    /// The peers that have not been asked; `None` until one is needed.
    peers: Option<SmallVec<[Peer; MAX_RELAYS]>>,
    was_peer_asked: bool,
    /// The errors so far.
    errors: Vec<String>,
}

/// What has happened while an attempt waited.
enum Event {
    Direct(Result<Box<dyn Stream>, std::io::Error>),
    Relay(Relayed),
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
                    if !attempt.ask_next_peer(dial.left(self.now())) {
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
                Some(relayed) = attempt.relays.next() => Event::Relay(relayed),
                () = sleep(wait) => Event::Timer,
            };
            match event {
                Event::Direct(Ok(stream)) => return attempt.use_direct(stream).await,
                Event::Direct(Err(error)) => {
                    attempt.direct = None;
                    attempt.errors.push(error.to_string());
                    dial.note_direct_failed();
                }
                Event::Relay(Relayed { peer, result: Ok(stream) }) => {
                    return attempt.use_relay(&dial, peer, stream).await;
                }
                Event::Relay(Relayed { peer, result: Err(error) }) => {
                    attempt.errors.push(error.to_string());
                    attempt.awaited.retain(|id| *id != peer.id);
                    attempt.note_peer_failed(&peer.id);
                    dial.note_relay_failed();
                }
                Event::Timer => {}
            }
        }
    }
}

impl<'a> Attempt<'a> {
    fn new(connector: &'a Connector, destination: Destination<'a>) -> Self {
        let (direct, relays, awaited) = Default::default();
        let (peers, was_peer_asked, errors) = Default::default();
        Self { connector, destination, direct, relays, awaited, peers, was_peer_asked, errors }
    }

    fn address(&self) -> SocketAddr {
        self.destination.address
    }

    fn connect_directly(&mut self) {
        let (connections, address) = (&self.connector.handles.connections, self.address());
        self.direct = Some(Box::pin(connections.dial(address, CONNECT_TIMEOUT)));
    }

    /// Asks the next peer to connect within `limit`; false if there is none. The peers before count
    /// as failed until they answer, so that other attempts ask others first.
    fn ask_next_peer(&mut self, limit: Duration) -> bool {
        let (connector, Destination { runner, address }) = (self.connector, self.destination);
        let peers = self.peers.get_or_insert_with(|| connector.choose_peers(address));
        if peers.is_empty() {
            return false;
        }
        let peer = peers.remove(0);
        self.note_awaited_peers_failed();
        self.awaited.push(peer.id.clone());
        self.was_peer_asked = true;
        self.relays.push(Box::pin(async move {
            let relays = &connector.handles.relays;
            let opened = relays.open(peer.address, runner, address, limit).await;
            Relayed { peer, result: opened.map(|stream| Box::new(stream) as Box<dyn Stream>) }
        }));
        true
    }

    fn note_awaited_peers_failed(&self) {
        self.awaited.iter().for_each(|peer| self.note_peer_failed(peer));
    }

    fn note_peer_failed(&self, peer: &NodeId) {
        let (address, now) = (self.address(), self.connector.now());
        self.connector.reachability().note_relay_failed(peer, address, now);
    }

    async fn use_direct(self, stream: Box<dyn Stream>) -> Result<Link, SendError> {
        let (address, now) = (self.address(), self.connector.now());
        self.connector.update(|reachability| {
            reachability.note_outcome(address, Outcome::Open, now);
        });
        self.connector.handles.connections.establish(address, Way::Direct, stream).await
    }

    async fn use_relay(
        self,
        dial: &Dial,
        peer: Peer,
        stream: Box<dyn Stream>,
    ) -> Result<Link, SendError> {
        let (address, now) = (self.address(), self.connector.now());
        let outcome = dial.relayed(now);
        let connections = &self.connector.handles.connections;
        if self.direct.is_some() && outcome.is_some() {
            connections.note_connect_failed(address, Failure::Timeout);
        }
        self.connector.update(|reachability| {
            reachability.note_relayed(&peer.id, address, now);
            if let Some(outcome) = outcome {
                reachability.note_outcome(address, outcome, now);
            }
        });
        let mut link = connections.establish(address, Way::Relayed, stream).await?;
        link.peer = Some(peer.id);
        Ok(link)
    }

    fn give_up(mut self, dial: &Dial) -> SendError {
        if self.direct.is_some() {
            self.errors.push(format!("no answer within {CONNECT_TIMEOUT:?}"));
            let connections = &self.connector.handles.connections;
            connections.note_connect_failed(self.address(), Failure::Timeout);
        }
        self.note_awaited_peers_failed();
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
async fn ended<E>(connecting: &mut Option<Connecting<'_, E>>) -> Result<Box<dyn Stream>, E> {
    match connecting {
        Some(connecting) => connecting.await,
        None => std::future::pending().await,
    }
}
