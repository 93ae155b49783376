//! It stands here since this package does not need the code that it writes.
//!
//! Writes `wire/src/generated` anew from `wire/proto`. Run it after a change there: `cargo run -p sardinepick-cli --example generate_wire`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let wire = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let descriptors = protox::compile(["peer.proto", "fleet.proto"], [wire.join("proto")])?;
    tonic_prost_build::configure().out_dir(wire.join("src/generated")).compile_fds(descriptors)?;
    Ok(())
}
