//! The world: true time that only the world knows, processes with clocks of their own, links
//! that cut, delay, lose and repeat, disks that lose what was not synced.

use super::checker::{Act, Shown};
use mintshelf_consensus::replica::{encode, Batch, Stored, Ticket, Voter};
use mintshelf_lease::client::{HolderAction, LeaseClient, LeaseConfig};
use mintshelf_lease::command::{Command, Owner, Response};
use mintshelf_lease::fence::Fence;
use mintshelf_lease::timing::{ClockError, Nanos, Timing, MS, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// A version of the holder that is wrong on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// Its span counts from the answer.
    FromAnswer,
    /// All take their clocks for true.
    NoMargin,
    /// It never shows its token to the resource before it acts.
    NoFence,
}

#[derive(Debug, Clone)]
pub struct Plan {
    pub voters: usize,
    pub contenders: usize,
    /// How long faults go on, and how long it is calm after them.
    pub stormy: Nanos,
    pub calm: Nanos,
    /// The clocks' error; they run apart by all of it.
    pub error: ClockError,
    pub lease: Nanos,
    /// Mean time between faults.
    pub fault_every: Nanos,
    /// Whether voters fail too; else only contenders are cut off.
    pub voters_fail: bool,
    pub mutant: Mutant,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            voters: 3,
            contenders: 4,
            stormy: 60 * SECOND,
            calm: 20 * SECOND,
            error: ClockError { ppm: 50_000 },
            lease: 3 * SECOND,
            fault_every: 2 * SECOND,
            voters_fail: true,
            mutant: Mutant::None,
        }
    }
}

/// A process: voters first, then contenders.
type Pid = usize;

enum Wire {
    Raft(Vec<u8>),
    Ask { number: u64, command: Command },
    Answer { number: u64, answer: Response },
}

enum Happens {
    Tick { pid: Pid, life: u64 },
    Synced { pid: Pid, life: u64, batch: Box<Batch> },
    Arrives { to: Pid, from: Pid, wire: Wire },
    ActEnds { pid: Pid, life: u64 },
    Fault,
    Heal,
    Continue { pid: Pid },
    Restart { pid: Pid },
}

struct Clock {
    offset: Nanos,
    ppm: i64,
}

impl Clock {
    fn at(&self, now: Nanos) -> Nanos {
        let drift = i128::from(now) * i128::from(self.ppm) / 1_000_000;
        self.offset + (i128::from(now) + drift) as Nanos
    }
}

struct VoterProcess {
    voter: Voter,
    asked: BTreeMap<Ticket, (Pid, u64)>,
    busy: bool,
}

struct Acting {
    token: u64,
    start: Nanos,
    disturbed: bool,
}

struct Contender {
    holder: LeaseClient,
    to: Pid,
    unanswered: u32,
    acting: Option<Acting>,
    acts_left: u32,
    rest_until: Nanos,
    /// When the mutant asked last.
    asked_at: Nanos,
}

enum Role {
    Voter(Option<Box<VoterProcess>>),
    Contender(Option<Box<Contender>>),
}

struct Process {
    clock: Clock,
    life: u64,
    stopped: bool,
    held_back: Vec<Happens>,
    role: Role,
}

pub struct World {
    plan: Plan,
    now: Nanos,
    seq: u64,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    slots: BTreeMap<usize, Happens>,
    processes: Vec<Process>,
    stores: Vec<Stored>,
    cuts: BTreeSet<(Pid, Pid)>,
    slow: bool,
    fence: Fence,
    rng: Pcg32,
    pub acts: Vec<Act>,
    pub shown: Vec<Shown>,
    pub frames: u64,
    /// How long each question waited for its lease, and whether it was held already.
    pub waits: Vec<(bool, Nanos)>,
    asked: BTreeMap<(Pid, u64), (bool, Nanos)>,
    pub crashes: u32,
    pub leaders: BTreeSet<(u64, u64)>,
}

impl World {
    pub fn new(plan: Plan, seed: u64) -> World {
        let voters: Vec<u64> = (1..=plan.voters as u64).collect();
        let mut world = World {
            stores: voters.iter().map(|_| Stored::new_fleet(&voters)).collect(),
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            slots: BTreeMap::new(),
            processes: Vec::new(),
            cuts: BTreeSet::new(),
            slow: false,
            fence: Fence::default(),
            rng: Pcg32::seed_from_u64(seed),
            acts: Vec::new(),
            shown: Vec::new(),
            frames: 0,
            waits: Vec::new(),
            asked: BTreeMap::new(),
            crashes: 0,
            leaders: BTreeSet::new(),
            plan,
        };
        for pid in 0..world.plan.voters + world.plan.contenders {
            let worst = i64::from(world.plan.error.ppm);
            // The ends of what is allowed, and something between.
            let ppm = [-worst, 0, worst][world.below(3) as usize];
            let offset = SECOND + world.below(1_000_000) * MS;
            let role = match pid < world.plan.voters {
                true => Role::Voter(None),
                false => Role::Contender(None),
            };
            let clock = Clock { offset, ppm };
            let (life, held_back) = (0, Vec::new());
            world.processes.push(Process { clock, life, stopped: false, held_back, role });
            world.start(pid);
        }
        let first = world.fault_pause();
        world.at(first, Happens::Fault);
        world
    }

    fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    fn at(&mut self, when: Nanos, what: Happens) {
        self.seq += 1;
        let slot = self.seq as usize;
        self.slots.insert(slot, what);
        self.queue.push(Reverse((when.max(self.now), self.seq, slot)));
    }

    /// What all take the clocks' error for.
    fn believed(&self) -> ClockError {
        match self.plan.mutant {
            Mutant::NoMargin => ClockError { ppm: 0 },
            _ => self.plan.error,
        }
    }

    fn spans(&self) -> Timing {
        Timing {
            election_timeout: 500 * MS,
            heartbeat_interval: 100 * MS,
            session_timeout: 2 * SECOND,
            lease_duration: self.plan.lease,
            clock_error: self.believed(),
        }
    }

    fn own(&self, pid: Pid) -> Nanos {
        self.processes[pid].clock.at(self.now)
    }

    fn start(&mut self, pid: Pid) {
        self.processes[pid].life += 1;
        self.processes[pid].stopped = false;
        let life = self.processes[pid].life;
        let spans = self.spans();
        if pid < self.plan.voters {
            let draw = self.rng.next_u64();
            let voter: Voter = Voter::new(pid as u64 + 1, &self.stores[pid], &spans, draw).unwrap();
            let process = VoterProcess { voter, asked: BTreeMap::new(), busy: false };
            self.processes[pid].role = Role::Voter(Some(Box::new(process)));
        } else {
            let contender = self.contender(pid);
            self.processes[pid].role = Role::Contender(Some(Box::new(contender)));
        }
        let first = self.now + self.below(100) * MS;
        self.at(first, Happens::Tick { pid, life });
    }

    fn contender(&mut self, pid: Pid) -> Contender {
        let owner = Owner { member: format!("m{pid}"), incarnation: self.processes[pid].life };
        let error = self.believed();
        let wait = self.below(2) == 0;
        let to = self.below(self.plan.voters as u64) as Pid;
        Contender {
            holder: LeaseClient::new(LeaseConfig {
                lease: "task".into(),
                owner,
                duration: self.plan.lease,
                clock_error: error,
                wait,
            }),
            to,
            unanswered: 0,
            acting: None,
            acts_left: 1 + self.below(12) as u32,
            rest_until: 0,
            asked_at: 0,
        }
    }

    /// Plays to the end.
    pub fn run(&mut self) {
        self.run_until(self.plan.stormy + self.plan.calm);
    }

    /// Plays on to a time.
    pub fn run_until(&mut self, end: Nanos) {
        while let Some(Reverse((when, seq, slot))) = self.queue.pop() {
            if when > end {
                self.queue.push(Reverse((when, seq, slot)));
                break;
            }
            self.now = when;
            let Some(what) = self.slots.remove(&slot) else { continue };
            self.happen(what);
        }
    }

    fn happen(&mut self, what: Happens) {
        let pid = match &what {
            Happens::Tick { pid, .. }
            | Happens::Synced { pid, .. }
            | Happens::ActEnds { pid, .. } => Some(*pid),
            Happens::Arrives { to, .. } => Some(*to),
            _ => None,
        };
        if let Some(pid) = pid.filter(|pid| self.processes[*pid].stopped) {
            self.processes[pid].held_back.push(what);
            return;
        }
        let alive = |world: &World, pid: Pid, life: u64| world.processes[pid].life == life;
        match what {
            Happens::Tick { pid, life } if alive(self, pid, life) => self.tick(pid, life),
            Happens::Synced { pid, life, batch } if alive(self, pid, life) => {
                self.synced(pid, *batch)
            }
            Happens::ActEnds { pid, life } if alive(self, pid, life) => self.act_ends(pid),
            Happens::Arrives { to, from, wire } => self.arrives(to, from, wire),
            Happens::Fault => self.fault(),
            Happens::Heal => {
                self.cuts.clear();
                self.slow = false;
            }
            Happens::Continue { pid } => {
                self.processes[pid].stopped = false;
                let held = std::mem::take(&mut self.processes[pid].held_back);
                held.into_iter().for_each(|what| self.at(self.now, what));
            }
            Happens::Restart { pid } if !self.is_up(pid) => self.start(pid),
            _ => {}
        }
    }

    fn is_up(&self, pid: Pid) -> bool {
        match &self.processes[pid].role {
            Role::Voter(voter) => voter.is_some(),
            Role::Contender(contender) => contender.is_some(),
        }
    }

    // ---------------------------------------------------------------- links

    fn post(&mut self, from: Pid, to: Pid, wire: Wire) {
        self.frames += 1;
        let lost = self.below(100) == 0;
        let delay = match (self.slow, self.below(20)) {
            (true, _) => self.below(2_500) * MS,
            (_, 0) => self.below(400) * MS,
            _ => MS + self.below(8) * MS,
        };
        if lost || self.cuts.contains(&(from, to)) {
            return;
        }
        // Voters' links keep what they carry whole; twice is what a new link may bring.
        if let (Wire::Raft(bytes), 0) = (&wire, self.below(50)) {
            let again = Wire::Raft(bytes.clone());
            let late = self.now + delay + self.below(1_000) * MS;
            self.at(late, Happens::Arrives { to, from, wire: again });
        }
        if let (Wire::Ask { number, command }, 0) = (&wire, self.below(20)) {
            let again = Wire::Ask { number: *number, command: command.clone() };
            let late = self.now + delay + self.below(4_000) * MS;
            self.at(late, Happens::Arrives { to, from, wire: again });
        }
        self.at(self.now + delay, Happens::Arrives { to, from, wire });
    }

    fn arrives(&mut self, to: Pid, from: Pid, wire: Wire) {
        let own = self.own(to);
        match &mut self.processes[to].role {
            Role::Voter(Some(process)) => match wire {
                Wire::Raft(bytes) => process.voter.receive(own, &bytes).expect("a voter's frame"),
                Wire::Ask { number, command } => {
                    if let Ok(ticket) = process.voter.propose(&command) {
                        process.asked.insert(ticket, (from, number));
                    }
                }
                Wire::Answer { .. } => {}
            },
            Role::Contender(Some(contender)) => {
                let Wire::Answer { number, answer } = wire else { return };
                if let (Some((renewal, at)), Response::Granted { .. }) =
                    (self.asked.remove(&(to, number)), &answer)
                {
                    self.waits.push((renewal, self.now - at));
                }
                let mut steps = Vec::new();
                if self.plan.mutant == Mutant::FromAnswer {
                    // It notes that it has asked when the answer is there.
                    contender.holder.tick(own, &mut steps);
                    let asked = steps.drain(..).find_map(|step| match step {
                        HolderAction::Send { request_id: number, .. } => Some(number),
                        _ => None,
                    });
                    if let Some(number) = asked {
                        contender.holder.handle_response(own, number, &answer, &mut steps);
                    }
                } else {
                    contender.holder.handle_response(own, number, &answer, &mut steps);
                }
                contender.unanswered = 0;
                self.steps(to, steps);
            }
            _ => return,
        }
        self.drive(to);
    }

    // --------------------------------------------------------------- voters

    fn tick(&mut self, pid: Pid, life: u64) {
        let own = self.own(pid);
        match &mut self.processes[pid].role {
            Role::Voter(Some(process)) => process.voter.tick(own),
            Role::Contender(Some(contender)) => {
                let mut steps = Vec::new();
                if self.plan.mutant != Mutant::FromAnswer {
                    contender.holder.tick(own, &mut steps);
                } else if own >= contender.asked_at + self.plan.lease / 3 {
                    contender.holder.clone().tick(own, &mut steps);
                    contender.asked_at = own;
                }
                self.steps(pid, steps);
            }
            _ => return,
        }
        self.drive(pid);
        let pause = if pid < self.plan.voters { 100 * MS } else { 20 * MS };
        self.at(self.now + pause, Happens::Tick { pid, life });
    }

    fn drive(&mut self, pid: Pid) {
        if pid >= self.plan.voters {
            return self.go_on(pid);
        }
        let own = self.own(pid);
        let Role::Voter(Some(process)) = &mut self.processes[pid].role else { return };
        let status = process.voter.status();
        if process.busy {
            return;
        }
        let Some(mut batch) = process.voter.batch(own).unwrap() else { return };
        process.busy = true;
        let at_once = std::mem::take(&mut batch.at_once);
        let answers: Vec<_> = std::mem::take(&mut batch.answers)
            .into_iter()
            .filter_map(|(ticket, answer)| Some((process.asked.remove(&ticket)?, answer)))
            .collect();
        if status.leads {
            self.leaders.insert((status.term, status.id));
        }
        for message in at_once {
            let bytes = encode(&message).unwrap();
            self.post(pid, message.to as Pid - 1, Wire::Raft(bytes));
        }
        for ((to, number), answer) in answers {
            self.post(pid, to, Wire::Answer { number, answer });
        }
        let life = self.processes[pid].life;
        let sync = if batch.must_sync { MS + self.below(10) * MS } else { 0 };
        self.at(self.now + sync, Happens::Synced { pid, life, batch: Box::new(batch) });
    }

    fn synced(&mut self, pid: Pid, batch: Batch) {
        let own = self.own(pid);
        self.stores[pid].write(&batch);
        let Role::Voter(Some(process)) = &mut self.processes[pid].role else { return };
        process.busy = false;
        for message in process.voter.synced(own) {
            let bytes = encode(&message).unwrap();
            self.post(pid, message.to as Pid - 1, Wire::Raft(bytes));
        }
        self.drive(pid);
    }

    // ----------------------------------------------------------- contenders

    fn steps(&mut self, pid: Pid, steps: Vec<HolderAction>) {
        for step in steps {
            let HolderAction::Send { request_id: number, command } = step else { continue };
            let voters = self.plan.voters as u64;
            let other = self.below(voters) as Pid;
            let Role::Contender(Some(contender)) = &mut self.processes[pid].role else { return };
            contender.unanswered += 1;
            if contender.unanswered > 2 {
                (contender.to, contender.unanswered) = (other, 0);
            }
            let to = contender.to;
            let renewal = matches!(command, Command::Renew { .. });
            self.asked.insert((pid, number), (renewal, self.now));
            self.post(pid, to, Wire::Ask { number, command });
        }
    }

    /// Acts, rests, gives back and wants again.
    fn go_on(&mut self, pid: Pid) {
        let own = self.own(pid);
        let (now, lease) = (self.now, self.plan.lease);
        let long = 50 * MS + self.below((lease / MS) / 3) * MS;
        let life = self.processes[pid].life;
        let clock = self.processes[pid].clock.ppm;
        let Role::Contender(Some(contender)) = &mut self.processes[pid].role else { return };
        if contender.acting.is_some() {
            return;
        }
        if contender.holder.is_released() && now >= contender.rest_until {
            contender.holder.request();
            contender.acts_left = 1 + (now / MS) as u32 % 12;
        }
        if contender.acts_left == 0 {
            contender.holder.release();
            return;
        }
        // What the act takes by its own clock, rounded up.
        let within = (long as i128 * (1_000_000 + clock as i128) / 1_000_000) as Nanos + 1;
        let Ok(token) = contender.holder.begin_operation(own, within) else { return };
        contender.acts_left -= 1;
        if contender.acts_left == 0 {
            contender.rest_until = now + lease;
        }
        contender.acting = Some(Acting { token, start: now, disturbed: false });
        self.at(now + long, Happens::ActEnds { pid, life });
        // Sometimes a process is stopped right after its check, or later in the act.
        if self.now < self.plan.stormy && self.below(12) == 0 {
            self.stop(pid);
            return;
        }
        self.show(token);
    }

    fn show(&mut self, token: u64) -> bool {
        let passed = match self.plan.mutant {
            Mutant::NoFence => true,
            _ => self.fence.admit("resource", token).is_ok(),
        };
        self.shown.push(Shown { at: self.now, token, passed });
        passed
    }

    fn act_ends(&mut self, pid: Pid) {
        let Role::Contender(Some(contender)) = &mut self.processes[pid].role else { return };
        let Some(Acting { token, start, disturbed }) = contender.acting.take() else { return };
        contender.holder.finish_operations();
        let passed = self.show(token);
        if disturbed && !passed {
            return;
        }
        self.acts.push(Act { who: pid, token, start, end: self.now, disturbed });
    }

    // --------------------------------------------------------------- faults

    fn fault_pause(&mut self) -> Nanos {
        let every = self.plan.fault_every;
        self.now + every / 4 + self.below(every * 3 / 2 / MS) * MS
    }

    fn stop(&mut self, pid: Pid) {
        if self.processes[pid].stopped {
            return;
        }
        self.processes[pid].stopped = true;
        if let Role::Contender(Some(contender)) = &mut self.processes[pid].role {
            contender.acting.iter_mut().for_each(|acting| acting.disturbed = true);
        }
        let long = 20 * MS + self.below(self.plan.lease * 2 / MS) * MS;
        self.at(self.now + long, Happens::Continue { pid });
    }

    fn kill(&mut self, pid: Pid) {
        self.crashes += 1;
        self.processes[pid].life += 1;
        self.processes[pid].stopped = false;
        self.processes[pid].held_back.clear();
        // What was being written is lost: it goes with the events of the former life.
        match &mut self.processes[pid].role {
            Role::Voter(voter) => *voter = None,
            Role::Contender(contender) => {
                // What it did until then counts up to here.
                let acting = contender.take().and_then(|contender| contender.acting);
                if let Some(Acting { token, start, disturbed }) = acting {
                    let end = self.now;
                    self.acts.push(Act { who: pid, token, start, end, disturbed });
                }
            }
        }
        let back = self.now + 50 * MS + self.below(4_000) * MS;
        self.at(back, Happens::Restart { pid });
    }

    /// Who leads, and who holds the lease.
    fn victims(&self, leader: bool, holder: bool) -> Vec<Pid> {
        let is = |pid: &Pid| match &self.processes[*pid].role {
            Role::Voter(Some(process)) => leader && process.voter.status().leads,
            Role::Contender(Some(contender)) => {
                holder && contender.holder.active_grant(self.own(*pid)).is_some()
            }
            _ => false,
        };
        (0..self.processes.len()).filter(is).collect()
    }

    /// Kills who leads, who holds, or both.
    pub fn strike(&mut self, leader: bool, holder: bool) {
        self.victims(leader, holder).into_iter().for_each(|pid| self.kill(pid));
    }

    fn fault(&mut self) {
        if self.now >= self.plan.stormy {
            return self.at(self.now, Happens::Heal);
        }
        let all = self.processes.len() as u64;
        let (voters, pid) = (self.plan.voters as u64, self.below(all) as Pid);
        match self.below(8) {
            _ if !self.plan.voters_fail => {
                let pid = (voters + self.below(all - voters)) as Pid;
                for voter in 0..voters as Pid {
                    self.cuts.insert((pid, voter));
                    self.cuts.insert((voter, pid));
                }
            }
            0 => self.kill(pid),
            1 => self.stop(pid),
            2 => {
                // The leader and a holder in one stroke.
                self.victims(true, true).into_iter().for_each(|pid| self.kill(pid));
            }
            3 => {
                // One way: it is heard and hears not, or the reverse.
                let hears = self.below(2) == 0;
                for other in 0..all as Pid {
                    self.cuts.insert(if hears { (pid, other) } else { (other, pid) });
                }
            }
            4 => {
                let at = 1 + self.below(voters - 1) as Pid;
                for one in 0..at {
                    for other in at..voters as Pid {
                        self.cuts.insert((one, other));
                        self.cuts.insert((other, one));
                    }
                }
            }
            5 => self.slow = true,
            6 => (0..voters as Pid).for_each(|pid| self.kill(pid)),
            _ => self.at(self.now, Happens::Heal),
        }
        if self.below(2) == 0 {
            let heal = self.now + self.below(3_000) * MS;
            self.at(heal, Happens::Heal);
        }
        let next = self.fault_pause();
        self.at(next, Happens::Fault);
    }
}
