//! Every order of questions, answers, late copies, entries and changes of leader in a small case,
//! by the model checker, on the program's own state machines: two members, one of which is also
//! killed and starts again, and a whole of three units.

mod common;

use common::{free_earlier, free_former_lives};
use mintshelf_lease::command::Owner;
use mintshelf_lease::timing::{ClockError, Nanos, MS};
use mintshelf_quota::client::ShareHolder;
use mintshelf_quota::collector::Clerk;
use mintshelf_quota::config::Budget;
use mintshelf_quota::ledger::{Answer, Ask, Beat, Ledger};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// A step of true time.
const STEP: Nanos = 100 * MS;
const ERROR: ClockError = ClockError { ppm: 250_000 };
const BUDGET: Budget =
    Budget { whole: 3, floor: 0, members: 2, reserve: 0, span: 300 * MS, hold: 0, error: ERROR };

/// What is wrong on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// A promise is ended as soon as it can be proposed.
    BeforeTheSpan,
    /// A new leader goes on with the former one's counts, on a clock of its own.
    TrustsOldCounts,
    /// A smaller promise frees the rest as soon as it is made.
    ShrinkWhenAsked,
    /// What a former life holds is free when the next one asks.
    NewLifeTakesOver,
    /// Clocks are taken for true.
    NoMargin,
}

struct Case {
    mutant: Mutant,
    steps: u64,
    /// Changes of leader, questions that come twice, and whether the first member starts anew.
    changes: u8,
    copies: u8,
    restarts: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Member {
    holder: ShareHolder,
    /// In use now, and until when on the own clock: the span of what it was taken under.
    used: u64,
    until: Nanos,
    ask: Option<Ask>,
    answer: Option<Answer>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    at: u64,
    ledger: Ledger,
    clerk: Clerk,
    changes: u8,
    copies: u8,
    members: [Member; 2],
    /// What a killed process was using: its answers are not heard any more, but until its span
    /// is over it may be a stopped one that goes on.
    ghost: Option<ShareHolder>,
    entry: Option<Beat>,
    full: [bool; 2],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Move {
    Time,
    /// What was taken under a larger share is over.
    Settle(usize),
    /// A question reaches the leader; a copy of it stays on its way, or none.
    Ask(usize, bool),
    Beat,
    Apply,
    Answer(usize),
    NewLeader,
    Restart,
}

/// Slow holders and fast leaders: the worst that is allowed.
fn holders(at: u64) -> Nanos {
    at * STEP * 3 / 4
}

fn leaders(at: u64, changes: u8) -> Nanos {
    at * STEP * 5 / 4 + u64::from(changes) * 300 * MS
}

/// A step more by hand: `MINTSHELF_DEEP=1`.
fn deep(steps: u64) -> u64 {
    steps + u64::from(std::env::var_os("MINTSHELF_DEEP").is_some())
}

impl Member {
    /// Takes all that it may, and does not end what it has.
    fn use_all(&mut self, own: Nanos) {
        let limit = self.holder.limit(own);
        if limit.units >= self.used {
            (self.used, self.until) = (limit.units, limit.until);
        }
    }
}

impl Case {
    fn of(mutant: Mutant) -> Self {
        let (changes, copies, restarts) = match mutant {
            Mutant::NewLifeTakesOver => (0, 0, true),
            _ => (1, 0, false),
        };
        let steps = if mutant == Mutant::None { deep(4) } else { 5 };
        Case { mutant, steps, changes, copies, restarts }
    }

    fn budget(&self) -> Budget {
        match self.mutant {
            Mutant::NoMargin => Budget { error: ClockError { ppm: 0 }, ..BUDGET },
            _ => BUDGET,
        }
    }

    fn member(&self, number: usize, incarnation: u64, at: u64) -> Member {
        let owner = Owner { member: format!("m{number}"), incarnation };
        let mut holder = ShareHolder::new(owner, self.budget(), 1, holders(at));
        holder.needs(holders(at), 3);
        Member { holder, used: 0, until: 0, ask: None, answer: None }
    }

    fn apply(&self, world: &mut World, beat: Beat) {
        if self.mutant == Mutant::NewLifeTakesOver {
            free_former_lives(&mut world.ledger, &beat);
        }
        let answers = world.ledger.apply(&beat);
        if self.mutant == Mutant::ShrinkWhenAsked {
            free_earlier(&mut world.ledger, &answers);
        }
        world.clerk.applied(leaders(world.at, world.changes), &world.ledger);
        for answer in answers {
            let member = usize::from(answer.owner.member == "m1");
            world.members[member].answer = Some(answer);
        }
    }
}

impl Model for Case {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let ledger = Ledger::new(self.budget());
        let mut clerk = Clerk::default();
        clerk.lead(0, &ledger);
        vec![World {
            at: 0,
            ledger,
            clerk,
            changes: 0,
            copies: 0,
            members: [self.member(0, 1, 0), self.member(1, 1, 0)],
            ghost: None,
            entry: None,
            full: [false; 2],
        }]
    }

    fn actions(&self, world: &World, moves: &mut Vec<Move>) {
        if world.at < self.steps {
            moves.push(Move::Time);
        }
        for (who, member) in world.members.iter().enumerate() {
            if member.used > member.holder.limit(holders(world.at)).units {
                moves.push(Move::Settle(who));
            }
            if member.ask.is_some() {
                moves.push(Move::Ask(who, false));
                if world.copies < self.copies {
                    moves.push(Move::Ask(who, true));
                }
            }
            if member.answer.is_some() {
                moves.push(Move::Answer(who));
            }
        }
        moves.push(if world.entry.is_some() { Move::Apply } else { Move::Beat });
        if world.changes < self.changes && world.at > 0 {
            moves.push(Move::NewLeader);
        }
        if self.restarts && world.ghost.is_none() && world.members[0].used > 0 {
            moves.push(Move::Restart);
        }
    }

    fn next_state(&self, before: &World, action: Move) -> Option<World> {
        let mut world = before.clone();
        match action {
            Move::Time => {
                world.at += 1;
                let own = holders(world.at);
                for member in &mut world.members {
                    // What was taken under a share is over with its span: the hold is nothing.
                    if own >= member.until {
                        member.used = member.used.min(member.holder.limit(own).units);
                    }
                    member.use_all(own);
                    if let Some(ask) = member.holder.tick(own, member.used) {
                        member.ask = Some(ask);
                    }
                }
            }
            Move::Settle(who) => {
                let member = &mut world.members[who];
                member.used = 0;
                member.use_all(holders(world.at));
            }
            Move::Ask(who, copy) => {
                let ask = world.members[who].ask.clone()?;
                if copy {
                    world.copies += 1;
                } else {
                    world.members[who].ask = None;
                }
                if !world.clerk.ask(ask) {
                    return None;
                }
            }
            Move::Beat => {
                let mut now = leaders(world.at, world.changes);
                if self.mutant == Mutant::BeforeTheSpan {
                    now += BUDGET.span;
                }
                world.entry = Some(world.clerk.beat(now)?);
            }
            Move::Apply => {
                let beat = world.entry.take()?;
                self.apply(&mut world, beat);
            }
            Move::Answer(who) => {
                let answer = world.members[who].answer.take()?;
                let own = holders(world.at);
                let member = &mut world.members[who];
                member.holder.answered(own, &answer);
                member.use_all(own);
                world.full[who] |= member.used > 1;
            }
            Move::NewLeader => {
                world.changes += 1;
                if self.mutant != Mutant::TrustsOldCounts {
                    world.clerk.follow();
                    world.clerk.lead(leaders(world.at, world.changes), &world.ledger);
                }
            }
            Move::Restart => {
                let new = self.member(0, 2, world.at);
                world.ghost = Some(std::mem::replace(&mut world.members[0], new).holder);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never more than the whole", |_, world: &World| {
                let own = holders(world.at);
                let ghost = world.ghost.as_ref().map_or(0, |ghost| ghost.limit(own).units);
                let used: u64 = world.members.iter().map(|member| member.used).sum();
                used + ghost <= BUDGET.whole
            }),
            Property::sometimes("each has most of it at some time", |_, world: &World| {
                world.full == [true; 2]
            }),
        ]
    }
}

#[test]
fn no_order_of_events_passes_the_whole() {
    let case = Case::of(Mutant::None);
    let restarted = Case { changes: 0, restarts: true, ..Case::of(Mutant::None) };
    let copied = Case { changes: 0, copies: 1, steps: deep(3), ..Case::of(Mutant::None) };
    for case in [case, restarted, copied] {
        let checker = case.checker().threads(2).spawn_bfs().join();
        let (states, found) = (checker.unique_state_count(), checker.discoveries());
        println!("{states} states, {:?}", found.keys());
        assert!(!found.contains_key("never more than the whole"), "{states} states");
        assert!(states > 10_000, "{states} states prove little");
    }
}

#[test]
fn each_mutant_is_found() {
    for mutant in [
        Mutant::BeforeTheSpan,
        Mutant::TrustsOldCounts,
        Mutant::ShrinkWhenAsked,
        Mutant::NewLifeTakesOver,
        Mutant::NoMargin,
    ] {
        let checker = Case::of(mutant).checker().threads(2);
        let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        let found = checker.discoveries();
        println!("{mutant:?}: {} states, {:?}", checker.unique_state_count(), found.keys());
        assert!(found.contains_key("never more than the whole"), "{mutant:?} is not found");
    }
}
