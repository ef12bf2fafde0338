//! The commands about the fleet and its leases, with a store that was written before.

use super::bindings::{free_address, wait_until};
use super::fixtures::{assert_same, run, texts, TemporaryDirectory, PROGRAM};
use super::sample_fleet::{file, SampleFleet};
use std::process::{Command, Stdio};

#[test]
fn a_stored_fleet_is_told_with_the_same_words_and_json() {
    let fleet = SampleFleet::start("told");
    let mut output_of_all = String::new();
    let commands: &[(&[&str], &[&str])] = &[
        (&["fleet", "status"], &["--json"]),
        (&["fleet", "status"], &[]),
        (&["lease", "list"], &["--json"]),
        (&["lease", "list"], &[]),
        (&["lease", "show", "crane"], &["--json"]),
        (&["lease", "show", "crane"], &[]),
        (&["lease", "show", "nobody's"], &["--json"]),
        (&["lease", "release", "crane"], &[]),
        (&["lease", "release", "nobody's"], &[]),
        (&["lease", "show", "crane"], &["--json"]),
        (&["lease", "run", "quay"], &["--", "true"]),
        (&["lease", "run", "berth", "--span", "10ms"], &["--", "true"]),
        (
            &["lease", "run", "berth", "--wait", "30s"],
            &["--", "sh", "-c", "echo token $MINTSHELF_LEASE_TOKEN; exit 7"],
        ),
        (&["fleet", "init"], &[]),
    ];
    for (words, rest) in commands {
        let (code, output, errors) = fleet.run(words, rest);
        let command = [*words, *rest].concat().join(" ");
        // The replica's own directory is named in a rejection.
        let errors = errors.split(": ").last().unwrap_or("").trim_end();
        output_of_all.push_str(&format!("== {command}\n{output}code {code} {errors}\n"));
    }
    assert_same("fleet-commands.txt", &output_of_all);
}

#[test]
fn a_command_whose_lease_is_released_ends_with_the_same_code() {
    let fleet = SampleFleet::start("lost");
    let run = Command::new(PROGRAM)
        .args(["lease", "run", "berth", "--wait", "60s", "--span", "10s", "--config", &fleet.file])
        .args(["--", "sleep", "60"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    wait_until("the lease is held", || fleet.run(&["lease", "show", "berth"], &[]).0 == 0);
    assert_eq!(fleet.run(&["lease", "release", "berth"], &[]).0, 0);
    let ended = texts(run.wait_with_output().unwrap());
    assert_eq!(ended.0, 74, "{ended:?}");
}

#[test]
fn a_fleet_begins_once_and_without_replicas_nothing_is_told() {
    let directory = TemporaryDirectory::new("begins");
    let (listen, replica) = (free_address(), free_address());
    let file = directory.write("fleet.toml", &file(listen, replica, &directory));
    let place = directory.0.display().to_string();
    let mut output_of_all = String::new();
    for words in [
        &["fleet", "init"][..],
        &["fleet", "init"],
        &["fleet", "status", "--json"],
        &["lease", "list", "--json"],
        &["lease", "release", "berth"],
    ] {
        let (code, output, errors) = run(&[words, &["--config", &file]].concat());
        let text = format!("== {}\n{output}{errors}code {code}\n", words.join(" "));
        output_of_all
            .push_str(&text.replace(&place, "DIRECTORY").replace(&replica.to_string(), "ADDRESS"));
    }
    assert_same("fleet-begins.txt", &output_of_all);
}
