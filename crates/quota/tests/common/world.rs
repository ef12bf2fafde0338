//! Members that use whatever their shares allow, an agreed log with leaders that change, and a
//! network that loses, delays and copies; clocks run apart by all that is stated. Agreement itself
//! is taken for granted here (`crates/fleet` proves it): what is applied, is applied once and in
//! one order.
use super::{free_earlier, free_former_lives};
use mintshelf_lease::command::Owner;
use mintshelf_lease::timing::{ClockError, Nanos, MS, SECOND};
use mintshelf_quota::client::ShareHolder;
use mintshelf_quota::collector::Clerk;
use mintshelf_quota::config::Budget;
use mintshelf_quota::ledger::{Answer, Ask, Beat, Ledger};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What is wrong on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// A promise is ended when half of its span has passed.
    BeforeTheSpan,
    /// What a former life held is free at once when the next one asks.
    NewLifeTakesOver,
    /// A smaller promise frees the rest as soon as it is made.
    ShrinkWhenAsked,
    /// A member confirms what it was told, not what it has come down to.
    ConfirmsWhenTold,
    /// The floors are not set aside.
    FloorForgotten,
    /// A new life uses its floor beside what is left of the old one's.
    FloorAtOnce,
    /// Each part is rounded up.
    RoundedUp,
    /// A new leader goes on with the former one's counts, on a clock of its own.
    TrustsOldCounts,
    /// What was taken in the last moment is not waited for.
    HoldForgotten,
    /// Clocks are taken for true.
    NoMargin,
    /// A member counts its span from the answer.
    FromAnswer,
}

#[derive(Debug, Clone)]
pub struct Plan {
    pub members: usize,
    pub budget: Budget,
    /// Faults until then, calm after it.
    pub stormy: Nanos,
    pub calm: Nanos,
    pub mutant: Mutant,
    /// In calm one member alone has need; else all have.
    pub one_needs: bool,
}

impl Default for Plan {
    fn default() -> Self {
        let error = ClockError { ppm: 50_000 };
        let (span, hold) = (2 * SECOND, 1_500 * MS);
        let budget = Budget { whole: 103, floor: 5, members: 5, reserve: 100, span, hold, error };
        let (stormy, calm) = (30 * SECOND, 20 * SECOND);
        Plan { members: 5, budget, stormy, calm, mutant: Mutant::None, one_needs: true }
    }
}

/// A process's steady clock.
#[derive(Debug, Clone, Copy)]
struct Steady {
    offset: Nanos,
    ppm: i64,
}

impl Steady {
    fn drawn(rng: &mut Pcg64Mcg, error: ClockError) -> Self {
        // The extremes are what matters.
        let most = i64::from(error.ppm);
        let ppm = [-most, 0, most][rng.next_u32() as usize % 3];
        Steady { offset: u64::from(rng.next_u32()) * MS, ppm }
    }

    fn at(&self, now: Nanos) -> Nanos {
        let ran = i128::from(now) * i128::from(1_000_000 + self.ppm) / 1_000_000;
        self.offset + ran as u64
    }
}

struct Member {
    holder: ShareHolder,
    incarnation: u64,
    clock: Steady,
    /// When each unit in use ends, in true time.
    units: Vec<Nanos>,
    need: u64,
    stopped_until: Nanos,
    cut_until: Nanos,
    /// The last answer heard, for a mutant.
    heard: u64,
}

enum Way {
    Ask(Ask),
    Answer(usize, Answer),
    /// An entry on its way to being agreed.
    Entry(Beat, u64),
}

pub struct World {
    plan: Plan,
    rng: Pcg64Mcg,
    now: Nanos,
    members: Vec<Member>,
    /// Units of former lives that servers still work on.
    orphans: Vec<Nanos>,
    ledger: Ledger,
    clerk: Clerk,
    clock: Steady,
    epoch: u64,
    leaderless_until: Nanos,
    next_beat: Nanos,
    on_way: Vec<(Nanos, Way)>,
    /// The most in use at one time, and the first time it was over the whole.
    pub most: u64,
    pub breach: Option<(Nanos, u64)>,
    /// Unit-steps in use in the second half of calm, by member 0 and in all, and its steps.
    pub used_by_one: u64,
    pub used: u64,
    pub late_steps: u64,
    pub kills: u64,
    pub stops: u64,
    pub leaders: u64,
    pub entries: u64,
    pub bytes: u64,
}

const STEP: Nanos = 10 * MS;
const BEAT: Nanos = 100 * MS;

impl World {
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut agreed = plan.budget;
        match plan.mutant {
            Mutant::FloorForgotten => agreed.floor = 0,
            Mutant::HoldForgotten => agreed.hold = 0,
            Mutant::NoMargin => agreed.error = ClockError { ppm: 0 },
            _ => {}
        }
        let clock = Steady::drawn(&mut rng, plan.budget.error);
        let ledger = Ledger::new(agreed);
        let mut clerk = Clerk::default();
        clerk.lead(clock.at(0), &ledger);
        let members = (0..plan.members)
            .map(|member| (member, Steady::drawn(&mut rng, plan.budget.error)))
            .map(|(member, clock)| Member {
                holder: holder(&plan, member, 1, clock.at(0)),
                incarnation: 1,
                clock,
                units: Vec::new(),
                need: 0,
                stopped_until: 0,
                cut_until: 0,
                heard: 0,
            })
            .collect();
        World {
            plan,
            rng,
            now: 0,
            members,
            orphans: Vec::new(),
            ledger,
            clerk,
            clock,
            epoch: 1,
            leaderless_until: 0,
            next_beat: 0,
            on_way: Vec::new(),
            most: 0,
            breach: None,
            used_by_one: 0,
            used: 0,
            late_steps: 0,
            kills: 0,
            stops: 0,
            leaders: 1,
            entries: 0,
            bytes: 0,
        }
    }

    fn below(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most.max(1)
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.below(one_in) == 0
    }

    pub fn run(&mut self) {
        let end = self.plan.stormy + self.plan.calm;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let stormy = self.now < self.plan.stormy;
        if stormy {
            self.faults();
        }
        self.deliver(stormy);
        self.lead(stormy);
        for member in 0..self.members.len() {
            self.live(member, stormy);
        }
        self.check();
    }

    fn faults(&mut self) {
        for member in 0..self.members.len() {
            if self.chance(1_000) {
                self.kill(member);
            }
            if self.chance(700) {
                let long = self.below(5 * SECOND);
                self.members[member].stopped_until = self.now + long;
                self.stops += 1;
            }
            if self.chance(500) {
                let long = self.below(5 * SECOND);
                self.members[member].cut_until = self.now + long;
            }
            if self.chance(100) {
                let need = [0, 1, 7, 40, 200][self.below(5) as usize];
                self.members[member].need = need;
            }
        }
        if self.chance(300) {
            let long = if self.chance(5) { 6 * SECOND } else { 500 * MS };
            self.leaderless_until = self.now + self.below(long);
            self.new_leader();
        }
    }

    fn kill(&mut self, member: usize) {
        self.kills += 1;
        let clock = Steady::drawn(&mut self.rng, self.plan.budget.error);
        let born = clock.at(self.now);
        let old = &mut self.members[member];
        let life = old.incarnation + 1;
        self.orphans.append(&mut old.units);
        let holder = holder(&self.plan, member, life, born);
        *old = Member {
            holder,
            incarnation: life,
            clock,
            units: Vec::new(),
            need: old.need,
            stopped_until: 0,
            cut_until: old.cut_until,
            heard: 0,
        };
    }

    fn new_leader(&mut self) {
        (self.epoch, self.leaders) = (self.epoch + 1, self.leaders + 1);
        self.clock = Steady::drawn(&mut self.rng, self.plan.budget.error);
        if self.plan.mutant != Mutant::TrustsOldCounts {
            self.clerk.follow();
            self.clerk.lead(self.clock.at(self.now), &self.ledger);
        }
    }

    fn send(&mut self, stormy: bool, way: impl Fn() -> Way) {
        let copies = match stormy {
            true if self.chance(20) => 0,
            true if self.chance(20) => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let slow = stormy && self.chance(20);
            let late = self.below(if slow { 3 * SECOND } else { 30 * MS });
            self.on_way.push((self.now + late, way()));
        }
    }

    fn deliver(&mut self, stormy: bool) {
        let now = self.now;
        let mut due: Vec<_> = Vec::new();
        let mut later = Vec::new();
        for (at, way) in self.on_way.drain(..) {
            if at <= now {
                due.push((at, way))
            } else {
                later.push((at, way))
            }
        }
        self.on_way = later;
        due.sort_by_key(|(at, _)| *at);
        for (_, way) in due {
            match way {
                Way::Ask(ask) => {
                    if now >= self.leaderless_until {
                        self.clerk.ask(ask);
                    }
                }
                Way::Answer(member, answer) => self.answer(member, &answer),
                // One that a former leader proposed is agreed all the same, or never.
                Way::Entry(beat, epoch) => {
                    if epoch == self.epoch || !stormy || self.chance(2) {
                        self.apply(&beat, stormy);
                    }
                }
            }
        }
    }

    fn answer(&mut self, member: usize, answer: &Answer) {
        let now = self.now;
        let member = &mut self.members[member];
        if now < member.stopped_until.max(member.cut_until) {
            return;
        }
        let mut at = member.clock.at(now);
        if self.plan.mutant == Mutant::FromAnswer {
            // As if it had been asked just now.
            let mut asked = ShareHolder::clone(&member.holder);
            if let Some(ask) = asked.tick(at.max(asked.next()), 0) {
                at = at.max(member.holder.next());
                let answer = Answer { number: ask.number, ..answer.clone() };
                asked.answered(at, &answer);
                member.holder = asked;
            }
            return;
        }
        let mut answer = answer.clone();
        if self.plan.mutant == Mutant::RoundedUp {
            answer.promise.units += 1;
        }
        member.heard = member.heard.max(answer.promise.grant);
        member.holder.answered(at, &answer);
    }

    fn apply(&mut self, beat: &Beat, stormy: bool) {
        if self.plan.mutant == Mutant::NewLifeTakesOver {
            free_former_lives(&mut self.ledger, beat);
        }
        let answers = self.ledger.apply(beat);
        if self.plan.mutant == Mutant::ShrinkWhenAsked {
            free_earlier(&mut self.ledger, &answers);
        }
        self.clerk.applied(self.clock.at(self.now), &self.ledger);
        for answer in answers {
            let member: usize = answer.owner.member[1..].parse().unwrap();
            if self.now >= self.members[member].cut_until {
                self.send(stormy, || Way::Answer(member, answer.clone()));
            }
        }
    }

    fn lead(&mut self, stormy: bool) {
        if self.now < self.leaderless_until || self.now < self.next_beat {
            return;
        }
        self.next_beat = self.now + BEAT;
        let mut at = self.clock.at(self.now);
        if self.plan.mutant == Mutant::BeforeTheSpan {
            at += self.plan.budget.span / 2 + self.plan.budget.hold;
        }
        if let Some(beat) = self.clerk.beat(at) {
            self.entries += 1;
            let epoch = self.epoch;
            let slow = stormy && self.chance(30);
            let late = self.below(if slow { SECOND } else { 20 * MS });
            self.on_way.push((self.now + late, Way::Entry(beat, epoch)));
        }
    }

    fn live(&mut self, number: usize, stormy: bool) {
        let now = self.now;
        let hold = self.plan.budget.hold;
        let need = match (stormy, number) {
            (true, _) => self.members[number].need,
            (false, 0) => u64::from(u32::MAX),
            (false, _) if self.plan.one_needs => 0,
            (false, _) => 60,
        };
        let heard = self.members[number].heard;
        let member = &mut self.members[number];
        member.units.retain(|end| *end > now);
        if now < member.stopped_until {
            return;
        }
        let at = member.clock.at(now);
        member.holder.needs(at, need);
        // As much as is allowed, some of it for as long as can be.
        let allowed = member.holder.limit(at).at(at).min(need);
        let take = allowed.saturating_sub(member.units.len() as u64);
        for unit in 0..take {
            let long = if unit % 3 == 0 { hold } else { hold / 7 };
            member.units.push(now + long);
        }
        let used = member.units.len() as u64;
        let Some(mut ask) = member.holder.tick(at, used) else { return };
        if self.plan.mutant == Mutant::ConfirmsWhenTold {
            ask.confirms = heard;
        }
        self.bytes += postcard::to_allocvec(&ask).unwrap().len() as u64;
        if now >= self.members[number].cut_until {
            self.send(stormy, || Way::Ask(ask.clone()));
        }
    }

    /// It knows units in use and the whole only.
    fn check(&mut self) {
        let now = self.now;
        self.orphans.retain(|end| *end > now);
        let used: usize = self.members.iter().map(|member| member.units.len()).sum();
        let all = (used + self.orphans.len()) as u64;
        self.most = self.most.max(all);
        if all > self.plan.budget.whole && self.breach.is_none() {
            self.breach = Some((now, all));
        }
        if now > self.plan.stormy + self.plan.calm / 2 {
            self.late_steps += 1;
            self.used_by_one += self.members[0].units.len() as u64;
            self.used += all;
        }
    }
}

fn holder(plan: &Plan, member: usize, incarnation: u64, born: Nanos) -> ShareHolder {
    let mut own = plan.budget;
    if plan.mutant == Mutant::FloorAtOnce {
        own.hold = 0;
    }
    if plan.mutant == Mutant::NoMargin {
        own.error = ClockError { ppm: 0 };
    }
    ShareHolder::new(Owner { member: format!("m{member}"), incarnation }, own, 1, born)
}
