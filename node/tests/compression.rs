//! Compression of configurations for transfer between nodes.

use std::time::Instant;

use sardinepick_node::serve::compression::{MAX_CONTENT_BYTES, compress, decompress};
use sardinepick_testutils::fleet::deployment::large_configuration;

/// Guards against configurations that spread too slowly: uncompressed, a megabyte takes 0.84 s on a
/// link of 10 Mbit/s, and the last of 87 nodes gets it after six copies in a row, in 5 s instead of
/// the allowed 3 s.
#[test]
fn compress_large_configuration_under_fifth() {
    let content = large_configuration(2, 4_000).to_string();
    let began = Instant::now();
    let compressed = compress(content.as_bytes());
    let (compression_time, began) = (began.elapsed(), Instant::now());
    assert_eq!(decompress(&compressed).expect("valid data"), content);
    println!(
        "{} to {} bytes, {compression_time:?}, {:?}",
        content.len(),
        compressed.len(),
        began.elapsed()
    );
    assert!(
        compressed.len() * 5 < content.len(),
        "{} of {} bytes",
        compressed.len(),
        content.len()
    );
}

#[test]
fn decompress_corrupt_error() {
    let compressed = compress(large_configuration(2, 100).to_string().as_bytes());
    assert!(decompress(&compressed[..compressed.len() / 2]).is_err(), "truncated");
    assert!(decompress(b"{\"version\":2}").is_err(), "not compressed");
    let mut changed = compressed.to_vec();
    let last = changed.len() - 1;
    changed[last] ^= 1;
    assert!(decompress(&changed).is_err(), "one bit flipped");
}

#[test]
fn decompress_too_large_error() {
    let compressed = compress(&vec![b' '; usize::try_from(MAX_CONTENT_BYTES).expect("a size") + 1]);
    assert!(decompress(&compressed).is_err(), "{} bytes", compressed.len());
}
