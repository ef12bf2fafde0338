//! Frames that are cut, changed or made up reach a voter: an error or nothing, never a panic.

use mintshelf_consensus::replica::{encode, Stored, Voter, VoterError, FRAME_MAX, SNAPSHOT_EVERY};
use mintshelf_lease::command::{Command, Owner};
use mintshelf_lease::timing::{Nanos, Timing, MS, SECOND};
use protobuf::Message as _;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Three voters whose frames arrive at once, and all frames they sent.
struct Three {
    now: Nanos,
    stores: Vec<Stored>,
    voters: Vec<Voter>,
    frames: Vec<(usize, Vec<u8>)>,
    /// Hears nothing and is not heard.
    away: Option<usize>,
}

impl Three {
    fn new() -> Three {
        let stores: Vec<Stored> = (0..3).map(|_| Stored::new_fleet(&[1, 2, 3])).collect();
        let new = |(at, stored): (usize, &Stored)| {
            Voter::new(at as u64 + 1, stored, &Timing::default(), at as u64).unwrap()
        };
        let voters = stores.iter().enumerate().map(new).collect();
        Three { now: SECOND, stores, voters, frames: Vec::new(), away: None }
    }

    /// Writes what is to be written, and carries frames until there are none.
    fn settle(&mut self) {
        loop {
            let mut sent = Vec::new();
            for at in 0..3 {
                while let Some(batch) = self.voters[at].batch(self.now).unwrap() {
                    self.stores[at].write(&batch);
                    sent.extend(batch.at_once);
                    sent.extend(self.voters[at].synced(self.now));
                }
            }
            if sent.is_empty() {
                return;
            }
            for message in sent {
                let (to, bytes) = (message.to as usize - 1, encode(&message).unwrap());
                self.frames.push((to, bytes.clone()));
                if [to, message.from as usize - 1].iter().any(|at| self.away == Some(*at)) {
                    continue;
                }
                self.voters[to].receive(self.now, &bytes).unwrap();
            }
        }
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now += 100 * MS;
            self.voters.iter_mut().for_each(|voter| voter.tick(self.now));
            self.settle();
        }
    }

    /// So many commands, asked at all voters in turn but the one that is away.
    fn work(&mut self, commands: u32) {
        for n in 0..commands {
            let owner = Owner { member: format!("m{}", n % 7), incarnation: 1 };
            let lease = format!("l{}", n % 5);
            let command = Command::Acquire { lease, owner, duration: SECOND, wait: n % 2 == 0 };
            let at = n as usize % 3;
            if self.away != Some(at) {
                self.voters[at].propose(&command).unwrap();
                self.settle();
            }
        }
    }

    fn leader(&self) -> usize {
        self.voters.iter().position(|voter| voter.status().leads).expect("a leader")
    }
}

/// A fleet that has elected, granted, been asked at a follower and made snapshots.
fn busy() -> Three {
    let mut three = Three::new();
    three.run(60);
    three.work(1_200);
    three.run(20);
    three
}

#[test]
fn a_follower_far_behind_takes_a_snapshot_and_agrees() {
    let mut three = busy();
    let behind = (three.leader() + 1) % 3;
    three.away = Some(behind);
    three.work(3 * SNAPSHOT_EVERY as u32);
    let leader = three.leader();
    assert_ne!(three.voters[behind].leases(), three.voters[leader].leases());
    three.away = None;
    three.run(40);
    let leader = three.leader();
    assert_eq!(three.voters[behind].leases(), three.voters[leader].leases());
    assert!(three.frames.iter().any(|(to, frame)| {
        let message = raft::eraftpb::Message::parse_from_bytes(frame).unwrap();
        *to == behind && message.get_msg_type() == raft::eraftpb::MessageType::MsgSnapshot
    }));
    // Started again from what it has stored, it is where it was.
    let again: Voter =
        Voter::new(behind as u64 + 1, &three.stores[behind], &Timing::default(), 7).unwrap();
    assert!(
        again.status().committed + SNAPSHOT_EVERY as u64 >= three.voters[leader].status().applied
    );
}

#[test]
fn a_voter_whose_store_was_emptied_says_so_and_stops() {
    let mut three = busy();
    let wiped = (three.leader() + 1) % 3;
    let empty = Stored::new_fleet(&[1, 2, 3]);
    let mut voter: Voter = Voter::new(wiped as u64 + 1, &empty, &Timing::default(), 99).unwrap();
    let leader = three.leader();
    three.now += 100 * MS;
    three.voters[leader].tick(three.now);
    let batch = three.voters[leader].batch(three.now).unwrap().unwrap();
    let beat = batch.at_once.iter().find(|message| message.to as usize == wiped + 1).unwrap();
    let error = voter.receive(three.now, &encode(beat).unwrap()).unwrap_err();
    assert!(matches!(error, VoterError::StoreBehind { holds: 1, .. }), "{error}");
}

#[test]
fn a_stranger_another_voters_frame_and_a_long_one_are_refused() {
    let mut three = busy();
    let leader = three.leader();
    let (to, frame) = three.frames.last().cloned().unwrap();
    let elsewhere = (0..3).find(|at| *at != to).unwrap();
    let now = three.now;
    let refused = |three: &mut Three, at: usize, bytes: &[u8]| {
        let error = three.voters[at].receive(now, bytes).unwrap_err();
        assert!(matches!(error, VoterError::Frame(_)), "{error}");
    };
    refused(&mut three, elsewhere, &frame);
    refused(&mut three, leader, &vec![0; FRAME_MAX + 1]);
    refused(&mut three, leader, b"GET / HTTP/1.1\r\n\r\n");
    let mut message = raft::eraftpb::Message::default();
    (message.from, message.to, message.term) = (9, leader as u64 + 1, 1 << 40);
    message.set_msg_type(raft::eraftpb::MessageType::MsgRequestVote);
    refused(&mut three, leader, &encode(&message).unwrap());
}

#[test]
fn changed_and_made_up_frames_do_no_harm() {
    let three = busy();
    let (stores, frames) = (three.stores, three.frames);
    let (mut refused, mut taken) = (0, 0);
    for seed in 0..1_000u64 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut below = |n: usize| rng.next_u32() as usize % n.max(1);
        let at = below(3);
        let mut store = stores[at].clone();
        let mut voter: Voter = Voter::new(at as u64 + 1, &store, &Timing::default(), seed).unwrap();
        let mut now = SECOND;
        for _ in 0..60 {
            // Most go to whom they were meant for, and some of them whole.
            let (mut to, mut frame) = frames[below(frames.len())].clone();
            while to != at && below(20) > 0 {
                (to, frame) = frames[below(frames.len())].clone();
            }
            match below(8) {
                0 => frame.truncate(below(frame.len() + 1)),
                1 => {}
                2 => frame = (0..below(64)).map(|_| below(256) as u8).collect(),
                _ => {
                    for _ in 0..1 + below(3) {
                        let len = frame.len();
                        if let Some(byte) = frame.get_mut(below(len)) {
                            *byte = below(256) as u8;
                        }
                    }
                }
            }
            match voter.receive(now, &frame) {
                Ok(()) => taken += 1,
                Err(_) => refused += 1,
            }
            now += 50 * MS;
            voter.tick(now);
            while let Ok(Some(batch)) = voter.batch(now) {
                store.write(&batch);
                voter.synced(now);
            }
        }
    }
    assert!(refused > 1_000 && taken > 1_000, "{refused} refused, {taken} taken");
}
