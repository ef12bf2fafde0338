//! `mintshelf check`: reports every problem in an operator's file.

use crate::config_file::{self, ConfigError};
use mintshelf_config::problem::Problem;
use serde_json::Value;
use std::path::Path;
use std::process::ExitCode;

/// Prints the problems in a file, as lines or as a JSON array, and returns the exit code.
pub fn run(path: &Path, as_json: bool) -> ExitCode {
    let Err(error) = config_file::read(path) else {
        print_problems(&[], as_json);
        return ExitCode::SUCCESS;
    };
    match &error {
        ConfigError::Unreadable { .. } => eprintln!("mintshelf: {error}"),
        ConfigError::Invalid(problems) => print_problems(problems, as_json),
    }
    error.exit_code()
}

fn print_problems(problems: &[Problem], as_json: bool) {
    if as_json {
        let all: Vec<Value> = problems.iter().map(Problem::to_json).collect();
        println!("{}", Value::from(all));
    } else {
        problems.iter().for_each(|problem| println!("{problem}"));
    }
}
