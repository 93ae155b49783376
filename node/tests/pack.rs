//! Configurations packed for their way between nodes.

use std::time::Instant;

use sardinepick_node::serve::pack::{LARGEST, pack, unpack};
use sardinepick_testutils::fleet::deployment::large_configuration;

/// A configuration of a megabyte took 0.84 s a copy on a link of 10 Mbit/s, and the last of 87 nodes
/// has it after six copies one after the other: 5 s, where 3 s are allowed.
#[test]
fn pack_large_configuration_under_fifth() {
    let content = large_configuration(2, 4_000).to_string();
    let began = Instant::now();
    let packed = pack(content.as_bytes());
    let (packing, began) = (began.elapsed(), Instant::now());
    assert_eq!(unpack(&packed).expect("whole"), content);
    println!("{} to {} bytes, {packing:?}, {:?}", content.len(), packed.len(), began.elapsed());
    assert!(packed.len() * 5 < content.len(), "{} of {} bytes", packed.len(), content.len());
}

#[test]
fn unpack_broken_error() {
    let packed = pack(large_configuration(2, 100).to_string().as_bytes());
    assert!(unpack(&packed[..packed.len() / 2]).is_err(), "half of it");
    assert!(unpack(b"{\"version\":2}").is_err(), "never packed");
    let mut changed = packed.to_vec();
    let last = changed.len() - 1;
    changed[last] ^= 1;
    assert!(unpack(&changed).is_err(), "a bit changed on the way");
}

#[test]
fn unpack_far_too_much_error() {
    let packed = pack(&vec![b' '; usize::try_from(LARGEST).expect("a size") + 1]);
    assert!(unpack(&packed).is_err(), "{} bytes", packed.len());
}
