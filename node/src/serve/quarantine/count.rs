//! Counting the ends of runners under requests, with the nodes that count them for all.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::quarantine::Stage;
use sardinepick_lib::fleet::suspect::{
    COUNTING_NODES, RunProgress, RunnerEnd, choose_counting_nodes,
};
use sardinepick_lib::id::NodeId;
use sardinepick_wire::schedule::Schedule;
use smallvec::SmallVec;
use tokio::time::timeout;

use super::{State, note_stage, set};
use crate::serve::crash;
use crate::serve::request::Request;
use crate::serve::scheduler::transmit;
use crate::serve::shared::Shared;
use crate::serve::ticket::Ticket;

/// How long a node that counts has to answer, each time it is told.
const PATIENCE: Duration = Duration::from_millis(15);
/// How often it is told. One datagram can be lost; one that comes twice counts once.
const TRIES: u32 = 2;

/// Notes that a call broke off. Gives how many ends of runners count against its request by now; none
/// if the runner has not ended.
pub async fn note_broken(
    shared: &Shared,
    ticket: &Ticket,
    request: &Request,
    progress: RunProgress,
) -> usize {
    let Some(incarnation) = crash::detect(shared, ticket, request, progress).await else {
        return 0;
    };
    let end = RunnerEnd { incarnation, progress };
    let fingerprint = request.fingerprint;
    let here = count(shared, fingerprint, end);
    let peers = counting_nodes(shared, &fingerprint).into_iter().flatten();
    let others = join_all(peers.map(|peer| tell(shared, peer, fingerprint, end))).await;
    let ends = others.into_iter().flatten().map(|ends| ends as usize).fold(here, usize::max);
    log::info!(
        request:% = request.id, fingerprint:% = fingerprint, ends = ends, here = here;
        "ends of runners under a request counted"
    );
    ends
}

/// Counts an end, and proposes the request if there are enough.
fn count(shared: &Shared, request: Fingerprint, end: RunnerEnd) -> usize {
    let now = shared.clock.now();
    let mut state = shared.keeper.state();
    let ends = state.suspects.note(request, end, now);
    let State { suspects, quarantine, .. } = &mut *state;
    let proposed = suspects.get(&request).and_then(|s| quarantine.propose(request, s, now));
    if let Some(entry) = proposed {
        // Nobody hears of a proposal that this node can itself object to.
        let objects = state.quarantine.contradicts(&entry);
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
async fn tell(
    shared: &Shared,
    peer: SocketAddr,
    request: Fingerprint,
    end: RunnerEnd,
) -> Option<u32> {
    for _ in 0..TRIES {
        let (number, answer) = shared.keeper.state().questions.register();
        transmit(shared, peer, &Schedule::Ended { number, request, end }).await;
        let answer = timeout(PATIENCE, answer).await;
        shared.keeper.state().questions.cancel(number);
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
    end: RunnerEnd,
) {
    let ends = u32::try_from(count(shared, request, end)).unwrap_or(u32::MAX);
    transmit(shared, from, &Schedule::Counted { number, ends }).await;
}

/// Takes the answer of a node that counts.
pub fn take_counted(shared: &Shared, number: u64, ends: u32) {
    shared.keeper.state().questions.resolve(number, ends);
}

/// The nodes that count a request's ends, the first of them first: where each is reached, or none for
/// this one.
fn counting_nodes(
    shared: &Shared,
    request: &Fingerprint,
) -> SmallVec<[Option<SocketAddr>; COUNTING_NODES]> {
    let roster = shared.roster();
    let fronts = roster.ready_contacts();
    let nodes = fronts.iter().map(|contact| &contact.id).chain([&shared.me.id]);
    let peer = |id: &NodeId| fronts.iter().find(|c| c.id == *id).map(|c| c.peer);
    choose_counting_nodes(request, nodes).into_iter().map(peer).collect()
}

/// Whether this node is the first of those that count a request's ends.
pub(super) fn counts_first(shared: &Shared, request: &Fingerprint) -> bool {
    counting_nodes(shared, request).first() == Some(&None)
}
