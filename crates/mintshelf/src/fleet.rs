//! The process as one of a fleet: a voter beside the traffic, and the commands that ask voters.

use crate::{config_file, lease_run, runtime, EXIT_UNUSABLE};
use mintshelf_config::model::{FleetConfig, FleetVoter};
use mintshelf_consensus::persistent_state::PersistentState;
use mintshelf_consensus_node::client::{ask, tell};
use mintshelf_consensus_node::frame::Report;
use mintshelf_consensus_node::node::{run, Plan};
use mintshelf_consensus_node::store::{Identity, Opened, Store};
use mintshelf_lease::command::{self, Command, Owner, Response};
use serde_json::json;
use std::ffi::OsString;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Exit code where no voter answers.
const NOBODY: u8 = 69;

/// A voter that runs on a thread of its own: what it waits for, no request waits for.
pub struct Voting {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Voting {
    fn drop(&mut self) {
        drop(self.stop.take());
        drop(self.thread.take().map(JoinHandle::join));
    }
}

fn identity(fleet: &FleetConfig, id: u64) -> Identity {
    Identity { fleet: fleet.fleet.clone(), voter: id }
}

fn directory(fleet: &FleetConfig) -> Result<&Path, String> {
    // The file was checked: a voter has one.
    fleet.directory.as_deref().ok_or_else(|| "a voter without a directory".into())
}

/// Starts this process's voter, if it is one.
///
/// # Errors
/// Its store is in use, another's, damaged or empty, or its address is taken.
pub fn start(fleet: &FleetConfig) -> Result<Option<Voting>, String> {
    let Some(id) = fleet.id else { return Ok(None) };
    let directory = directory(fleet)?;
    let opened = Store::open(directory, &identity(fleet, id)).map_err(|error| error.to_string())?;
    let (store, Opened::Stored(stored)) = opened else {
        return Err(format!(
            "{}: the store is empty. In a new fleet, run mintshelf fleet init --config FILE at \
             each voter, once. If this voter has voted before, its store is lost: do not do that, \
             it would vote against what it has promised",
            directory.display()
        ));
    };
    let voter = |(n, voter): (usize, &FleetVoter)| (n as u64 + 1, voter.address);
    let all: Vec<(u64, SocketAddr)> = fleet.voters.iter().enumerate().map(voter).collect();
    let own = all.iter().find(|(other, _)| *other == id).map(|(_, at)| *at);
    let own = own.ok_or("a voter that the file does not name")?;
    let listener = TcpListener::bind(own)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .map_err(|error| format!("fleet {own}: {error}"))?;
    let plan = Plan {
        fleet: fleet.fleet.clone(),
        id,
        others: all.into_iter().filter(|(other, _)| *other != id).collect(),
        spans: fleet.timing,
    };
    let runtime = runtime().map_err(|error| format!("runtime: {error}"))?;
    let (stop, stopped) = oneshot::channel::<()>();
    let name = fleet.name.clone();
    let vote = move || {
        let ended = runtime.block_on(async {
            let listener =
                tokio::net::TcpListener::from_std(listener).map_err(|error| error.to_string())?;
            let stop = async { drop(stopped.await) };
            let (said, _) = watch::channel(None);
            run(plan, store, *stored, listener, said, stop).await.map_err(|e| e.to_string())
        });
        match ended {
            Ok(()) => tracing::info!(voter = name, "votes no more"),
            // Traffic goes on: nothing on a request's way asks the fleet.
            Err(error) => tracing::error!(voter = name, error, "votes no more"),
        }
    };
    let thread = std::thread::Builder::new().name("fleet".into()).spawn(vote);
    let thread = thread.map_err(|error| format!("thread: {error}"))?;
    tracing::info!(fleet = fleet.fleet, voter = fleet.name, address = %own, "votes");
    Ok(Some(Voting { stop: Some(stop), thread: Some(thread) }))
}

/// Done, or the exit code of a command that has said why not.
type Done = Result<(), ExitCode>;

/// Says what went wrong.
fn failed(what: String) -> ExitCode {
    eprintln!("mintshelf: {what}");
    ExitCode::FAILURE
}

/// A file's fleet, or what is wrong, and the exit code.
fn of(config: &Path) -> Result<FleetConfig, ExitCode> {
    let file = config_file::read(config).map_err(|error| {
        error.lines().iter().for_each(|line| eprintln!("mintshelf: {line}"));
        error.exit_code()
    })?;
    file.fleet.ok_or_else(|| failed(format!("{}: has no [fleet]", config.display())))
}

/// `mintshelf fleet init`: writes the beginning of a new fleet into this voter's store.
fn init(config: &Path) -> Done {
    let fleet = of(config)?;
    let what = begin(&fleet).map_err(failed)?;
    println!("{what}");
    Ok(())
}

fn begin(fleet: &FleetConfig) -> Result<String, String> {
    let id = fleet.id.ok_or_else(|| format!("'{}' is no voter: it keeps nothing", fleet.name))?;
    let directory = directory(fleet)?;
    let opened = Store::open(directory, &identity(fleet, id)).map_err(|error| error.to_string())?;
    let (store, Opened::Empty) = opened else {
        return Err(format!(
            "{}: holds a voter's store already; nothing done",
            directory.display()
        ));
    };
    let voters: Vec<u64> = (1..=fleet.voters.len() as u64).collect();
    store.begin_fleet(&PersistentState::new_fleet(&voters)).map_err(|error| error.to_string())?;
    Ok(format!(
        "voter '{}' of fleet '{}' begins in {}",
        fleet.name,
        fleet.fleet,
        directory.display()
    ))
}

/// A life of this command's own.
fn owner(fleet: &FleetConfig) -> Owner {
    use std::hash::{BuildHasher, Hasher, RandomState};
    let drawn = RandomState::new().build_hasher().finish() >> 32;
    Owner { member: fleet.name.clone(), incarnation: drawn }
}

/// What each voter says of itself, in the order of the file; none where it does not answer.
fn reports(fleet: &FleetConfig) -> Result<Vec<Option<Report>>, ExitCode> {
    let runtime = runtime().map_err(|error| failed(format!("runtime: {error}")))?;
    let owner = owner(fleet);
    let all = fleet.voters.iter().map(|voter| {
        let (name, owner, at) = (fleet.fleet.clone(), owner.clone(), voter.address);
        runtime.spawn(async move { tell(&name, owner, at).await })
    });
    let all: Vec<_> = all.collect();
    Ok(runtime.block_on(async {
        let mut reports = Vec::new();
        for report in all {
            reports.push(report.await.ok().flatten());
        }
        reports
    }))
}

/// Who leads by the newest election that any of them knows.
fn leader(reports: &[Option<Report>]) -> Option<&Report> {
    reports.iter().flatten().filter(|report| report.status.is_leader).max_by_key(|r| r.status.term)
}

/// `mintshelf fleet status`.
fn status(config: &Path, as_json: bool) -> Done {
    let fleet = of(config)?;
    let reports = reports(&fleet)?;
    let leads = leader(&reports);
    let newest = reports.iter().flatten().map(|r| r.status.committed_index).max().unwrap_or(0);
    let lag = |report: &Report| newest.saturating_sub(report.status.applied_index);
    if as_json {
        let voters: Vec<_> = fleet
            .voters
            .iter()
            .zip(&reports)
            .map(|(voter, report)| match report {
                None => json!({"name": voter.name, "address": voter.address.to_string(),
                               "answers": false}),
                Some(r) => json!({
                    "name": voter.name, "address": voter.address.to_string(), "answers": true,
                    "leads": r.status.is_leader, "term": r.status.term, "applied": r.status.applied_index,
                    "lag": lag(r), "lives": r.life, "members": r.members,
                }),
            })
            .collect();
        let leader = leads.and_then(|r| fleet.voters.get((r.status.id as usize).checked_sub(1)?));
        let whole = json!({"fleet": fleet.fleet, "leader": leader.map(|v| &v.name),
                           "voters": voters, "leases": leads.map_or(0, |r| r.leases.len())});
        println!("{whole:#}");
    } else {
        println!("fleet {}, {} leases", fleet.fleet, leads.map_or(0, |r| r.leases.len()));
        println!(
            "{:<16} {:<22} {:<9} {:>6} {:>9} {:>5} {:>6} {:>8}",
            "voter", "address", "role", "term", "applied", "lag", "lives", "members"
        );
        for (voter, report) in fleet.voters.iter().zip(&reports) {
            let at = voter.address.to_string();
            match report {
                None => println!("{:<16} {at:<22} no answer", voter.name),
                Some(r) => println!(
                    "{:<16} {at:<22} {:<9} {:>6} {:>9} {:>5} {:>6} {:>8}",
                    voter.name,
                    if r.status.is_leader { "leader" } else { "follower" },
                    r.status.term,
                    r.status.applied_index,
                    lag(r),
                    r.life,
                    r.members,
                ),
            }
        }
    }
    leads.map(drop).ok_or_else(|| nobody_leads(&fleet, &reports))
}

/// Says that nothing is agreed now.
fn nobody_leads(fleet: &FleetConfig, reports: &[Option<Report>]) -> ExitCode {
    let (all, here) = (fleet.voters.len(), reports.iter().flatten().count());
    let needed = all / 2 + 1;
    eprintln!("mintshelf: nobody leads: {here} of {all} voters answer, {needed} are needed");
    ExitCode::from(NOBODY)
}

/// `mintshelf lease list` and `show`.
fn leases(config: &Path, one: Option<&str>, as_json: bool) -> Done {
    let fleet = of(config)?;
    let reports = reports(&fleet)?;
    let report = leader(&reports).ok_or_else(|| nobody_leads(&fleet, &reports))?;
    let chosen = report.leases.iter().filter(|(name, _)| one.is_none_or(|one| one == name));
    let chosen: Vec<_> = chosen.collect();
    if let (Some(one), true) = (one, chosen.is_empty()) {
        return Err(failed(format!("nobody holds or waits for '{one}'")));
    }
    if as_json {
        let of = |(name, lease): &&(String, mintshelf_lease::lease::Lease)| {
            let held = lease.holder.as_ref().map(|held| {
                json!({"member": held.owner.member, "incarnation": held.owner.incarnation,
                       "token": held.token, "span_ms": held.duration / 1_000_000,
                       "renewals": held.renewals, "revoked": held.is_revoked})
            });
            let queue = lease.queue.iter().map(|waiter| &waiter.owner.member);
            json!({"lease": name, "held": held, "waiting": queue.collect::<Vec<_>>()})
        };
        println!("{:#}", serde_json::Value::from(chosen.iter().map(of).collect::<Vec<_>>()));
        return Ok(());
    }
    println!(
        "{:<24} {:<16} {:>8} {:>9} {:>9}  waiting",
        "lease", "holder", "token", "span ms", "renewals"
    );
    for (name, lease) in chosen {
        let waiting: Vec<_> = lease.queue.iter().map(|w| w.owner.member.as_str()).collect();
        let waiting = waiting.join(", ");
        match &lease.holder {
            None => println!("{name:<24} {:<16} {:>8} {:>9} {:>9}  {waiting}", "-", "-", "-", "-"),
            Some(held) => println!(
                "{name:<24} {:<16} {:>8} {:>9} {:>9}  {waiting}{}",
                held.owner.member,
                held.token,
                held.duration / 1_000_000,
                held.renewals,
                if held.is_revoked { " (revoked)" } else { "" },
            ),
        }
    }
    Ok(())
}

/// `mintshelf lease release`: its holder is not renewed, and it ends with its span.
fn release(config: &Path, lease: &str) -> Done {
    let fleet = of(config)?;
    let runtime = runtime().map_err(|error| failed(format!("runtime: {error}")))?;
    let voters: Vec<SocketAddr> = fleet.voters.iter().map(|voter| voter.address).collect();
    let command = Command::Revoke { lease: lease.to_owned() };
    match runtime.block_on(ask(&fleet.fleet, owner(&fleet), &voters, command)) {
        Some(Response::Done) => {
            println!("'{lease}' is not renewed any more, and ends with its span");
            Ok(())
        }
        Some(Response::Rejected(refusal)) => Err(failed(format!("'{lease}': {refusal}"))),
        _ => {
            eprintln!("mintshelf: no voter answers: try again when a majority is back");
            Err(ExitCode::from(NOBODY))
        }
    }
}

/// `mintshelf lease run`.
fn take(
    config: &Path,
    lease: String,
    wait: Duration,
    span: Option<Duration>,
    command: Vec<OsString>,
) -> Result<ExitCode, ExitCode> {
    let fleet = of(config)?;
    let span = span.map_or(fleet.timing.lease_duration, |span| span.as_nanos() as u64);
    if !(lease_run::SPAN_MIN..=command::DURATION_MAX).contains(&span) {
        eprintln!("mintshelf: --span is 1s to 24h");
        return Err(ExitCode::from(EXIT_UNUSABLE));
    }
    let owner = owner(&fleet);
    // Two runs beside one another are two members.
    let member = format!("{}#{}", owner.member, std::process::id());
    let owner = Owner { member, ..owner };
    let task = lease_run::Task { lease, span, wait, command };
    let runtime = runtime().map_err(|error| failed(format!("runtime: {error}")))?;
    runtime.block_on(lease_run::run(&fleet, owner, task)).map(ExitCode::from).map_err(failed)
}

/// The commands about the fleet.
#[derive(clap::Subcommand)]
pub enum FleetCommand {
    /// Begin a new fleet: once at each voter, before its first start
    Init {
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
    },
    /// Tell who leads, who answers and how far each voter is
    Status {
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
        /// Write it as JSON
        #[arg(long)]
        json: bool,
    },
}

/// The commands about leases.
#[derive(clap::Subcommand)]
pub enum LeaseCommand {
    /// Tell all leases that are held or waited for
    List {
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
        /// Write them as JSON
        #[arg(long)]
        json: bool,
    },
    /// Tell of one lease
    Show {
        /// Its name
        name: String,
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
        /// Write it as JSON
        #[arg(long)]
        json: bool,
    },
    /// Run a command while a lease is held; exit code its own, 75 if the lease is not got, 74 if
    /// it is lost
    Run {
        /// Its name
        name: String,
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
        /// How long to wait for it
        #[arg(long, value_parser = humantime::parse_duration, default_value = "0s")]
        wait: Duration,
        /// What each renewal counts for; the file's unless given, 1s at least
        #[arg(long, value_parser = humantime::parse_duration)]
        span: Option<Duration>,
        /// The command and its arguments; the token is in MINTSHELF_LEASE_TOKEN
        #[arg(last = true, required = true)]
        command: Vec<OsString>,
    },
    #[command(hide = true)]
    Guard {
        #[arg(long)]
        span_ns: u64,
        #[arg(long)]
        until_ns: u64,
        #[arg(last = true, required = true)]
        command: Vec<OsString>,
    },
    #[command(hide = true)]
    Stage {
        #[arg(long)]
        guard: u32,
        #[arg(last = true, required = true)]
        command: Vec<OsString>,
    },
    /// Have a lease end with its span: its holder is not renewed any more
    Release {
        /// Its name
        name: String,
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
    },
}

fn code(done: Done) -> ExitCode {
    done.err().unwrap_or(ExitCode::SUCCESS)
}

/// Does one of them.
pub fn fleet_command(command: FleetCommand) -> ExitCode {
    match command {
        FleetCommand::Init { config } => code(init(&config)),
        FleetCommand::Status { config, json } => code(status(&config, json)),
    }
}

/// Does one of them.
pub fn lease_command(command: LeaseCommand) -> ExitCode {
    match command {
        LeaseCommand::List { config, json } => code(leases(&config, None, json)),
        LeaseCommand::Show { name, config, json } => code(leases(&config, Some(&name), json)),
        LeaseCommand::Release { name, config } => code(release(&config, &name)),
        LeaseCommand::Run { name, config, wait, span, command } => {
            take(&config, name, wait, span, command).unwrap_or_else(|code| code)
        }
        LeaseCommand::Guard { span_ns, until_ns, command } => {
            lease_run::guard_main(span_ns, until_ns, &command)
        }
        LeaseCommand::Stage { guard, command } => lease_run::stage_main(guard, &command),
    }
}
