//! Beats between nodes: who is there, what each knows, what is new.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom as _;
use sardinepick_lib::fleet::mark::Mark;
use sardinepick_lib::fleet::quarantine::MOST_TOLD;
use sardinepick_lib::fleet::roster::{PERIOD, Record, Standing, Status};
use sardinepick_wire::beat::{Heartbeat, MAX_DATAGRAM_BYTES};
use sardinepick_wire::fleet as pb;
use sardinepick_wire::{schedule, usage};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

use crate::serve::shared::Shared;
use crate::serve::{join, peer, quarantine, scheduler};

/// Every how many beats a node is greeted that is not known to be there: it may be back.
const GREETING: u64 = 5;
/// The shortest pause between two beats that carry news: what comes in the same moment goes together.
const TOGETHER: Duration = Duration::from_millis(5);
/// To how many watchers, drawn anew each time, a change of the register goes whole. Of 550 nodes ten
/// are missed, and ask when they hear from the next beat that there is something newer.
const NEWS_WATCHERS: usize = 4;
/// The most bytes of changed entries that go with a beat; of more a node is told that there are some.
const MOST_NEWS: usize = 900;
/// How many messages tell a node that asks for a beat what requests are not run; the rest it learns
/// by comparing lists.
const MOST_MESSAGES: usize = 4;
/// How long a silent node keeps its part of the shared allowances.
const FORGET: Duration = Duration::from_secs(600);

/// How long a runner gets no new work after a beat that says it is on its way to another stage.
const RESERVED: Duration = Duration::from_millis(1_000);

/// Sends beats until the process ends.
pub async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut count: u64 = 0;
    let mut next = Instant::now();
    // Up to where the register's changes have been passed on.
    let mut passed_on = Mark::default();
    loop {
        let due = tokio::select! {
            () = sleep_until(next) => true,
            () = shared.beat_now.notified() => false,
        };
        if due {
            next = Instant::now() + PERIOD;
            count += 1;
            if count.is_multiple_of(GREETING) {
                greet(&shared, &socket).await;
            }
        }
        let news = news(&shared, &mut passed_on);
        let (mut beat, watchers, asked) = {
            let status = shared.status();
            let now = shared.clock.now();
            let mut roster = shared.roster();
            roster.set_me(status.standing, status.served);
            let asked = roster.tick(now);
            let records = roster.take_news();
            let watchers = roster.watchers().to_vec();
            drop(roster);
            let beat = Heartbeat { records, ..beat(&shared, status) };
            (beat, watchers, asked)
        };
        let told = news.is_some();
        if told {
            let some = watchers.iter().copied().sample(&mut *shared.rng(), NEWS_WATCHERS);
            let told = Heartbeat { register_update: news, records: Vec::new(), ..beat.clone() };
            beat_all(&shared, &socket, &told, &some).await;
        }
        let quarantined = quarantine::news::next(&shared);
        if !quarantined.is_empty() {
            let told = Heartbeat { quarantined, records: Vec::new(), ..beat.clone() };
            beat_all(&shared, &socket, &told, &watchers).await;
        }
        let again = due && count.is_multiple_of(GREETING);
        let (limits, leaving) = (shared.limiter.next(again), shared.drains.next(again));
        if !limits.is_empty() || !leaving.is_empty() {
            let told = Heartbeat { limits, leaving, records: Vec::new(), ..beat.clone() };
            beat_all(&shared, &socket, &told, &watchers).await;
        }
        if due || !told || !beat.records.is_empty() {
            beat_all(&shared, &socket, &beat, &watchers).await;
        }
        beat.records.clear();
        beat.wants_reply = true;
        beat_all(&shared, &socket, &beat, &asked).await;
        look_after(&shared);
        sleep(TOGETHER).await;
    }
}

/// Forgets whoever is gone for good.
fn look_after(shared: &Shared) {
    let now = shared.clock.now();
    let mut roster = shared.roster();
    for id in roster.forget(now, FORGET) {
        log::info!(node:% = id; "node forgotten");
    }
    shared.metrics.nodes.set(roster.fronts().len() as i64);
    let has_signals = shared.limiter.has_news() || shared.drains.has_news();
    if roster.has_news() || quarantine::news::has_news(shared) || has_signals {
        shared.beat_now.notify_one();
    }
}

/// What has changed in the register since it was passed on last, if it is little. Each node passes a
/// change on once, as soon as it knows it.
fn news(shared: &Shared, passed_on: &mut Mark) -> Option<pb::Knowledge> {
    let knowledge = shared.knowledge();
    let (since, mark) = (*passed_on, knowledge.mark());
    if mark <= since {
        return None;
    }
    *passed_on = mark;
    let changed = knowledge.since(since);
    let bytes: usize = changed.entries.iter().map(|o| o.name.len() + o.content.len()).sum();
    let bytes = bytes + changed.gone.iter().map(smol_str::SmolStr::len).sum::<usize>();
    let little = !changed.whole && bytes <= MOST_NEWS;
    little.then(|| peer::news(&changed, since))
}

fn beat(shared: &Shared, status: Status) -> Heartbeat {
    let roster = shared.roster();
    Heartbeat {
        sender: roster.me().clone(),
        status,
        wants_reply: false,
        switching: shared.away(),
        roster_digest: roster.digest(),
        records: Vec::new(),
        register_update: None,
        quarantine_digest: quarantine::news::digest(shared),
        quarantined: Vec::new(),
        time: Some(shared.usage.time_at(shared.clock.now())),
        limits: Vec::new(),
        leaving: Vec::new(),
    }
}

async fn beat_all(shared: &Shared, socket: &UdpSocket, beat: &Heartbeat, targets: &[SocketAddr]) {
    if targets.is_empty() {
        return;
    }
    let bytes = beat.encode();
    for target in targets {
        transmit(shared, socket, &bytes, *target).await;
    }
}

async fn transmit(shared: &Shared, socket: &UdpSocket, bytes: &[u8], target: SocketAddr) {
    shared.metrics.beat_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
    if let Err(error) = socket.send_to(bytes, target).await {
        log::debug!(peer:% = target, error:% = error; "sending a beat");
    }
}

/// Greets one node that is not known to be there, or a seed: two parts of a fleet that have lost each
/// other find together so.
async fn greet(shared: &Shared, socket: &UdpSocket) {
    let target = {
        let roster = shared.roster();
        roster.lost().chain(shared.settings.other_seeds()).choose(&mut *shared.rng())
    };
    if let Some(target) = target {
        ask(shared, socket, &[target]).await;
    }
}

/// Asks nodes for a beat.
pub async fn ask(shared: &Shared, socket: &UdpSocket, targets: &[SocketAddr]) {
    let beat = Heartbeat { wants_reply: true, ..beat(shared, shared.status()) };
    beat_all(shared, socket, &beat, targets).await;
}

/// Takes beats until the process ends.
pub async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES * 2];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let bytes = &buffer[..length];
                match bytes.first() {
                    Some(&schedule::DATAGRAM_TYPE) => {
                        scheduler::take(&shared, from, bytes).await;
                        continue;
                    }
                    Some(&usage::DATAGRAM_TYPE) => {
                        shared.usage.take(&socket, from, bytes, &shared.metrics).await;
                        continue;
                    }
                    _ => {}
                }
                let counter = shared.metrics.beat_bytes.with_label_values(&["received"]);
                counter.inc_by(length as u64);
                match Heartbeat::decode(bytes, shared.history.era()) {
                    Ok(beat) => take(&shared, &socket, &beat).await,
                    Err(error) => log::warn!(peer:% = from, error:% = error; "beat is not taken"),
                }
            }
            Err(error) => log::debug!(error:% = error; "receiving a beat"),
        }
    }
}

async fn take(shared: &Arc<Shared>, socket: &UdpSocket, told: &Heartbeat) {
    if told.sender.contact.id == shared.me.id {
        return;
    }
    let now = shared.clock.now();
    let (fresh, mistaken, differs) = {
        let mut roster = shared.roster();
        take_records(&mut roster, std::slice::from_ref(&told.sender), now);
        roster.take_beat(&told.sender, told.status, now);
        take_records(&mut roster, &told.records, now);
        let differs = roster.note_digest(&told.sender.contact.id, told.roster_digest, now);
        let mistaken = roster.is_mistaken(&told.sender).cloned();
        (roster.has_news(), mistaken, differs)
    };
    shared.history.note_told(told.status.register.era, told.sender.contact.id.as_str());
    if let Some(time) = told.time {
        shared.usage.note_time(&told.sender.contact.id, time, now);
    }
    shared.register().reserve(&told.switching, now + RESERVED);
    if let Some(news) = &told.register_update {
        peer::take_news(shared, news);
    }
    quarantine::news::take(shared, &told.quarantined, told.sender.contact.id.as_str());
    shared.limiter.take(&told.limits, told.sender.contact.id.as_str());
    shared.drains.take(&told.leaving, told.sender.contact.id.as_str());
    let differs =
        quarantine::news::note_digest(shared, &told.sender.contact.id, told.quarantine_digest)
            || differs;
    let mine = shared.status();
    if told.status.register > mine.register || told.status.version > mine.version {
        shared.note_behind();
    }
    if fresh {
        shared.beat_now.notify_one();
    }
    if differs {
        tokio::spawn(join::compare(shared.clone(), told.sender.contact.peer));
    }
    if told.wants_reply || mistaken.is_some() {
        // Whoever asks may know nobody else yet.
        let mut records = shared.roster().some(&mut *shared.rng());
        records.extend(mistaken);
        let answer = Heartbeat { records, ..beat(shared, mine) };
        let peer = told.sender.contact.peer;
        transmit(shared, socket, &answer.encode(), peer).await;
        // It must not send to runners what ends them until it has compared lists.
        for quarantined in quarantine::news::all(shared).chunks(MOST_TOLD).take(MOST_MESSAGES) {
            let more = Heartbeat { quarantined: quarantined.to_vec(), ..beat(shared, mine) };
            transmit(shared, socket, &more.encode(), peer).await;
        }
    }
}

/// Takes in records of nodes, with a line for each that says something new.
pub fn take_records(
    roster: &mut sardinepick_lib::fleet::roster::Roster,
    records: &[Record],
    now: std::time::Instant,
) {
    for record in records {
        if roster.take_record(record, now) {
            // Where hundreds start together, a line for each at each would be a hundred thousand.
            let usual = record.standing != Standing::Leaving && record.served && !record.silent;
            log::log!(
                if usual { log::Level::Debug } else { log::Level::Info },
                node:% = record.contact.id, standing:? = record.standing, silent = record.silent,
                served = record.served, serial = record.serial; "node heard of"
            );
        }
    }
}
