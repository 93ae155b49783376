//! Beats between nodes.

use proptest::prelude::*;
use sardinepick_lib::fleet::cache::{ChainKey, Part, Progress};
use sardinepick_lib::fleet::load::Load;
use sardinepick_lib::fleet::register::Reading;
use sardinepick_lib::fleet::roster::{Contact, Standing, Status};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::id::{ConfigVersion, Incarnation, Mark};
use sardinepick_wire::beat::{Beat, MOST_BYTES, MOST_LOADS, MOST_READINGS};

fn beat() -> Beat {
    let load = Load { requests: [90; 4], backlog: [9_000; 4], unread: [9; 4], tokens: 700_000 };
    let part = Part { key: ChainKey(u64::MAX), alone: ChainKey(u64::MAX), tokens: 40_000 };
    Beat {
        contact: Contact {
            id: "edge-zaal-hofvijver-17".parse().expect("an id"),
            incarnation: Incarnation(u64::MAX),
            data_centre: "zaal-hofvijver".parse().expect("an id"),
            front: "10.100.100.100:18149".parse().expect("an address"),
            peer: "10.100.100.100:18144".parse().expect("an address"),
        },
        status: Status {
            standing: Standing::Ready,
            version: ConfigVersion(1 << 40),
            register: Mark(1 << 56),
            served: true,
        },
        loads: (0..MOST_LOADS as u64).map(|n| (Tag(n), load)).collect(),
        readings: (0..MOST_READINGS as u64)
            .map(|n| Reading { runner: Tag(n), part, progress: Progress::Begun })
            .collect(),
        answer: true,
        away: vec![Tag(1), Tag(2)],
        more: true,
    }
}

#[test]
fn decode_full_beat_round_trip() {
    assert_eq!(Beat::decode(&beat().encode()).expect("it is one"), beat());
}

/// Symptom: loads are never heard under load. Cause: the beat is larger than a packet.
#[test]
fn encode_full_beat_one_packet() {
    let length = beat().encode().len();
    assert!(length <= MOST_BYTES, "{length}");
}

#[test]
fn decode_absurd_load_bounded() {
    let mut absurd = beat();
    absurd.loads[0].1.requests = [u32::MAX; 4];
    absurd.loads[0].1.backlog = [u64::MAX; 4];
    let read = Beat::decode(&absurd.encode()).expect("it is one");
    let sum: u64 = read.loads.iter().map(|(_, load)| load.backlog.iter().sum::<u64>()).sum();
    assert!(sum < u64::MAX / 1_000 && read.loads[0].1.total() < u32::MAX / 1_000);
}

proptest! {
    #[test]
    fn decode_any_bytes_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Beat::decode(&bytes);
    }
}
