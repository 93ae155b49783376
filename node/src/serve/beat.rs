//! Beats between nodes: who is there, what each has under way, what each knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::fleet::load::Load;
use sardinepick_lib::fleet::roster::{Status, beat_period};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_wire::beat::{Beat, MOST_BYTES, MOST_LOADS, MOST_READINGS};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

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
    let mut was_busy = false;
    let mut next = Instant::now();
    loop {
        let urgent = tokio::select! {
            () = sleep_until(next) => false,
            () = shared.beat_now.notified() => true,
        };
        next = Instant::now() + beat_period(shared.roster().known());
        count += 1;
        let loads = shared.register().own_loads();
        let busy = !loads.is_empty();
        // The first idle beat says that the load is gone; after it one in a few is enough, but for
        // nodes that follow the store for all: another must step in soon where one has gone.
        let quiet = !urgent && !busy && !was_busy && !shared.follows();
        if quiet && !count.is_multiple_of(IDLE_BEATS) {
            continue;
        }
        was_busy = busy;
        let targets = targets(&shared, count);
        for beat in beats(&shared, &loads, count == 1) {
            for target in &targets {
                transmit(&shared, &socket, &beat, *target).await;
            }
        }
        let now = shared.clock.now();
        let mut roster = shared.roster();
        for id in roster.forget(now, FORGET) {
            log::info!(node:% = id; "node forgotten");
        }
        shared.metrics.nodes.set(roster.fronts(now).len() as i64);
    }
}

/// The datagrams of one beat: as many as the loads and the readings fill.
fn beats(shared: &Shared, loads: &[(Tag, Load)], answer: bool) -> Vec<Beat> {
    let readings = shared.take_readings();
    let count = loads.len().div_ceil(MOST_LOADS).max(readings.len().div_ceil(MOST_READINGS));
    let beat = |at: usize| Beat {
        contact: shared.me.clone(),
        status: shared.status(),
        loads: part(loads, at, MOST_LOADS).to_vec(),
        readings: part(&readings, at, MOST_READINGS).to_vec(),
        answer,
        away: shared.away(),
        more: at > 0,
    };
    (0..count.max(1)).map(beat).collect()
}

/// The part `at` of a list in parts of `most`; empty behind its end.
fn part<T>(list: &[T], at: usize, most: usize) -> &[T] {
    list.chunks(most).nth(at).unwrap_or_default()
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

async fn take(shared: &Shared, socket: &UdpSocket, beat: &Beat) {
    if beat.contact.id == shared.me.id {
        return;
    }
    let now = shared.clock.now();
    let id = &beat.contact.id;
    let (new, ahead) = {
        let mut roster = shared.roster();
        let was = roster.status(id);
        let new = roster.take_beat(beat.contact.clone(), beat.status, now);
        if was.is_none_or(|was| was.standing != beat.status.standing) {
            log::info!(node:% = id, standing:? = beat.status.standing; "node heard");
        }
        (new, is_behind(shared, beat.status))
    };
    {
        let mut register = shared.register();
        register.take_report(id, &beat.loads, beat.more, now);
        register.reserve(&beat.away, now + RESERVED);
        for reading in &beat.readings {
            register.take_reading(*reading, now);
        }
    }
    if ahead {
        shared.note_behind();
    }
    if new || beat.answer {
        let mine = Beat {
            contact: shared.me.clone(),
            status: shared.status(),
            loads: Vec::new(),
            readings: Vec::new(),
            answer: false,
            away: Vec::new(),
            more: false,
        };
        transmit(shared, socket, &mine, beat.contact.peer).await;
    }
}
