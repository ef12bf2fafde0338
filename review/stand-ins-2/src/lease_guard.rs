//! A command under a lease whose guard process is killed: does its child stop before the next
//! holder's command begins?

use crate::harness::{free_address, is_running, listens, signal, sleep_ms, wait_for, Run, SIGKILL};
use crate::Outcome;
use std::io::Write;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

/// The work under the lease: an operation every 100 ms, `count` times. Each is a line with the time
/// and the fencing token.
pub fn work(file: &str, count: u32) {
    let token = std::env::var("MINTSHELF_LEASE_TOKEN").unwrap_or_default();
    let Ok(mut out) = std::fs::OpenOptions::new().create(true).append(true).open(file) else {
        return;
    };
    for _ in 0..count {
        let line = format!("{} {} {token}\n", unix_ms(), std::process::id());
        if out.write_all(line.as_bytes()).is_err() {
            return;
        }
        sleep_ms(100);
    }
}

struct Operation {
    at: u128,
    pid: u32,
    token: u64,
}

fn operations(file: &Path) -> Vec<Operation> {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let parse = |line: &str| {
        let mut parts = line.split(' ');
        Some(Operation {
            at: parts.next()?.parse().ok()?,
            pid: parts.next()?.parse().ok()?,
            token: parts.next()?.parse().ok()?,
        })
    };
    text.lines().filter_map(parse).collect()
}

/// Returns the child processes of a process.
fn children(parent: u32) -> Vec<u32> {
    let Ok(entries) = std::fs::read_dir("/proc") else { return Vec::new() };
    let pids =
        entries.flatten().filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    pids.filter(|pid| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let parent_of = stat.rsplit(')').next().and_then(|rest| rest.split_whitespace().nth(1));
        parent_of.and_then(|text| text.parse::<u32>().ok()) == Some(parent)
    })
    .collect()
}

pub fn play(run: &Run) -> Outcome {
    let addresses: Vec<_> = (0..3).map(|_| free_address()).collect();
    let listeners: Vec<_> = (0..3).map(|_| free_address()).collect();
    let endpoint = free_address();
    let voters: Vec<String> = (0..3)
        .map(|index| {
            format!("    {{ name = \"v{}\", address = \"{}\" }},", index + 1, addresses[index])
        })
        .collect();
    let mut files = Vec::new();
    for index in 0..3 {
        let directory = run.file(&format!("store{index}"));
        std::fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let text = format!(
            "listen = \"{}\"\n[clusters.web]\nendpoints = [\"{endpoint}\"]\n[[routes]]\ncluster = \"web\"\n\
             [fleet]\nfleet = \"lct-tunis\"\nname = \"v{}\"\naddress = \"{}\"\ndirectory = {directory:?}\n\
             voters = [\n{}\n]\n",
            listeners[index],
            index + 1,
            addresses[index],
            voters.join("\n"),
        );
        files.push(run.write(&format!("v{}.toml", index + 1), &text));
    }
    let mut replicas = Vec::new();
    for (index, file) in files.iter().enumerate() {
        let name = format!("init{}", index + 1);
        let command =
            format!("exec target/release/mintshelf fleet init --config {}", file.display());
        let mut init = run.start(&name, &command, &[]);
        if !wait_for(Duration::from_secs(10), || init.has_ended()) {
            return Err(format!("{name} does not end: {}", run.output_of(&name)));
        }
        let name = format!("v{}", index + 1);
        let command = format!("exec target/release/mintshelf run --config {}", file.display());
        replicas.push(run.start(&name, &command, &[]));
    }
    if !wait_for(Duration::from_secs(10), || listeners.iter().all(|address| listens(*address))) {
        return Err(format!("the replicas do not listen: {}", run.output_of("v1")));
    }
    let worker = "target/review-2/release/review-2";
    let (first_file, second_file) = (run.file("first"), run.file("second"));
    // A shell script as an operator writes it: the work is a child of the command, in its group.
    let start_holder = |name: &str, file: &Path, count: u32| {
        let command = format!(
            "exec target/release/mintshelf lease run nightly --config {} --wait 60s --span 10s -- \
             sh -c '{} work {} {count}; echo finished'",
            files[0].display(),
            worker,
            file.display(),
        );
        run.start(name, &command, &[])
    };
    let mut first = start_holder("first-holder", &first_file, 250);
    if !wait_for(Duration::from_secs(30), || operations(&first_file).len() > 5) {
        return Err(format!("the first holder does not begin: {}", run.output_of("first-holder")));
    }
    let mut second = start_holder("second-holder", &second_file, 50);
    sleep_ms(2_000);
    if run.trouble {
        let guards = children(first.pid());
        let [guard] = guards.as_slice() else { return Err(format!("guards: {guards:?}")) };
        let groups = children(*guard);
        run.log(format!("SIGKILL to the guard {guard} of the first holder {}", first.pid()));
        run.log(format!("command of the guard: {groups:?}"));
        signal(*guard, SIGKILL);
    }
    // The first holder's work takes 25 s, the lease 10 s at most after its last renewal.
    let begins = wait_for(Duration::from_secs(60), || !operations(&second_file).is_empty());
    run.log(format!("the second holder's command has begun: {begins}"));
    run.log(format!(
        "first holder says: {:?}; second: {:?}",
        run.output_of("first-holder"),
        run.output_of("second-holder")
    ));
    wait_for(Duration::from_secs(20), || second.has_ended());
    let (mine, next) = (operations(&first_file), operations(&second_file));
    let first_ended = first.has_ended();
    for operation in mine.iter().chain(&next).map(|operation| operation.pid) {
        if is_running(operation) {
            run.log(format!("the work of process {operation} still runs; ended by this case"));
            signal(operation, SIGKILL);
        }
    }
    drop((first, second, replicas));
    let (Some(begun), Some(last)) = (next.first(), mine.last()) else {
        return Err("no operations of both holders".into());
    };
    let from = mine[0].at;
    let list = |name: &str, operations: &[Operation]| {
        for operation in operations {
            let Operation { at, pid, token } = operation;
            run.log(format!(
                "operation of {name}: at {} ms, process {pid}, token {token}",
                at - from
            ));
        }
    };
    list("the first holder", &mine);
    list("the second holder", &next);
    let overlap = mine.iter().filter(|operation| operation.at >= begun.at).count();
    run.log(format!(
        "first holder (token {}) ended: {first_ended}, last operation at {} ms; second (token {}) from {} ms; \
         operations of the first beside the second: {overlap}",
        last.token,
        last.at - from,
        begun.token,
        begun.at - from,
    ));
    Ok(overlap == 0)
}
