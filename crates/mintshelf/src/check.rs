//! `mintshelf check`: every error in a file, in one run.

use crate::UNUSABLE;
use mintshelf_config::file;
use mintshelf_config::model::OperatorConfig;
use mintshelf_config::problem::Problem;
use std::path::Path;
use std::process::ExitCode;

/// Why there is no file to work with.
pub enum Unusable {
    /// It can't be read; a line that says why.
    Unread(String),
    /// It has these errors.
    Broken(Vec<Problem>),
}

impl Unusable {
    /// What is wrong, a line each.
    pub fn lines(&self) -> Vec<String> {
        match self {
            Unusable::Unread(line) => vec![line.clone()],
            Unusable::Broken(problems) => problems.iter().map(Problem::to_string).collect(),
        }
    }

    /// The exit code that tells the two apart.
    pub fn code(&self) -> ExitCode {
        match self {
            Unusable::Unread(_) => ExitCode::from(UNUSABLE),
            Unusable::Broken(_) => ExitCode::FAILURE,
        }
    }
}

/// Reads a file.
pub fn read(path: &Path) -> Result<OperatorConfig, Unusable> {
    let name = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|e| Unusable::Unread(format!("{name}: {e}")))?;
    file::parse(&name, &bytes).map_err(Unusable::Broken)
}

/// Writes a file's errors to standard output.
pub fn run(path: &Path, json: bool) -> ExitCode {
    let (problems, code) = match read(path) {
        Ok(_) => (Vec::new(), ExitCode::SUCCESS),
        Err(Unusable::Broken(problems)) => (problems, ExitCode::FAILURE),
        Err(Unusable::Unread(line)) => {
            eprintln!("mintshelf: {line}");
            return ExitCode::from(UNUSABLE);
        }
    };
    if json {
        let all: Vec<_> = problems.iter().map(|problem| problem.to_json()).collect();
        println!("{}", serde_json::Value::from(all));
    } else {
        problems.iter().for_each(|problem| println!("{problem}"));
    }
    code
}
