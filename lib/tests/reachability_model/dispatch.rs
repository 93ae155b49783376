//! Sending the requests of a node to runners.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt as _;
use sardinepick_lib::fleet::reachability::{Action, Dial, Outcome, Path};

use crate::connection::Connection;
use crate::request::{Connect, Dialing, Kind, Request, SILENCE, Started, State};
use crate::site::{Answers, Link, ticks};
use crate::world::{Node, Policy, World, address};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The time between a failed attempt to connect and the next one.
const RETRY_PAUSE: usize = ticks(50);
/// How long connections are kept idle.
const IDLE_TIMEOUT: usize = ticks(10_000);
/// The time between two events of a stream.
const EVENT_GAP: usize = ticks(50);
/// For how long a way must not have changed.
const SETTLED: usize = ticks(3_000);
/// How long after a heal nodes use direct connections again.
const DIRECT_AGAIN: usize = ticks(1_500);
/// How long the cause of a closed path may lie back.
const CAUSE: usize = ticks(1_000);
/// When paths are unverified after the second of them was closed.
const SUSPECTED: usize = ticks(1_000);
/// How long other nodes ask a node that has ended.
const ROSTER_DELAY: usize = ticks(1_000);

impl World {
    pub fn step_request(&mut self, node: usize, request: &mut Request, now: usize) {
        if now >= request.deadline {
            self.note_way(node, request, now);
            return self.fail(node, request, now);
        }
        if matches!(request.state, State::Choosing) {
            self.choose(node, request, now);
        }
        if matches!(request.state, State::Dialing(_)) {
            self.step_dialing(node, request, now);
        }
        if matches!(request.state, State::Sent { .. }) {
            self.step_sent(node, request, now);
        }
    }

    /// Chooses a runner, and a pooled connection to it if there is one.
    fn choose(&mut self, node: usize, request: &mut Request, now: usize) {
        if now < request.not_before {
            return;
        }
        let runners = 0..self.site.runners.len();
        let last = runners.end - 1;
        let registered = runners.filter(|r| self.site.runners[*r].at(now).is_registered);
        let drawn = registered.map(|r| {
            let is_preferred = (r == last) == request.prefers_last;
            (request.tries[r], !is_preferred, self.rng.random::<u32>(), r)
        });
        let Some((.., runner)) = drawn.min() else { return };
        request.tries[runner] += 1;
        let generation = self.site.runners[runner].at(now).generation;
        let path = self.path(node, runner, now);
        if let Some(connection) = self.take_idle(node, runner, path == Path::Closed, now) {
            return self.send(node, request, generation, connection, now);
        }
        let peers = self.relays(node, runner, now);
        let dial = Dial::new(path, peers.len(), CONNECT_TIMEOUT, self.at(now));
        self.stats.dials += 1;
        let (direct, relays) = (None, Vec::new());
        let dialing = Dialing { dial, runner, generation, direct, relays, peers };
        request.state = State::Dialing(Box::new(dialing));
    }

    fn relays(&mut self, node: usize, runner: usize, now: usize) -> VecDeque<usize> {
        if self.policy == Policy::DirectOnly {
            return VecDeque::new();
        }
        let earlier = now.saturating_sub(ROSTER_DELAY);
        let is_present = |peer: &usize| !self.site.nodes[*peer].stays(None, earlier, now);
        let peers = (0..self.nodes.len()).filter(|peer| *peer != node).filter(is_present);
        let candidates = peers.map(|peer| &self.names[peer]);
        let at = self.at(now);
        let reachability = &mut self.nodes[node].reachability;
        let chosen = reachability.relays(address(runner), candidates, at, &mut self.rng);
        let index = |name| self.names.iter().position(|other| other == name).expect("known");
        chosen.iter().map(index).collect()
    }

    /// Takes a pooled connection, and drops those that must not be used again.
    fn take_idle(
        &mut self,
        node: usize,
        runner: usize,
        is_relayed: bool,
        now: usize,
    ) -> Option<Connection> {
        let mut idle = std::mem::take(&mut self.nodes[node].idle[runner]);
        idle.retain(|connection| {
            let may_reuse = match self.policy {
                Policy::DirectOnly | Policy::ReuseUnverified => true,
                _ if connection.peer.is_some() => true,
                _ => {
                    let idle_since = self.at(connection.idle_since);
                    self.nodes[node].reachability.may_reuse(
                        address(runner),
                        idle_since,
                        self.at(now),
                    )
                }
            };
            let is_expired = now >= connection.idle_since + IDLE_TIMEOUT;
            may_reuse && !is_expired && !connection.is_broken(node, &self.site, now)
        });
        let is_wanted = |connection: &Connection| connection.peer.is_some() == is_relayed;
        let index = idle.iter().position(is_wanted);
        let taken = index.and_then(|index| idle.remove(index));
        self.nodes[node].idle[runner] = idle;
        taken
    }

    fn step_dialing(&mut self, node: usize, request: &mut Request, now: usize) {
        let State::Dialing(mut dialing) = std::mem::replace(&mut request.state, State::Choosing)
        else {
            return;
        };
        if let Some(connection) = self.end_connects(node, &mut dialing, now) {
            return self.send(node, request, dialing.generation, connection, now);
        }
        loop {
            match dialing.dial.poll(self.at(now)) {
                Action::Direct => {
                    dialing.direct = Some(self.connect(node, dialing.runner, now));
                }
                Action::Relay => self.ask_next(node, &mut dialing, now),
                Action::Wait(until) => {
                    assert!(until > self.at(now), "waits for the past");
                    request.state = State::Dialing(dialing);
                    return;
                }
                Action::GiveUp => {
                    request.not_before = now + RETRY_PAUSE;
                    match dialing.dial.gave_up() {
                        Some(outcome) => self.note_outcome(node, dialing.runner, outcome, now),
                        None => {
                            let (at, address) = (self.at(now), address(dialing.runner));
                            self.nodes[node].reachability.note_direct_failed(address, at);
                        }
                    }
                    if self.policy == Policy::CloseWithoutPeer {
                        let since = self.at(now);
                        self.note_outcome(node, dialing.runner, Outcome::Closed { since }, now);
                    }
                    return;
                }
            }
        }
    }

    /// Asks the next peer. The ones before count as failed until they answer.
    fn ask_next(&mut self, node: usize, dialing: &mut Dialing, now: usize) {
        for overdue in &dialing.relays {
            self.note_relay_failed(node, &overdue.connection, now);
        }
        let peer = dialing.peers.pop_front().expect("the dial knows their number");
        dialing.relays.push(self.ask(node, peer, dialing.runner, now));
    }

    /// Records that a peer has failed, and drops the idle connections through it.
    fn note_relay_failed(&mut self, node: usize, connection: &Connection, now: usize) {
        let (at, runner) = (self.at(now), connection.runner);
        let (peer, _) = connection.peer.expect("it is through a peer");
        let Node { reachability, idle, noticed, .. } = &mut self.nodes[node];
        noticed.insert((Some(peer), runner), now);
        reachability.note_relay_failed(&self.names[peer], address(runner), at);
        idle[runner].retain(|idle| idle.peer.is_none_or(|(other, _)| other != peer));
    }

    /// Records connects that have ended, and returns the first connection.
    fn end_connects(
        &mut self,
        node: usize,
        dialing: &mut Dialing,
        now: usize,
    ) -> Option<Connection> {
        let (at, runner) = (self.at(now), dialing.runner);
        if let Some(started) = dialing.direct
            && let Some(connect) = started.ended(now)
        {
            if connect == Connect::Connected {
                self.note_outcome(node, runner, Outcome::Open, now);
                return Some(started.connection);
            }
            dialing.direct = None;
            dialing.dial.note_direct_failed();
            self.nodes[node].reachability.note_direct_failed(address(runner), at);
        }
        let ended = dialing.relays.extract_if(.., |started| started.ended(now).is_some());
        let ended: Vec<Started> = ended.collect();
        for started in ended {
            if started.connect == Connect::Connected {
                self.note_relayed(node, dialing, started.connection, now);
                return Some(started.connection);
            }
            dialing.dial.note_relay_failed();
            self.note_relay_failed(node, &started.connection, now);
        }
        None
    }

    fn note_relayed(&mut self, node: usize, dialing: &Dialing, connection: Connection, now: usize) {
        let (at, runner) = (self.at(now), dialing.runner);
        let (peer, _) = connection.peer.expect("it is through a peer");
        self.nodes[node].reachability.note_relayed(&self.names[peer], address(runner), at);
        if let Some(outcome) = dialing.dial.relayed(at) {
            self.note_outcome(node, runner, outcome, now);
        }
    }

    fn note_outcome(&mut self, node: usize, runner: usize, outcome: Outcome, now: usize) {
        let at = self.at(now);
        let earlier = now.saturating_sub(CAUSE);
        let is_sound = self.site.links[node][runner].stays(Link::Up, earlier, now)
            && self.site.loss[node][runner] == 0.0
            && self.site.runners[runner].is_stable(earlier, now);
        if matches!(outcome, Outcome::Closed { .. }) && is_sound {
            self.violations.push(format!("node {node} closes a path that was not interrupted"));
        }
        let Node { reachability, closed_second_at, .. } = &mut self.nodes[node];
        let before = reachability.closed();
        reachability.note_outcome(address(runner), outcome, at);
        if before > 0 && reachability.closed() > before {
            *closed_second_at = Some(now);
        }
    }

    fn send(
        &mut self,
        node: usize,
        request: &mut Request,
        generation: u32,
        connection: Connection,
        now: usize,
    ) {
        let runner = self.site.runners[connection.runner].at(now);
        let has_left = !runner.is_registered || runner.generation != generation;
        if has_left && self.policy != Policy::NoLookBeforeSending {
            request.state = State::Choosing;
            return;
        }
        if has_left {
            self.violations.push("sent to a runner that has left".to_owned());
        }
        if connection.peer.is_some() {
            self.stats.relayed += 1;
            self.check_direct_again(node, connection.runner, now);
        }
        if let Some(since) = connection.dead_since(node, &self.site, now) {
            // A new connection was alive when its connect began.
            let was_idle = connection.idle_since > connection.established;
            let could_know = was_idle && self.could_know(node, &connection, since, now);
            request.is_excused |= !could_know;
            if could_know {
                self.violations.push(format!("node {node} sends on a dead connection"));
            }
        }
        request.state = State::Sent { connection, at: now, delivered: None, heard: now };
    }

    fn check_direct_again(&mut self, node: usize, runner: usize, now: usize) {
        let Some(from) = now.checked_sub(DIRECT_AGAIN) else { return };
        if self.site.links[node][runner].stays(Link::Up, from, now)
            && self.site.loss[node][runner] == 0.0
            && self.site.runners[runner].is_stable(from, now)
            && self.site.runners[runner].at(now).answers == Answers::Accepts
            && self.site.nodes[node].is_stable(from, now)
        {
            self.violations.push(format!("node {node} still through a peer after a heal"));
        }
    }

    /// Whether a node can know that a connection has been dead `since`.
    fn could_know(&self, node: usize, connection: &Connection, since: usize, now: usize) -> bool {
        let peer = connection.peer.map(|(peer, _)| peer);
        let noticed = self.nodes[node].noticed.get(&(peer, connection.runner));
        let suspected = self.nodes[node].closed_second_at.filter(|at| now >= at + SUSPECTED);
        let suspected = suspected.filter(|_| peer.is_none());
        noticed.copied().max(suspected) >= Some(since)
    }

    fn step_sent(&mut self, node: usize, request: &mut Request, now: usize) {
        let State::Sent { connection, delivered, heard, .. } = &mut request.state else { return };
        let (mut connection, site) = (*connection, &self.site);
        let may_repeat = request.kind != Kind::AtMostOnce || self.policy == Policy::RepeatBroken;
        if connection.is_broken(node, site, now) {
            self.note_way(node, request, now);
            match may_repeat {
                true => request.state = State::Choosing,
                false => self.fail(node, request, now),
            }
            return;
        }
        if delivered.is_none() && connection.passes_forward(node, site, now) {
            *delivered = Some(now);
            request.runs += 1;
            if request.kind == Kind::AtMostOnce && request.runs > 1 {
                self.violations.push("ran twice".to_owned());
            }
        }
        let is_done = delivered.is_some_and(|at| now >= at + request.work);
        let is_event_due = now >= *heard + EVENT_GAP && request.kind == Kind::Resumable;
        let is_streaming = delivered.is_some() && is_event_due;
        if connection.passes_back(node, site, now) && (is_done || is_streaming) {
            *heard = now;
            if connection.peer.is_none() {
                let at = self.at(now);
                self.nodes[node].reachability.note_received(address(connection.runner), at);
            }
            if is_done {
                connection.idle_since = now;
                self.nodes[node].idle[connection.runner].push_back(connection);
                self.stats.answered += 1;
                request.state = State::Ended;
            }
            return;
        }
        if now - *heard == SILENCE {
            match connection.peer {
                Some(_) => self.note_relay_failed(node, &connection, now),
                None => {
                    let at = self.at(now);
                    let Node { reachability, noticed, .. } = &mut self.nodes[node];
                    reachability.note_silent(address(connection.runner), at);
                    noticed.insert((None, connection.runner), now);
                }
            }
            if may_repeat {
                self.note_way(node, request, now);
                request.state = State::Choosing;
            }
        }
    }

    /// Records whether the way of a request that is not answered has changed.
    fn note_way(&self, node: usize, request: &mut Request, now: usize) {
        if let State::Sent { connection, at, .. } = &request.state {
            let from = at.saturating_sub(SETTLED);
            request.is_excused |= !connection.is_stable(node, &self.site, from, now);
        }
    }

    fn fail(&mut self, node: usize, request: &mut Request, now: usize) {
        self.stats.failed += 1;
        self.stats.excused += u64::from(request.is_excused);
        let from = request.arrived.saturating_sub(SETTLED);
        if !request.is_excused && self.could_deliver(node, from, now) {
            let (kind, arrived) = (request.kind, request.arrived);
            self.violations.push(format!(
                "node {node}: {kind:?} of tick {arrived} could have been delivered, tries {:?}",
                request.tries
            ));
        }
        request.state = State::Ended;
    }

    /// Whether a runner could have been reached all the time, directly or through a peer.
    fn could_deliver(&self, node: usize, from: usize, to: usize) -> bool {
        let site = &self.site;
        if !site.nodes[node].is_stable(from, to) {
            return false;
        }
        (0..site.runners.len()).any(|runner| {
            let state = site.runners[runner].at(to);
            let is_serving = state.is_registered && state.answers == Answers::Accepts;
            let reaches = |node: usize| {
                site.links[node][runner].stays(Link::Up, from, to) && site.loss[node][runner] == 0.0
            };
            let relays = |peer: usize| {
                peer != node
                    && site.nodes[peer].at(to).is_some()
                    && site.nodes[peer].is_stable(from, to)
                    && site.peer_links[node][peer].stays(Link::Up, from, to)
                    && reaches(peer)
            };
            let is_stable = site.runners[runner].is_stable(from, to);
            is_serving && is_stable && (reaches(node) || (0..site.nodes.len()).any(relays))
        })
    }
}
