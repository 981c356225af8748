//! Writes `crates/wire/src/generated/` anew from `crates/wire/proto/`.
//!
//! Run from the root of the repository: `cargo run --manifest-path tools/wiregen/Cargo.toml`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = protox::compile(["peer.proto"], ["crates/wire/proto"])?;
    let out = "crates/wire/src/generated";
    std::fs::create_dir_all(out)?;
    tonic_prost_build::configure()
        .out_dir(out)
        .bytes(".")
        .compile_fds(files)?;
    Ok(())
}
