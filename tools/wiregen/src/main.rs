//! Generates `crates/wire/src/generated/` from `crates/wire/proto/`.
//!
//! Run from the root of the repository: `cargo run --manifest-path tools/wiregen/Cargo.toml`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["peer.proto"], ["crates/wire/proto"])?;
    let out_dir = "crates/wire/src/generated";
    std::fs::create_dir_all(out_dir)?;
    tonic_prost_build::configure()
        .out_dir(out_dir)
        .bytes(".")
        .compile_fds(descriptors)?;
    Ok(())
}
