//! Builds a program of the workspace that a test needs and cargo doesn't build for it: `cargo test
//! -p` builds only the programs of that package.

use std::{env, io, path::Path, process::Command};

use parking_lot::Mutex;

/// Held during a build, so that the tests of a process share it.
static BUILD: Mutex<()> = Mutex::new(());

/// Builds `program`, whose file has the name of its package, in the profile that its folder is
/// named after; does nothing if the file exists.
///
/// # Errors
///
/// Cargo can't be run or the build fails.
pub fn build_missing(program: &Path) -> io::Result<()> {
    let _guard = BUILD.lock();
    if program.exists() {
        return Ok(());
    }
    let invalid = || io::Error::other(format!("{} is not in a target folder", program.display()));
    let package = program.file_stem().ok_or_else(invalid)?;
    let profile_folder = program.parent().ok_or_else(invalid)?;
    let target_folder = profile_folder.parent().ok_or_else(invalid)?;
    let profile = profile_folder.file_name().ok_or_else(invalid)?;
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let status = Command::new(cargo)
        .args(["build", "--locked", "--quiet", "--package"])
        .arg(package)
        .arg("--profile")
        .arg(if profile == "debug" { "dev".as_ref() } else { profile })
        .arg("--target-dir")
        .arg(target_folder)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()?;
    match status.success() {
        true => Ok(()),
        false => Err(io::Error::other(format!("building {} failed: {status}", program.display()))),
    }
}
