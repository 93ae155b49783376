//! Beats between nodes.

use proptest::prelude::*;
use sardinepick_lib::fleet::roster::{Contact, MOST_RECORDS, Record, Standing, Status};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::id::{ConfigVersion, Incarnation, Mark};
use sardinepick_wire::beat::{Beat, MOST_BYTES, nodes, read_nodes};
use sardinepick_wire::fleet as pb;

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

fn beat(records: u32) -> Beat {
    Beat {
        sender: record(17),
        status: Status {
            standing: Standing::Ready,
            version: ConfigVersion(1 << 40),
            register: Mark(1 << 56),
            served: true,
        },
        answer: true,
        away: vec![Tag(1), Tag(2)],
        digest: u64::MAX,
        records: (0..records).map(|at| record(100 + at)).collect(),
        news: None,
    }
}

#[test]
fn decode_full_beat_round_trip() {
    let object = pb::Object { name: "i-7f3a".to_owned(), revision: 7, content: vec![1; 300] };
    let gone = vec!["i-1".to_owned()];
    let news =
        pb::Knowledge { runners: vec![object], gone, mark: 9, since: 8, ..Default::default() };
    let full = Beat { news: Some(news), ..beat(3) };
    assert_eq!(Beat::decode(&full.encode()).expect("it is one"), full);
    let records = full.records;
    assert_eq!(read_nodes(&nodes(&records)).expect("they are nodes"), records);
}

/// Symptom: a node is never heard. Cause: its beat is larger than a packet.
#[test]
fn encode_full_beat_one_packet() {
    let length = beat(MOST_RECORDS as u32).encode().len();
    assert!(length <= MOST_BYTES, "{length}");
}

proptest! {
    #[test]
    fn decode_any_bytes_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Beat::decode(&bytes);
    }
}
