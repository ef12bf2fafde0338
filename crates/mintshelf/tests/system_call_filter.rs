//! The platform's sidecar under a system-call filter that kills it for `io_uring`, `splice`,
//! `sendfile` and their like, and for any socket but TCP and UDP over IPv4. What a filter cannot see
//! is read from `/proc`.

use mintshelf_test_support::{
    config, ok_response, request, send_request, wait_until, Discovery, Process as _, Server,
    Sidecar,
};
use seccompiler::{
    apply_filter, BpfProgram, SeccompAction, SeccompCmpArgLen, SeccompCmpOp, SeccompCondition,
    SeccompFilter, SeccompRule,
};
use std::collections::BTreeMap;
use std::os::unix::process::ExitStatusExt;
use std::process::Command;
use std::thread;

/// Set for the control process: this program itself, started to make a forbidden call.
const CONTROL: &str = "MINTSHELF_CONFINED_CONTROL";

/// Kills a process that makes one of the forbidden calls.
fn filter() -> BpfProgram {
    let always = |call| (call, Vec::new());
    let mut rules: BTreeMap<i64, Vec<SeccompRule>> = [
        libc::SYS_io_uring_setup,
        libc::SYS_io_uring_enter,
        libc::SYS_io_uring_register,
        libc::SYS_splice,
        libc::SYS_tee,
        libc::SYS_vmsplice,
        libc::SYS_sendfile,
        libc::SYS_copy_file_range,
    ]
    .map(always)
    .into();
    let is_not = |arg, value: i32| {
        let (length, op) = (SeccompCmpArgLen::Dword, SeccompCmpOp::Ne);
        SeccompCondition::new(arg, length, op, value as u64).unwrap()
    };
    let family = SeccompRule::new(vec![is_not(0, libc::AF_INET)]).unwrap();
    rules.insert(libc::SYS_socket, vec![family]);
    let (other, listed) = (SeccompAction::Allow, SeccompAction::KillProcess);
    let machine = std::env::consts::ARCH.try_into().unwrap();
    SeccompFilter::new(rules, other, listed, machine).unwrap().try_into().unwrap()
}

/// Runs what starts processes under the filter; they keep it.
fn confined<T: Send>(run: impl FnOnce() -> T + Send) -> T {
    thread::scope(|scope| {
        let confined = scope.spawn(|| {
            apply_filter(&filter()).unwrap();
            run()
        });
        confined.join().unwrap()
    })
}

/// The fields of `/proc/PID/stat` from the process's state on (the third field); none if it has
/// ended.
fn stat(pid: u32) -> Option<Vec<String>> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, rest) = text.rsplit_once(") ")?;
    Some(rest.split_whitespace().map(str::to_string).collect())
}

fn children(pid: u32) -> Vec<u32> {
    let entries = std::fs::read_dir("/proc").unwrap().flatten();
    let pids = entries.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let parent = pid.to_string();
    pids.filter(|of| stat(*of).is_some_and(|fields| fields[1] == parent)).collect()
}

#[test]
fn the_filter_kills_for_a_forbidden_call() {
    if std::env::var_os(CONTROL).is_some() {
        let _ = std::os::unix::net::UnixDatagram::unbound();
        return;
    }
    let control = |by: fn(&mut Command) -> std::process::ExitStatus| {
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["--exact", "the_filter_kills_for_a_forbidden_call"]).env(CONTROL, "1");
        by(&mut command)
    };
    let run = |command: &mut Command| command.output().unwrap().status;
    assert!(control(run).success(), "without the filter it may");
    let killed = confined(|| control(run));
    assert_eq!(killed.signal(), Some(libc::SIGSYS), "{killed}");
}

#[test]
fn the_platforms_sidecar_runs_in_one_process_on_ipv4_sockets_alone() {
    let first = Server::start(|_, _| Some(ok_response("first")));
    let second = Server::start(|_, _| Some(ok_response("second")));
    let discovery = Discovery::start(1, vec![first.entry("s-1"), second.entry("s-2")]);
    let new_discovery = Discovery::start(2, vec![second.entry("s-2")]);
    let file = config(discovery.address, vec![first.entry("s-1")]);
    let program = env!("CARGO_BIN_EXE_mintshelf");
    let mut sidecar = confined(|| Sidecar::start(program, file));
    for round in 0..50 {
        for class in ["safe", "keyed", "unsafe"] {
            let response = sidecar.send_request(&request(class, &format!("{class}-{round}")));
            assert_eq!(response.map(|response| response.status()), Some(200), "{class} {round}");
        }
    }
    // A new configuration, another discovery, other servers.
    let mut file = sidecar.config.clone();
    file["discovery"] = new_discovery.address.to_string().into();
    sidecar.reload(&file.to_string());
    let mut round = 0;
    wait_until("the list of the new discovery service is applied", || {
        round += 1;
        let response = sidecar.send_request(&request("safe", &format!("moved-{round}"))).unwrap();
        response.status() == 200 && response.body == b"second" && round > 20
    });
    let pid = sidecar.pid();
    // Every thread of it is still under the filter.
    assert_eq!(sidecar.status("Seccomp:"), 2);
    assert_eq!(children(pid), Vec::<u32>::new());
    // Page faults of children that it has waited for: it never had a child.
    assert_eq!(stat(pid).unwrap()[8], "0", "cminflt");
    let fds = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().flatten();
    let fds = fds.filter_map(|fd| std::fs::read_link(fd.path()).ok());
    for target in fds.map(|target| target.to_string_lossy().into_owned()) {
        assert!(!target.contains("io_uring"), "{target}");
        if let Some(inode) =
            target.strip_prefix("socket:[").and_then(|inode| inode.strip_suffix(']'))
        {
            let unix = std::fs::read_to_string("/proc/net/unix").unwrap();
            let named = unix.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
            // The pair that wakes it for signals has no name; no other is open.
            let named = named.filter(|fields| fields.get(6) == Some(&inode));
            assert!(named.clone().all(|fields| fields.len() == 7), "{inode} has a name");
        }
    }
    // Linked against the C library, which the platform preloads its own library beside.
    let maps = std::fs::read_to_string(format!("/proc/{pid}/maps")).unwrap();
    assert!(maps.lines().any(|line| line.contains("libc.so") || line.contains("libc-")));
    sidecar.signal("TERM");
    wait_until("the process ends", || !sidecar.is_running());
    let ended = sidecar.child.wait().unwrap();
    assert!(ended.success(), "{ended}");
    assert!(send_request(sidecar.address, &request("safe", "late")).is_none());
}
