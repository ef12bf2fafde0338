//! `mintshelf lease run`: a command runs under its lease and never after it.

use crate::cluster::{Cluster, PROGRAM};
use crate::text;
use mintshelf_test_support::wait_until;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

/// Starts `lease run` with a shell's script.
fn start_run(cluster: &Cluster, wait: &str, script: &str) -> Child {
    Command::new(PROGRAM)
        .args(["lease", "run", "job", "--span", "5s", "--wait", wait, "--config"])
        .arg(cluster.file(0))
        .args(["--", "sh", "-c", script])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// A file that a script writes its token to, again and again.
struct TokenFile(PathBuf);

impl TokenFile {
    /// A script whose child process writes until it is ended.
    fn script(&self) -> String {
        let file = self.0.display();
        format!("(while true; do echo $MINTSHELF_LEASE_TOKEN >> {file}; sleep 0.05; done) & wait")
    }

    fn tokens(&self) -> Vec<u64> {
        let text = std::fs::read_to_string(&self.0).unwrap_or_default();
        text.lines().map(|line| line.parse().unwrap()).collect()
    }

    fn line_count(&self) -> usize {
        std::fs::read_to_string(&self.0).unwrap_or_default().lines().count()
    }

    fn is_written(&self) -> bool {
        let before = self.line_count();
        thread::sleep(Duration::from_millis(400));
        self.line_count() > before
    }
}

fn signal(child: &Child, signal: &str) {
    let id = child.id().to_string();
    let status = Command::new("kill").arg(format!("-{signal}")).arg(id).status();
    assert!(status.unwrap().success());
}

fn wait_for_exit(child: &mut Child, event: &str) -> Option<i32> {
    wait_until(event, || child.try_wait().unwrap().is_some());
    child.wait().unwrap().code()
}

#[test]
fn a_command_runs_under_its_lease_and_never_after_it() {
    let mut cluster = Cluster::new("run", 3);
    cluster.initialize();
    let script = "echo token $MINTSHELF_LEASE_TOKEN; exit 7";
    let output = start_run(&cluster, "10s", script).wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(7), "{output:?}");
    assert!(text(&output.stdout).starts_with("token "), "{output:?}");
    // While the lease is held it is not granted to another holder.
    let first_file = TokenFile(cluster.directory.join("first"));
    let mut first = start_run(&cluster, "10s", &first_file.script());
    wait_until("the first runs", || first_file.line_count() > 0);
    let output = start_run(&cluster, "0s", "echo never").wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(75), "{output:?}");
    assert!(output.stdout.is_empty());
    // A stopped holder renews nothing: its guard ends the command and the child of that before the
    // next holder's command begins.
    let second_file = TokenFile(cluster.directory.join("next"));
    let mut second = start_run(&cluster, "60s", &second_file.script());
    signal(&first, "STOP");
    wait_until("the second runs", || second_file.line_count() > 0);
    assert!(!first_file.is_written(), "the first goes on beside the second");
    let (first_tokens, second_tokens) = (first_file.tokens(), second_file.tokens());
    assert!(first_tokens[0] < second_tokens[0], "{first_tokens:?} {second_tokens:?}");
    signal(&first, "CONT");
    assert_eq!(wait_for_exit(&mut first, "the first ends"), Some(74));
    // The command of a killed holder ends at once.
    assert!(second_file.is_written());
    second.kill().unwrap();
    second.wait().unwrap();
    wait_until("the second command is ended", || !second_file.is_written());
    // Without a majority the command is ended in time, and the exit code says so.
    let third_file = TokenFile(cluster.directory.join("last"));
    let mut third = start_run(&cluster, "60s", &third_file.script());
    wait_until("the third runs", || third_file.line_count() > 0);
    (0..2).for_each(|index| cluster.kill(index));
    assert_eq!(wait_for_exit(&mut third, "the third ends"), Some(74));
    assert!(!third_file.is_written());
}
