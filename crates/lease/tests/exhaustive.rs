//! Proof 3: every order of questions, answers, late copies, changes of leader and proposals in a
//! small case, by the model checker, on the program's own state machines. Agreement itself is
//! taken for granted here: what is applied, is applied once and in one order.

use mintshelf_lease::client::{Holder, Step};
use mintshelf_lease::expiry::Grantor;
use mintshelf_lease::lease::{Answer, Command, Lease, Leases, Owner};
use mintshelf_lease::timing::{ClockError, Nanos, MS};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;

/// A step of true time.
const STEP: Nanos = 100 * MS;
const SPAN: Nanos = 400 * MS;
const ERROR: ClockError = ClockError { ppm: 250_000 };

/// What is wrong on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Spans count from the answer.
    FromAnswer,
    /// Clocks are taken for true.
    NoMargin,
    /// A new leader goes on with the former one's counts, on a clock of its own.
    TrustsOldCounts,
    /// The last token is a leader's own affair.
    TokenFromMemory,
    /// The end of a span does not say which renewal it is about.
    AnyRenewal,
}

struct Case {
    mutant: Mutant,
    /// Steps of true time, changes of leader, questions that come twice, and how many of one
    /// holder may be on their way at once.
    steps: u64,
    changes: u8,
    copies: u8,
    on_way: usize,
}

impl Case {
    fn of(mutant: Mutant) -> Self {
        Case { mutant, steps: 11, changes: 2, copies: 1, on_way: 1 }
    }

    fn error(&self) -> ClockError {
        match self.mutant {
            Mutant::NoMargin => ClockError { ppm: 0 },
            _ => ERROR,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    at: u64,
    leases: Leases,
    grantor: Grantor,
    changes: u8,
    holders: [Holder; 2],
    questions: [Vec<(u64, Command)>; 2],
    answers: [Vec<(u64, Answer)>; 2],
    proposals: Vec<Command>,
    copies: u8,
    /// When the mutant asked last.
    asked: [u64; 2],
    highest: (u64, usize),
    fell: bool,
    got: [bool; 2],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Move {
    Time,
    /// A question reaches the voters; a copy of it stays on its way, or none.
    Ask(usize, usize, bool),
    Answer(usize, usize),
    Propose(usize),
    NewLeader,
}

/// Slow holders and fast leaders: the worst that is allowed.
fn holders(at: u64) -> Nanos {
    at * STEP * 3 / 4
}

fn leaders(at: u64, changes: u8) -> Nanos {
    at * STEP * 5 / 4 + u64::from(changes) * 300 * MS
}

impl Model for Case {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let holder = |n: u64| {
            let owner = Owner { member: format!("m{n}"), incarnation: 1 };
            Holder::new("a", owner, SPAN, self.error(), false)
        };
        let mut grantor = Grantor::new(self.error());
        grantor.lead(0, &Leases::default());
        vec![World {
            at: 0,
            leases: Leases::default(),
            grantor,
            changes: 0,
            holders: [holder(0), holder(1)],
            questions: Default::default(),
            answers: Default::default(),
            proposals: Vec::new(),
            copies: 0,
            asked: [0; 2],
            highest: (0, 0),
            fell: false,
            got: [false; 2],
        }]
    }

    fn actions(&self, world: &World, moves: &mut Vec<Move>) {
        if world.at < self.steps {
            moves.push(Move::Time);
        }
        for who in 0..2 {
            for n in 0..world.questions[who].len() {
                moves.push(Move::Ask(who, n, false));
                if world.copies < self.copies {
                    moves.push(Move::Ask(who, n, true));
                }
            }
            moves.extend((0..world.answers[who].len()).map(|n| Move::Answer(who, n)));
        }
        moves.extend((0..world.proposals.len()).map(Move::Propose));
        if world.changes < self.changes && world.at > 0 {
            moves.push(Move::NewLeader);
        }
    }

    fn next_state(&self, before: &World, action: Move) -> Option<World> {
        let mut world = before.clone();
        match action {
            Move::Time => {
                world.at += 1;
                for who in 0..2 {
                    let (own, mut steps) = (holders(world.at), Vec::new());
                    if self.mutant != Mutant::FromAnswer {
                        world.holders[who].tick(own, &mut steps);
                    } else if world.at >= world.asked[who] + 2 {
                        world.holders[who].clone().tick(own, &mut steps);
                        world.asked[who] = world.at;
                    }
                    for step in steps {
                        let Step::Send { number, command } = step else { continue };
                        let on_way = &mut world.questions[who];
                        on_way.push((number, command));
                        if on_way.len() > self.on_way {
                            on_way.remove(0);
                        }
                    }
                }
                let due = world.grantor.due(leaders(world.at, world.changes));
                due.into_iter().for_each(|command| {
                    if !world.proposals.contains(&command) {
                        world.proposals.push(command)
                    }
                });
            }
            Move::Ask(who, n, copy) => {
                let (number, command) = match copy {
                    true => world.questions[who][n].clone(),
                    false => world.questions[who].remove(n),
                };
                world.copies += u8::from(copy);
                let answer = self.apply(&mut world, &command);
                if let Answer::Granted { token } = answer {
                    let (highest, whose) = world.highest;
                    world.fell |= token < highest || token == highest && whose != who;
                    world.highest = (token, who);
                }
                let on_way = &mut world.answers[who];
                on_way.push((number, answer));
                if on_way.len() > self.on_way {
                    on_way.remove(0);
                }
            }
            Move::Answer(who, n) => {
                let (mut number, answer) = world.answers[who].remove(n);
                let (own, mut steps) = (holders(world.at), Vec::new());
                if self.mutant == Mutant::FromAnswer {
                    world.holders[who].tick(own, &mut steps);
                    number = steps.iter().find_map(|step| match step {
                        Step::Send { number, .. } => Some(*number),
                        _ => None,
                    })?;
                }
                world.holders[who].answered(own, number, &answer, &mut steps);
                world.got[who] |= world.holders[who].held(own).is_some();
            }
            Move::Propose(n) => {
                let mut command = world.proposals.remove(n);
                if let (Mutant::AnyRenewal, Command::Expire { token, renewal, lease }) =
                    (self.mutant, &mut command)
                {
                    let held = world.leases.get(lease).and_then(|lease| lease.held.as_ref());
                    *renewal = held.filter(|held| held.token == *token).map_or(0, |h| h.renewal);
                }
                self.apply(&mut world, &command);
            }
            Move::NewLeader => {
                world.changes += 1;
                let now = leaders(world.at, world.changes);
                if self.mutant != Mutant::TrustsOldCounts {
                    world.grantor = Grantor::new(self.error());
                    world.grantor.lead(now, &world.leases);
                }
                if self.mutant == Mutant::TokenFromMemory {
                    let bytes = postcard::to_allocvec(&world.leases).unwrap();
                    let (leases, _): (BTreeMap<String, Lease>, u64) =
                        postcard::from_bytes(&bytes).unwrap();
                    let bytes = postcard::to_allocvec(&(leases, 0u64)).unwrap();
                    world.leases = postcard::from_bytes(&bytes).unwrap();
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder at a time", |_, world: &World| {
                let own = holders(world.at);
                !world.holders.iter().all(|holder| holder.held(own).is_some())
            }),
            Property::always("tokens only grow", |_, world: &World| !world.fell),
            Property::sometimes("it goes from one to the other", |_, world: &World| {
                world.got == [true; 2]
            }),
        ]
    }
}

impl Case {
    fn apply(&self, world: &mut World, command: &Command) -> Answer {
        let answer = world.leases.apply(command);
        let now = leaders(world.at, world.changes);
        world.grantor.applied(now, &world.leases, "a");
        answer
    }
}

/// States seen, and what was found against which property.
fn explore(case: Case) -> (usize, Vec<&'static str>) {
    let checker = case.checker().threads(2).spawn_bfs().join();
    let found = checker.discoveries();
    (checker.unique_state_count(), found.keys().copied().collect())
}

#[test]
fn no_order_of_events_lets_two_hold() {
    let (states, found) = explore(Case::of(Mutant::None));
    println!("{states} states");
    assert_eq!(found, ["it goes from one to the other"], "{states} states");
    assert!(states > 10_000, "{states} states prove little");
}

#[test]
fn each_mutant_is_found() {
    for mutant in [
        Mutant::FromAnswer,
        Mutant::NoMargin,
        Mutant::TrustsOldCounts,
        Mutant::TokenFromMemory,
        Mutant::AnyRenewal,
    ] {
        let checker = Case::of(mutant).checker().threads(2);
        let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        let found = checker.discoveries();
        println!("{mutant:?}: {} states, {:?}", checker.unique_state_count(), found.keys());
        let safety = ["one holder at a time", "tokens only grow"];
        assert!(safety.iter().any(|name| found.contains_key(name)), "{mutant:?} is not found");
    }
}
