//! Beats between nodes.

use proptest::prelude::*;
use sardinepick_lib::fleet::roster::{Contact, Standing, Status};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::id::{ConfigVersion, Incarnation, Mark};
use sardinepick_wire::beat::{Beat, MOST_BYTES};

fn beat() -> Beat {
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
        answer: true,
        away: vec![Tag(1), Tag(2)],
    }
}

#[test]
fn decode_full_beat_round_trip() {
    assert_eq!(Beat::decode(&beat().encode()).expect("it is one"), beat());
}

/// Symptom: a node is never heard. Cause: its beat is larger than a packet.
#[test]
fn encode_full_beat_one_packet() {
    let length = beat().encode().len();
    assert!(length <= MOST_BYTES, "{length}");
}

proptest! {
    #[test]
    fn decode_any_bytes_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Beat::decode(&bytes);
    }
}
