//! Heartbeats between nodes: membership, status, and announcements of changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom as _;
use sardinepick_lib::fleet::part_quarantine::MAX_ENTRIES_PER_MESSAGE as MAX_PARTS_PER_MESSAGE;
use sardinepick_lib::fleet::quarantine::MAX_ENTRIES_PER_MESSAGE;
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::fleet::roster::{HEARTBEAT_PERIOD, Record, Standing, Status};
use sardinepick_wire::beat::{Attestations, Heartbeat, MAX_DATAGRAM_BYTES, Parts};
use sardinepick_wire::fleet as pb;
use sardinepick_wire::{schedule, usage};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

use crate::freshness::Coverage;
use crate::serve::shared::Shared;
use crate::serve::{join, peer, quarantine, scheduler};

/// A node that is not known to be up, or a seed, is contacted every this many heartbeats: it may
/// have come back.
const CONTACT_INTERVAL: u64 = 5;
/// The minimum pause between two heartbeats with changes: changes in quick succession go together.
const SEND_PAUSE: Duration = Duration::from_millis(5);
/// How many watchers, chosen at random each time, are sent the changed entries of the register
/// themselves. Of 550 nodes ten are missed; they see from the next heartbeat that there is a newer
/// register, and ask for it.
const CHANGE_FANOUT: usize = 4;
/// The maximum size of changed entries in a heartbeat, in bytes. If there are more, a node is only
/// told that its register is outdated.
const MAX_CHANGE_BYTES: usize = 900;
/// How many messages with the quarantined requests answer a node that asks for a heartbeat. It
/// learns the rest by exchanging lists.
const MAX_QUARANTINE_MESSAGES: usize = 4;
/// How long a silent node keeps its share of the shared allowances.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// How long a runner gets no new work after a heartbeat says that it is changing its stage.
const SWITCH_RESERVATION: Duration = Duration::from_millis(1_000);

/// Sends heartbeats until the process ends.
pub async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut count: u64 = 0;
    let mut next = Instant::now();
    // The version up to which changes of the register have been passed on.
    let mut passed_on = RegisterVersion::default();
    loop {
        let due = tokio::select! {
            () = sleep_until(next) => true,
            () = shared.heartbeat_now.notified() => false,
        };
        if due {
            next = Instant::now() + HEARTBEAT_PERIOD;
            count += 1;
            if count.is_multiple_of(CONTACT_INTERVAL) {
                contact_lost_node(&shared, &socket).await;
            }
        }
        let register_update = register_changes(&shared, &mut passed_on);
        let (mut heartbeat, watchers, asked) = {
            let status = shared.status();
            let now = shared.clock.now();
            let mut roster = shared.roster();
            roster.set_own_state(status.standing, status.served);
            let asked = roster.tick(now);
            let records = roster.take_updates();
            let watchers = roster.watchers().to_vec();
            drop(roster);
            let heartbeat = Heartbeat { records, ..build_heartbeat(&shared, status) };
            (heartbeat, watchers, asked)
        };
        let has_changes = register_update.is_some();
        if has_changes {
            let some = watchers.iter().copied().sample(&mut *shared.rng(), CHANGE_FANOUT);
            let message = Heartbeat { register_update, records: Vec::new(), ..heartbeat.clone() };
            send_to_all(&shared, &socket, &message, &some).await;
        }
        let quarantined = quarantine::gossip::take_pending(&shared);
        if !quarantined.is_empty() {
            let message = Heartbeat { quarantined, records: Vec::new(), ..heartbeat.clone() };
            send_to_all(&shared, &socket, &message, &watchers).await;
        }
        let parts = shared.part_quarantine.take_pending();
        if !parts.entries.is_empty() {
            let message = Heartbeat { parts, records: Vec::new(), ..heartbeat.clone() };
            send_to_all(&shared, &socket, &message, &watchers).await;
        }
        let again = due && count.is_multiple_of(CONTACT_INTERVAL);
        let (limits, leaving) =
            (shared.limiter.next_gossip(again), shared.drains.next_gossip(again));
        if !limits.is_empty() || !leaving.is_empty() {
            let message = Heartbeat { limits, leaving, records: Vec::new(), ..heartbeat.clone() };
            send_to_all(&shared, &socket, &message, &watchers).await;
        }
        heartbeat.attestations = shared.freshness.to_pass_on();
        if due || !has_changes || !heartbeat.records.is_empty() {
            send_to_all(&shared, &socket, &heartbeat, &watchers).await;
        }
        heartbeat.records.clear();
        heartbeat.wants_reply = true;
        send_to_all(&shared, &socket, &heartbeat, &asked).await;
        update_roster(&shared);
        sleep(SEND_PAUSE).await;
    }
}

/// Forgets nodes that have been gone for long, and updates the metrics.
fn update_roster(shared: &Shared) {
    let now = shared.clock.now();
    let mut roster = shared.roster();
    for id in roster.forget(now, FORGET_AFTER) {
        log::info!(node:% = id; "node removed from the membership");
    }
    shared.metrics.nodes.set(roster.ready_contacts().len() as i64);
    let (heard, has_updates) = (roster.heard(now), roster.has_updates());
    drop(roster);
    shared.freshness.report(heard, || {
        let watchers = shared.store_watchers();
        watchers.iter().map(|contact| contact.id.as_str()).collect::<Vec<_>>().join(",")
    });
    let has_signals = shared.limiter.has_pending_gossip() || shared.drains.has_pending_gossip();
    let has_quarantined =
        quarantine::gossip::has_pending(shared) || shared.part_quarantine.has_pending();
    if has_updates || has_quarantined || has_signals {
        shared.heartbeat_now.notify_one();
    }
}

/// Returns the changes of the register since they were last passed on, if they are small and known
/// one by one. Each node passes a change on once, as soon as it knows it.
fn register_changes(shared: &Shared, passed_on: &mut RegisterVersion) -> Option<pb::Knowledge> {
    let replica = shared.register_replica();
    let (since, version) = (*passed_on, replica.version());
    if version <= since {
        return None;
    }
    *passed_on = version;
    let changed = replica.recent_changes(since, shared.clock.now())?;
    let bytes: usize = changed.entries.iter().map(|o| o.name.len() + o.content.len()).sum();
    let names = changed.gone.iter().chain(changed.doubts.iter().map(|doubt| &doubt.name));
    let bytes = bytes + names.map(smol_str::SmolStr::len).sum::<usize>();
    (bytes <= MAX_CHANGE_BYTES).then(|| peer::to_announcement(&changed, since))
}

fn build_heartbeat(shared: &Shared, status: Status) -> Heartbeat {
    let register_digest = Some(shared.register_replica().digest());
    let roster = shared.roster();
    Heartbeat {
        sender: roster.me().clone(),
        status,
        wants_reply: false,
        switching: shared.switching(),
        roster_digest: roster.digest(),
        records: Vec::new(),
        register_digest,
        register_update: None,
        quarantine_digest: quarantine::gossip::digest(shared),
        quarantined: Vec::new(),
        parts: shared.part_quarantine.summary(),
        time: Some(shared.usage.time_at(shared.clock.now())),
        limits: Vec::new(),
        leaving: Vec::new(),
        attestations: Attestations::default(),
    }
}

async fn send_to_all(
    shared: &Shared,
    socket: &UdpSocket,
    heartbeat: &Heartbeat,
    targets: &[SocketAddr],
) {
    if targets.is_empty() {
        return;
    }
    let bytes = heartbeat.encode();
    for target in targets {
        transmit(shared, socket, &bytes, *target).await;
    }
}

async fn transmit(shared: &Shared, socket: &UdpSocket, bytes: &[u8], target: SocketAddr) {
    shared.metrics.heartbeat_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
    if let Err(error) = socket.send_to(bytes, target).await {
        log::debug!(peer:% = target, error:% = error; "cannot send heartbeat");
    }
}

/// Contacts one node that is not known to be up, or a seed; all seeds while this node searches for
/// others. This rejoins two parts of a fleet that were partitioned from each other.
async fn contact_lost_node(shared: &Shared, socket: &UdpSocket) {
    let seeds = shared.settings.other_seeds();
    let targets: Vec<SocketAddr> = {
        let roster = shared.roster();
        if roster.is_searching() {
            seeds.collect()
        } else {
            roster.silent_addresses().chain(seeds).choose(&mut *shared.rng()).into_iter().collect()
        }
    };
    request_heartbeats(shared, socket, &targets).await;
}

/// Asks nodes for a heartbeat.
pub async fn request_heartbeats(shared: &Shared, socket: &UdpSocket, targets: &[SocketAddr]) {
    let heartbeat = Heartbeat { wants_reply: true, ..build_heartbeat(shared, shared.status()) };
    send_to_all(shared, socket, &heartbeat, targets).await;
}

/// Receives datagrams on the peer socket until the process ends.
pub async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES * 2];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let bytes = &buffer[..length];
                match bytes.first() {
                    Some(&schedule::DATAGRAM_TYPE) => {
                        scheduler::receive(&shared, from, bytes).await;
                        continue;
                    }
                    Some(&usage::DATAGRAM_TYPE) => {
                        shared.usage.handle_datagram(&socket, from, bytes, &shared.metrics).await;
                        continue;
                    }
                    _ => {}
                }
                let counter = shared.metrics.heartbeat_bytes.with_label_values(&["received"]);
                counter.inc_by(length as u64);
                match Heartbeat::decode(bytes, shared.era_tracker.era()) {
                    Ok(heartbeat) => handle_heartbeat(&shared, &socket, &heartbeat).await,
                    Err(error) => log::warn!(peer:% = from, error:% = error; "invalid heartbeat"),
                }
            }
            Err(error) => log::debug!(error:% = error; "cannot receive datagram"),
        }
    }
}

async fn handle_heartbeat(shared: &Arc<Shared>, socket: &UdpSocket, received: &Heartbeat) {
    if received.sender.contact.id == shared.me.id {
        return;
    }
    let now = shared.clock.now();
    let (has_updates, correction, digest_differs) = {
        let mut roster = shared.roster();
        apply_records(&mut roster, std::slice::from_ref(&received.sender), now);
        roster.apply_heartbeat(&received.sender, received.status, now);
        apply_records(&mut roster, &received.records, now);
        let digest_differs =
            roster.note_digest(&received.sender.contact.id, received.roster_digest, now);
        let correction = roster.superseding_record(&received.sender).cloned();
        (roster.has_updates(), correction, digest_differs)
    };
    shared
        .era_tracker
        .note_peer_era(received.status.register.era, received.sender.contact.id.as_str());
    if let Some(time) = received.time {
        shared.usage.note_peer_time(&received.sender.contact.id, time, now);
    }
    shared.register().reserve(&received.switching, now + SWITCH_RESERVATION);
    if let Some(register_update) = &received.register_update {
        peer::apply_announcement(shared, register_update);
    }
    quarantine::gossip::apply(shared, &received.quarantined, received.sender.contact.id.as_str());
    let sender = &received.sender.contact.id;
    shared.part_quarantine.apply_gossip(&received.parts, sender.as_str());
    shared.limiter.apply_gossip(&received.limits, received.sender.contact.id.as_str());
    shared.drains.apply_gossip(&received.leaving, received.sender.contact.id.as_str());
    // Each comparison records what it finds.
    let requests_differ =
        quarantine::gossip::note_digest(shared, sender, received.quarantine_digest);
    let parts_differ = shared.part_quarantine.note_summary(sender, &received.parts);
    let digest_differs = digest_differs || requests_differ || parts_differ;
    compare_registers(shared, socket, received).await;
    let mine = shared.status();
    let coverage = Coverage {
        configuration: mine.version >= received.status.version,
        register: mine.register >= received.status.register,
    };
    if let Some(answered) = shared.freshness.apply(received.attestations, coverage) {
        shared.outage().note_attested(answered);
    }
    if received.status.register > mine.register || received.status.version > mine.version {
        shared.note_outdated();
    }
    if has_updates {
        shared.heartbeat_now.notify_one();
    }
    if digest_differs {
        tokio::spawn(join::exchange_members(shared.clone(), received.sender.contact.peer));
    }
    if received.wants_reply || correction.is_some() {
        // The asking node may not know any other node yet.
        let mut records = shared.roster().sample(&mut *shared.rng());
        records.extend(correction);
        let attestations = shared.freshness.newest();
        let answer = Heartbeat { records, attestations, ..build_heartbeat(shared, mine) };
        let peer = received.sender.contact.peer;
        transmit(shared, socket, &answer.encode(), peer).await;
        // Until it has exchanged lists, it must not run requests that crash runners.
        for quarantined in quarantine::gossip::all(shared)
            .chunks(MAX_ENTRIES_PER_MESSAGE)
            .take(MAX_QUARANTINE_MESSAGES)
        {
            let more =
                Heartbeat { quarantined: quarantined.to_vec(), ..build_heartbeat(shared, mine) };
            transmit(shared, socket, &more.encode(), peer).await;
        }
        let parts = shared.part_quarantine.all();
        for entries in parts.entries.chunks(MAX_PARTS_PER_MESSAGE).take(MAX_QUARANTINE_MESSAGES) {
            let parts = Parts { entries: entries.to_vec(), ..shared.part_quarantine.summary() };
            let more = Heartbeat { parts, ..build_heartbeat(shared, mine) };
            transmit(shared, socket, &more.encode(), peer).await;
        }
    }
}

/// Compares this node's register with the sender's by their digests. With the same digest, the later
/// version applies to both; with the same version, the digests must be the same.
async fn compare_registers(shared: &Shared, socket: &UdpSocket, received: &Heartbeat) {
    let Some(digest) = received.register_digest else { return };
    let theirs = received.status.register;
    let (version, mine) = {
        let mut replica = shared.register_replica();
        if replica.is_known() && digest == replica.digest() {
            replica.adopt(theirs);
        }
        (replica.version(), replica.digest())
    };
    let is_conflict = theirs == version && digest != mine;
    let sender = &received.sender.contact.id;
    let is_due = shared.register_conflicts().note(sender, !is_conflict, shared.clock.now());
    if !is_due {
        return;
    }
    shared.metrics.register_conflicts.with_label_values(&["heartbeat"]).inc();
    log::error!(
        node:% = sender, version:% = theirs, digest:% = mine, theirs:% = digest;
        "registers of two nodes differ at one version"
    );
    // A node that watches the store compares its register with the store's; others make those that
    // do notice the difference too.
    shared.register_conflict.notify_one();
    let watchers: Vec<SocketAddr> =
        shared.store_watchers().iter().map(|contact| contact.peer).collect();
    request_heartbeats(shared, socket, &watchers).await;
}

/// Applies records of nodes, and logs each that changes the roster.
pub fn apply_records(
    roster: &mut sardinepick_lib::fleet::roster::Roster,
    records: &[Record],
    now: std::time::Instant,
) {
    for record in records {
        if roster.apply_record(record, now) {
            // Usual records are logged at debug level: when hundreds of nodes start together, each
            // node would log each other node, a hundred thousand lines in all.
            let usual = record.standing != Standing::Leaving && record.served && !record.silent;
            log::log!(
                if usual { log::Level::Debug } else { log::Level::Info },
                node:% = record.contact.id, standing:? = record.standing, silent = record.silent,
                served = record.served, serial = record.serial; "node heard of"
            );
        }
    }
}
