//! Heartbeats between nodes.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use prost::Message as _;
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::freshness::{Attestation, Attester};
use sardinepick_lib::fleet::limit::{LimitReport, Rate};
use sardinepick_lib::fleet::part_quarantine as part;
use sardinepick_lib::fleet::quarantine::{
    Entry, MAX_ENTRIES_PER_MESSAGE, MAX_FAILED_TRIALS, Stage,
};
use sardinepick_lib::fleet::register_digest::RegisterDigest;
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::fleet::roster::{Contact, MAX_RECORDS, Record, Standing, Status};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::suspect::MAX_ENDS;
use sardinepick_lib::history::{Era, MAX_ERA};
use sardinepick_lib::id::{ConfigVersion, Incarnation};
use sardinepick_wire::beat::{
    Attestations, Heartbeat, MAX_DATAGRAM_BYTES, Parts, decode_nodes, encode_nodes,
};
use sardinepick_wire::fleet as pb;
use sardinepick_wire::part_quarantine;
use sardinepick_wire::quarantine::{decode_entries, encode_entries};

fn record(at: u32) -> Record {
    Record {
        contact: Contact {
            id: format!("edge-zaal-hofvijver-{at}").parse().expect("valid id"),
            incarnation: Incarnation(1 << 52),
            data_centre: "zaal-hofvijver".parse().expect("valid id"),
            front: "10.100.100.100:18149".parse().expect("valid address"),
            peer: "10.100.100.100:18144".parse().expect("valid address"),
        },
        standing: Standing::Ready,
        served: true,
        serial: at,
        silent: at.is_multiple_of(2),
    }
}

/// An attestation of the maximum encoded size.
fn attestation() -> Attestation {
    let age = Duration::from_millis(u32::MAX.into());
    Attestation { attester: Attester(u32::MAX), serial: u32::MAX, age }
}

fn heartbeat(records: u32) -> Heartbeat {
    Heartbeat {
        sender: record(17),
        status: Status {
            standing: Standing::Ready,
            version: ConfigVersion(1 << 40),
            register: RegisterVersion { era: MAX_ERA, order: 1 << 56 },
            served: true,
        },
        wants_reply: true,
        switching: vec![Tag(1), Tag(2)],
        roster_digest: u64::MAX,
        records: (0..records).map(|at| record(100 + at)).collect(),
        register_digest: Some(RegisterDigest(u64::MAX)),
        register_update: None,
        quarantine_digest: u64::MAX,
        quarantined: Vec::new(),
        parts: Parts { digest: u64::MAX, is_complete: true, entries: Vec::new() },
        limits: Vec::new(),
        leaving: Vec::new(),
        attestations: Attestations {
            configuration: Some(attestation()),
            register: Some(attestation()),
        },
        time: Some(std::time::Duration::from_millis(1 << 42)),
    }
}

#[test]
fn decode_full_heartbeat_round_trip() {
    let object =
        pb::Object { name: "i-7f3a".to_owned(), revision: 7, content: vec![1; 300], era: None };
    let gone = vec!["i-1".to_owned()];
    let news =
        pb::Knowledge { runners: vec![object], gone, mark: 9, since: 8, ..Default::default() };
    let full = Heartbeat { register_update: Some(news), ..heartbeat(3) };
    assert_eq!(Heartbeat::decode(&full.encode(), Era(1)).expect("should decode"), full);
    let records = full.records;
    let nodes = encode_nodes(&records, Vec::new(), Parts::default());
    assert_eq!(decode_nodes(&nodes).expect("should decode"), records);
}

/// Guards against heartbeats that are lost because they do not fit into one packet.
#[test]
fn encode_full_heartbeat_fits_one_packet() {
    let length = heartbeat(MAX_RECORDS as u32).encode().len();
    assert!(length <= MAX_DATAGRAM_BYTES, "{length}");
}

fn entry(n: u64, now: Instant) -> Entry {
    Entry {
        request: Fingerprint::of(&[&n.to_le_bytes()]),
        serial: u32::MAX,
        stage: [Stage::Proposed, Stage::Confirmed, Stage::Restricted, Stage::Cleared]
            [n as usize % 4],
        ends: (0..MAX_ENDS as u64).map(|n| Tag(u64::MAX - n)).collect(),
        begun: MAX_ENDS as u32,
        events: 1 << 40,
        failed_trials: (0..MAX_FAILED_TRIALS as u64).map(|n| Tag(u64::MAX - n)).collect(),
        trials: u32::MAX,
        first: now - Duration::from_secs(80_000),
        since: now - Duration::from_secs(79_000),
    }
}

/// The maximum number of quarantine entries fits into a heartbeat without records.
#[test]
fn decode_entries_full_heartbeat_round_trip() {
    let now = Instant::now() + Duration::from_secs(86_400);
    let entries: Vec<Entry> = (0..MAX_ENTRIES_PER_MESSAGE as u64).map(|n| entry(n, now)).collect();
    let full = Heartbeat { quarantined: encode_entries(&entries, now), ..heartbeat(0) };
    let bytes = full.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    let decoded = Heartbeat::decode(&bytes, Era(1)).expect("should decode");
    assert_eq!(decode_entries(&decoded.quarantined, now).expect("should decode"), entries);
}

fn part_entry(n: u64, now: Instant) -> part::Entry {
    use part::Stage;
    part::Entry {
        subject: Fingerprint::of(&[&n.to_le_bytes()]).into(),
        serial: u32::MAX,
        stage: [
            Stage::Restricted,
            Stage::Proposed,
            Stage::Undecided,
            Stage::Quarantined,
            Stage::Cleared,
        ][n as usize % 5],
        crashes: (0..part::MAX_CRASHES as u64).map(|n| Tag(u64::MAX - n)).collect(),
        context: (0..part::MAX_CONTEXT as u64).map(|n| part::Mark(u64::MAX - n)).collect(),
        was_sound: true,
        trials: 3,
        tried: now - Duration::from_secs(78_000),
        first: now - Duration::from_secs(80_000),
        since: now - Duration::from_secs(79_000),
    }
}

/// The maximum number of entries of prompt parts fits into a heartbeat without records.
#[test]
fn decode_part_entries_full_heartbeat_round_trip() {
    let now = Instant::now() + Duration::from_secs(86_400);
    let count = part::MAX_ENTRIES_PER_MESSAGE as u64;
    let entries: Vec<_> = (0..count).map(|n| part_entry(n, now)).collect();
    let encoded = part_quarantine::encode_entries(&entries, now);
    let parts = Parts { digest: u64::MAX, is_complete: false, entries: encoded };
    let full = Heartbeat { parts, ..heartbeat(0) };
    let bytes = full.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    let decoded = Heartbeat::decode(&bytes, Era(1)).expect("should decode");
    assert_eq!(decoded, full);
    let decoded = part_quarantine::decode_entries(&decoded.parts.entries, now);
    assert_eq!(decoded.expect("should decode"), entries);
}

#[test]
fn decode_part_entries_out_of_range_rejected_or_bounded() {
    let now = Instant::now();
    let entry = part_entry(1, now + Duration::from_secs(86_400));
    let valid = part_quarantine::encode_entries(&[entry], now).remove(0);
    let short = pb::QuarantinedPart { subject: vec![1; 15], ..valid.clone() };
    let stage = pb::QuarantinedPart { stage: 9, ..valid.clone() };
    for invalid in [short, stage] {
        part_quarantine::decode_entries(&[invalid], now).expect_err("should be rejected");
    }
    let many = pb::QuarantinedPart {
        crashes: vec![1; 10_000],
        context: vec![1; 10_000],
        first_ms: u64::MAX,
        since_ms: u64::MAX,
        tried_ms: u64::MAX,
        ..valid
    };
    let decoded = part_quarantine::decode_entries(&[many], now).expect("should decode");
    let bounds = (decoded[0].crashes.len(), decoded[0].context.len());
    assert_eq!(bounds, (part::MAX_CRASHES, part::MAX_CONTEXT));
}

#[test]
fn decode_entries_out_of_range_rejected_or_bounded() {
    let now = Instant::now();
    let valid = encode_entries(&[entry(1, now + Duration::from_secs(86_400))], now).remove(0);
    let short = pb::Quarantined { request: vec![1; 15], ..valid.clone() };
    let stage = pb::Quarantined { stage: 9, ..valid.clone() };
    for invalid in [short, stage] {
        assert!(decode_entries(&[invalid], now).is_err());
    }
    let old = pb::Quarantined { first_ms: u64::MAX, since_ms: u64::MAX, ..valid.clone() };
    let many = pb::Quarantined { ends: vec![1; 10_000], ..valid };
    let decoded = decode_entries(&[old, many], now).expect("should decode with bounded values");
    assert!(decoded.iter().all(|entry| entry.ends.len() <= MAX_ENDS && entry.since <= now));
}

/// The maximum number of rate limits and leaving runners fits into a heartbeat without records.
#[test]
fn decode_max_limits_and_leaving_round_trip() {
    let limit = |n: u64| LimitReport {
        runner: Tag(u64::MAX - n),
        rate: Rate::new(6.7).filter(|_| n.is_multiple_of(2)),
        age: Duration::from_millis(80_000_000),
    };
    let leaving = (0..16).map(|n| Tag(u64::MAX - n)).collect();
    let full = Heartbeat { limits: (0..16).map(limit).collect(), leaving, ..heartbeat(0) };
    let bytes = full.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(Heartbeat::decode(&bytes, Era(1)).expect("should decode"), full);
}

#[test]
fn decode_invalid_rate_limit_error() {
    for rate in [-1.0, f64::NAN] {
        let limit = pb::RateLimit { runner: 1, rate: Some(rate), age_ms: u64::MAX };
        let sent = pb::Beat::decode(&heartbeat(0).encode()[..]).expect("should decode");
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

/// Guards against treating heartbeats of nodes of earlier versions, which contain no era, as
/// outdated, and against eras that do not fit into a fencing token.
#[test]
fn decode_era_missing_or_out_of_range() {
    let sent = pb::Beat::decode(&*heartbeat(0).encode()).expect("should decode");
    let decoded =
        |era| Heartbeat::decode(&pb::Beat { era, ..sent.clone() }.encode_to_vec(), Era(7));
    let era = |era| decoded(era).expect("should decode").status.register.era;
    assert_eq!((era(None), era(Some(0)), era(Some(8))), (Era(7), Era(0), Era(8)));
    assert!(decoded(Some(MAX_ERA.0 + 1)).is_err());
}

/// Guards against larger heartbeats, because a node sends 40 per second.
#[test]
fn encode_era_adds_few_bytes() {
    let length = |era| {
        let register = RegisterVersion { era: Era(era), order: 1 << 24 };
        let status = Status { register, ..heartbeat(0).status };
        Heartbeat { status, ..heartbeat(0) }.encode().len()
    };
    let without =
        pb::Beat { era: None, ..pb::Beat::decode(&*heartbeat(0).encode()).expect("should decode") };
    let register = pb::Beat { register: 1 << 24, ..without };
    assert!(length(1) <= register.encoded_len() + 4);
    assert!(length(MAX_ERA.0) <= register.encoded_len() + 4);
}
