//! Beats between nodes: who is there, what each has under way, what each knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::fleet::roster::{Status, beat_period};
use sardinepick_wire::beat::{Beat, MOST_BYTES};
use sardinepick_wire::schedule;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

use crate::serve::scheduler;
use crate::serve::shared::Shared;

/// Every how many beats nodes are greeted that have not been heard for long: they may be back.
const GREETING: u64 = 20;
/// The longest pause between beats of a node that has nothing under way, in beats.
const IDLE_BEATS: u64 = 4;
/// How long an unheard node keeps its part of the shared allowances.
const FORGET: Duration = Duration::from_secs(600);

/// How long a runner gets no new work after a beat that says it is on its way to another stage.
const RESERVED: Duration = Duration::from_millis(1_000);

/// Sends beats until the process ends.
pub async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut count: u64 = 0;
    let mut next = Instant::now();
    loop {
        let urgent = tokio::select! {
            () = sleep_until(next) => false,
            () = shared.beat_now.notified() => true,
        };
        next = Instant::now() + beat_period(shared.roster().known());
        count += 1;
        // For a node with nothing under way one beat in a few is enough, but for nodes that follow the
        // store for all: another must step in soon where one has gone.
        let quiet = !urgent && shared.metrics.under_way.get() == 0 && !shared.follows();
        if quiet && !count.is_multiple_of(IDLE_BEATS) {
            continue;
        }
        let beat = beat(&shared, count == 1);
        for target in targets(&shared, count) {
            transmit(&shared, &socket, &beat, target).await;
        }
        let now = shared.clock.now();
        let mut roster = shared.roster();
        for id in roster.forget(now, FORGET) {
            log::info!(node:% = id; "node forgotten");
        }
        shared.metrics.nodes.set(roster.fronts(now).len() as i64);
    }
}

fn beat(shared: &Shared, answer: bool) -> Beat {
    Beat { contact: shared.me.clone(), status: shared.status(), answer, away: shared.away() }
}

/// Whom to send a beat: the nodes heard lately, and now and then all that were ever known.
fn targets(shared: &Shared, count: u64) -> Vec<SocketAddr> {
    let now = shared.clock.now();
    let roster = shared.roster();
    let everyone = count.is_multiple_of(GREETING) || count < IDLE_BEATS;
    let mut targets: Vec<SocketAddr> =
        if everyone { roster.peers().collect() } else { roster.heard(now).collect() };
    if targets.is_empty() || everyone {
        let seeds = shared.settings.seeds.iter().copied();
        targets.extend(seeds.filter(|seed| *seed != shared.me.peer));
    }
    targets.sort_unstable();
    targets.dedup();
    targets
}

async fn transmit(shared: &Shared, socket: &UdpSocket, beat: &Beat, target: SocketAddr) {
    let bytes = beat.encode();
    shared.metrics.beat_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
    if let Err(error) = socket.send_to(&bytes, target).await {
        log::debug!(peer:% = target, error:% = error; "sending a beat");
    }
}

/// Takes beats until the process ends.
pub async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MOST_BYTES * 2];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                if buffer[..length].first() == Some(&schedule::MARK) {
                    scheduler::take(&shared, from, &buffer[..length]).await;
                    continue;
                }
                let counter = shared.metrics.beat_bytes.with_label_values(&["received"]);
                counter.inc_by(length as u64);
                match Beat::decode(&buffer[..length]) {
                    Ok(beat) => take(&shared, &socket, &beat).await,
                    Err(error) => log::warn!(peer:% = from, error:% = error; "beat is not taken"),
                }
            }
            Err(error) => log::debug!(error:% = error; "receiving a beat"),
        }
    }
}

/// Whether another node knows something that this one does not.
fn is_behind(shared: &Shared, other: Status) -> bool {
    let mine = shared.status();
    other.register > mine.register || other.version > mine.version
}

async fn take(shared: &Shared, socket: &UdpSocket, told: &Beat) {
    if told.contact.id == shared.me.id {
        return;
    }
    let now = shared.clock.now();
    let id = &told.contact.id;
    let (new, ahead) = {
        let mut roster = shared.roster();
        let was = roster.status(id);
        let new = roster.take_beat(told.contact.clone(), told.status, now);
        if was.is_none_or(|was| was.standing != told.status.standing) {
            log::info!(node:% = id, standing:? = told.status.standing; "node heard");
        }
        (new, is_behind(shared, told.status))
    };
    shared.register().reserve(&told.away, now + RESERVED);
    if ahead {
        shared.note_behind();
    }
    if new || told.answer {
        let mine = beat(shared, false);
        transmit(shared, socket, &mine, told.contact.peer).await;
    }
}
