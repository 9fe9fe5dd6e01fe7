//! Writes `src/generated` from `proto/peer.proto`; run it from the repository's root.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .out_dir("src/generated")
        .bytes(".")
        .compile_fds(files)?;
    Ok(())
}
