//! Counting runner crashes per request, together with the nodes that are responsible for its
//! counts.

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

use super::{State, note_stage, set_stage};
use crate::serve::crash;
use crate::serve::request::Request;
use crate::serve::reservation::Reservation;
use crate::serve::scheduler::transmit;
use crate::serve::shared::Shared;

/// The reply timeout of a crash report, for each attempt.
const REPLY_TIMEOUT: Duration = Duration::from_millis(15);
/// How often a crash report is sent. A datagram can be lost; duplicates count once.
const SEND_ATTEMPTS: u32 = 2;

/// Handles a call that broke off, which was a trial if `is_trial` is set. Returns how many crashes
/// count against its request so far; 0 if the runner's process has not ended.
pub async fn note_broken(
    shared: &Shared,
    reservation: &Reservation,
    request: &Request,
    progress: RunProgress,
    is_trial: bool,
) -> usize {
    let Some(incarnation) = crash::detect(shared, reservation, request, progress, is_trial).await
    else {
        return 0;
    };
    note_end(shared, request, RunnerEnd { incarnation, progress, is_trial }).await
}

/// Handles the end of a runner under a request. Returns how many crashes count against the request
/// so far.
pub async fn note_end(shared: &Shared, request: &Request, end: RunnerEnd) -> usize {
    let fingerprint = request.fingerprint;
    let local = count(shared, fingerprint, end);
    let peers = counting_nodes(shared, &fingerprint).into_iter().flatten();
    let others = join_all(peers.map(|peer| report(shared, peer, fingerprint, end))).await;
    let crashes =
        others.into_iter().flatten().map(|crashes| crashes as usize).fold(local, usize::max);
    log::info!(
        request:% = request.id, fingerprint:% = fingerprint, ends = crashes, here = local;
        "ends of runners under a request counted"
    );
    crashes
}

/// Counts a crash, and proposes the request for quarantine if there are enough.
fn count(shared: &Shared, request: Fingerprint, end: RunnerEnd) -> usize {
    let now = shared.clock.now();
    let mut state = shared.quarantine.state();
    let crashes = state.suspects.note(request, end, now);
    let State { suspects, quarantine, .. } = &mut *state;
    let proposed = suspects.get(&request).and_then(|s| quarantine.propose(request, s, now));
    if let Some(entry) = proposed {
        // A proposal that this node itself objects to is cleared before it is gossiped.
        let objects = state.quarantine.contradicts(&entry);
        drop(state);
        note_stage(shared, &entry, "counted");
        if objects {
            set_stage(shared, &request, Stage::Cleared, "answered since");
        }
        shared.heartbeat_now.notify_one();
    }
    crashes
}

/// Reports a crash to a counting node. Returns that node's count; `None` if it does not reply.
async fn report(
    shared: &Shared,
    peer: SocketAddr,
    request: Fingerprint,
    end: RunnerEnd,
) -> Option<u32> {
    for _ in 0..SEND_ATTEMPTS {
        let (number, answer) = shared.quarantine.state().reports.register();
        transmit(shared, peer, &Schedule::Ended { number, request, end }).await;
        let answer = timeout(REPLY_TIMEOUT, answer).await;
        shared.quarantine.state().reports.cancel(number);
        if let Ok(Ok(crashes)) = answer {
            return Some(crashes);
        }
    }
    log::info!(peer:% = peer, fingerprint:% = request; "no reply to a crash report");
    None
}

/// Handles a crash report of another node, and replies.
pub async fn handle_crash_report(
    shared: &Shared,
    from: SocketAddr,
    number: u64,
    request: Fingerprint,
    end: RunnerEnd,
) {
    let ends = u32::try_from(count(shared, request, end)).unwrap_or(u32::MAX);
    transmit(shared, from, &Schedule::Counted { number, ends }).await;
}

/// Handles the reply to a crash report.
pub fn handle_crash_count(shared: &Shared, number: u64, crashes: u32) {
    shared.quarantine.state().reports.resolve(number, crashes);
}

/// The nodes that count a request's crashes, the primary first: the address of each, or `None` for
/// this node.
fn counting_nodes(
    shared: &Shared,
    request: &Fingerprint,
) -> SmallVec<[Option<SocketAddr>; COUNTING_NODES]> {
    let roster = shared.roster();
    let contacts = roster.ready_contacts();
    let nodes = contacts.iter().map(|contact| &contact.id).chain([&shared.me.id]);
    let peer = |id: &NodeId| contacts.iter().find(|c| c.id == *id).map(|c| c.peer);
    choose_counting_nodes(request, nodes).into_iter().map(peer).collect()
}

/// Whether this node is the primary counter of a request's crashes.
pub(super) fn is_primary_counter(shared: &Shared, request: &Fingerprint) -> bool {
    counting_nodes(shared, request).first() == Some(&None)
}
