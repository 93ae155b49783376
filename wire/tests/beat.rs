//! Beats between nodes.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use prost::Message as _;
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::limit::{Announced, Rate};
use sardinepick_lib::fleet::mark::Mark;
use sardinepick_lib::fleet::quarantine::{Entry, MOST_TOLD, Stage};
use sardinepick_lib::fleet::roster::{Contact, MOST_RECORDS, Record, Standing, Status};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::suspect::MOST_ENDS;
use sardinepick_lib::history::{Era, LAST_ERA};
use sardinepick_lib::id::{ConfigVersion, Incarnation};
use sardinepick_wire::beat::{Heartbeat, MAX_DATAGRAM_BYTES, decode_nodes, encode_nodes};
use sardinepick_wire::fleet as pb;
use sardinepick_wire::quarantine::{decode_entries, encode_entries};

fn record(at: u32) -> Record {
    Record {
        contact: Contact {
            id: format!("edge-zaal-hofvijver-{at}").parse().expect("an id"),
            incarnation: Incarnation(1 << 52),
            data_centre: "zaal-hofvijver".parse().expect("an id"),
            front: "10.100.100.100:18149".parse().expect("an address"),
            peer: "10.100.100.100:18144".parse().expect("an address"),
        },
        standing: Standing::Ready,
        served: true,
        serial: at,
        silent: at.is_multiple_of(2),
    }
}

fn beat(records: u32) -> Heartbeat {
    Heartbeat {
        sender: record(17),
        status: Status {
            standing: Standing::Ready,
            version: ConfigVersion(1 << 40),
            register: Mark { era: LAST_ERA, order: 1 << 56 },
            served: true,
        },
        wants_reply: true,
        switching: vec![Tag(1), Tag(2)],
        roster_digest: u64::MAX,
        records: (0..records).map(|at| record(100 + at)).collect(),
        register_update: None,
        quarantine_digest: u64::MAX,
        quarantined: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
        time: Some(std::time::Duration::from_millis(1 << 42)),
    }
}

#[test]
fn decode_full_beat_round_trip() {
    let object =
        pb::Object { name: "i-7f3a".to_owned(), revision: 7, content: vec![1; 300], era: None };
    let gone = vec!["i-1".to_owned()];
    let news =
        pb::Knowledge { runners: vec![object], gone, mark: 9, since: 8, ..Default::default() };
    let full = Heartbeat { register_update: Some(news), ..beat(3) };
    assert_eq!(Heartbeat::decode(&full.encode(), Era(1)).expect("it is one"), full);
    let records = full.records;
    assert_eq!(decode_nodes(&encode_nodes(&records, Vec::new())).expect("they are nodes"), records);
}

/// Symptom: a node is never heard. Cause: its beat is larger than a packet.
#[test]
fn encode_full_beat_one_packet() {
    let length = beat(MOST_RECORDS as u32).encode().len();
    assert!(length <= MAX_DATAGRAM_BYTES, "{length}");
}

fn entry(n: u64, now: Instant) -> Entry {
    Entry {
        request: Fingerprint::of(&[&n.to_le_bytes()]),
        serial: u32::MAX,
        stage: [Stage::Proposed, Stage::Confirmed, Stage::Withdrawn, Stage::Cleared]
            [n as usize % 4],
        ends: (0..MOST_ENDS as u64).map(|life| Tag(u64::MAX - life)).collect(),
        begun: MOST_ENDS as u32,
        first: now - Duration::from_secs(80_000),
        since: now - Duration::from_secs(79_000),
    }
}

/// What is told of requests that are not run fits beside all else that a beat says without records.
#[test]
fn read_quarantined_full_beat_round_trip() {
    let now = Instant::now() + Duration::from_secs(86_400);
    let entries: Vec<Entry> = (0..MOST_TOLD as u64).map(|n| entry(n, now)).collect();
    let full = Heartbeat { quarantined: encode_entries(&entries, now), ..beat(0) };
    let bytes = full.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    let read = Heartbeat::decode(&bytes, Era(1)).expect("it is one");
    assert_eq!(decode_entries(&read.quarantined, now).expect("they are entries"), entries);
}

#[test]
fn read_quarantined_absurd_not_taken() {
    let now = Instant::now();
    let good = encode_entries(&[entry(1, now + Duration::from_secs(86_400))], now).remove(0);
    let short = pb::Quarantined { request: vec![1; 15], ..good.clone() };
    let stage = pb::Quarantined { stage: 9, ..good.clone() };
    for absurd in [short, stage] {
        assert!(decode_entries(&[absurd], now).is_err());
    }
    let old = pb::Quarantined { first_ms: u64::MAX, since_ms: u64::MAX, ..good.clone() };
    let many = pb::Quarantined { ends: vec![1; 10_000], ..good };
    let read = decode_entries(&[old, many], now).expect("they are bounded");
    assert!(read.iter().all(|entry| entry.ends.len() <= MOST_ENDS && entry.since <= now));
}

/// What is told of rate limits and of runners that leave fits beside all else that a beat says without records.
#[test]
fn decode_full_of_signals_round_trip() {
    let limit = |n: u64| Announced {
        runner: Tag(u64::MAX - n),
        rate: Rate::new(6.7).filter(|_| n.is_multiple_of(2)),
        age: Duration::from_millis(80_000_000),
    };
    let leaving = (0..16).map(|n| Tag(u64::MAX - n)).collect();
    let full = Heartbeat { limits: (0..16).map(limit).collect(), leaving, ..beat(0) };
    let bytes = full.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(Heartbeat::decode(&bytes, Era(1)).expect("it is one"), full);
}

#[test]
fn decode_absurd_limit_error() {
    for rate in [-1.0, f64::NAN] {
        let limit = pb::RateLimit { runner: 1, rate: Some(rate), age_ms: u64::MAX };
        let sent = pb::Beat::decode(&beat(0).encode()[..]).expect("it is one");
        let sent = pb::Beat { rate_limits: vec![limit], ..sent };
        assert!(Heartbeat::decode(&sent.encode_to_vec(), Era(1)).is_err(), "{rate}");
    }
}

proptest! {
    #[test]
    fn decode_any_bytes_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Heartbeat::decode(&bytes, Era(1));
    }
}

/// Guards against beats of nodes of an earlier version, which name no era, that are taken for old ones,
/// and against an era that no fencing number has room for.
#[test]
fn decode_era_absent_or_absurd() {
    let sent = pb::Beat::decode(&*beat(0).encode()).expect("it is one");
    let read = |era| Heartbeat::decode(&pb::Beat { era, ..sent.clone() }.encode_to_vec(), Era(7));
    let era = |era| read(era).expect("it is one").status.register.era;
    assert_eq!((era(None), era(Some(0)), era(Some(8))), (Era(7), Era(0), Era(8)));
    assert!(read(Some(LAST_ERA.0 + 1)).is_err());
}

/// Guards against beats that grow: a node sends 40 a second.
#[test]
fn encode_era_few_bytes() {
    let length = |era| {
        let register = Mark { era: Era(era), order: 1 << 24 };
        let status = Status { register, ..beat(0).status };
        Heartbeat { status, ..beat(0) }.encode().len()
    };
    let without = pb::Beat { era: None, ..pb::Beat::decode(&*beat(0).encode()).expect("one") };
    let register = pb::Beat { register: 1 << 24, ..without };
    assert!(length(1) <= register.encoded_len() + 4);
    assert!(length(LAST_ERA.0) <= register.encoded_len() + 4);
}
