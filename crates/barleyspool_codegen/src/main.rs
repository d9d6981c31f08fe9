//! Regenerates the committed RPC code from `schema/`.
//!
//! The output is committed so that a normal build does not need the generator. `check.sh` runs this program with
//! `--check`, which fails if the committed code differs from the code generated from the schema.

use std::error::Error;
use std::path::{Path, PathBuf};

/// The path of the schema, relative to the workspace root.
const SCHEMA_FILE: &str = "schema/barleyspool.proto";
/// The directory of the committed code, relative to the workspace root.
const OUTPUT_DIR: &str = "crates/barleyspool_wire/src/generated";
/// The name of the generated file; the generator writes one file per package of the schema.
const OUTPUT_FILE: &str = "barleyspool.v1.rs";

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let check = std::env::args().any(|arg| arg == "--check");
    let committed = root.join(OUTPUT_DIR);
    if !check {
        return generate(&root, &committed);
    }
    let temporary = std::env::temp_dir().join(format!("barleyspool-codegen-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    generate(&root, &temporary)?;
    let is_current =
        std::fs::read(temporary.join(OUTPUT_FILE))? == std::fs::read(committed.join(OUTPUT_FILE))?;
    std::fs::remove_dir_all(&temporary)?;
    if is_current {
        Ok(())
    } else {
        Err(
            format!("{OUTPUT_DIR}/{OUTPUT_FILE} is out of date with {SCHEMA_FILE}; run: cargo run -p barleyspool_codegen")
                .into(),
        )
    }
}

/// Generates the code for [`SCHEMA_FILE`] into `out_dir`.
fn generate(root: &Path, out_dir: &Path) -> Result<(), Box<dyn Error>> {
    let schema: PathBuf = root.join(SCHEMA_FILE);
    let files = protox::compile([&schema], [root.join("schema")])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(out_dir)
        .compile_fds(files)?;
    Ok(())
}
