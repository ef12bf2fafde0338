//! `mintshelf check`: every error in a file, in one run.

use crate::UNUSABLE;
use mintshelf_config::file;
use mintshelf_config::model::File;
use std::path::Path;
use std::process::ExitCode;

/// Reads a file, or says why not on standard error; the exit code tells which.
pub fn load(path: &Path) -> Result<File, ExitCode> {
    let bytes = std::fs::read(path).map_err(|e| {
        eprintln!("mintshelf: {}: {e}", path.display());
        ExitCode::from(UNUSABLE)
    })?;
    file::read(&path.display().to_string(), &bytes).map_err(|problems| {
        problems.iter().for_each(|problem| eprintln!("{problem}"));
        ExitCode::FAILURE
    })
}

/// Writes a file's errors to standard output.
pub fn run(path: &Path, json: bool) -> ExitCode {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) => {
            eprintln!("mintshelf: {}: {e}", path.display());
            return ExitCode::from(UNUSABLE);
        }
    };
    let problems = file::read(&path.display().to_string(), &bytes).err().unwrap_or_default();
    if json {
        let all: Vec<_> = problems.iter().map(|problem| problem.json()).collect();
        println!("{}", serde_json::Value::from(all));
    } else {
        problems.iter().for_each(|problem| println!("{problem}"));
    }
    if problems.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
