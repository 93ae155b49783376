//! Regenerates `wire/src/generated` from `wire/proto`.
//!
//! Run it after a change to `wire/proto`: `cargo run -p sardinepick-cli --example generate_wire`.
//! It belongs to this package because this package does not depend on the generated code.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let wire = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let descriptors = protox::compile(["peer.proto", "fleet.proto"], [wire.join("proto")])?;
    tonic_prost_build::configure()
        .bytes(".sardinepick.fleet.RelayPart.data")
        .out_dir(wire.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
