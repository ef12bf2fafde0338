//! A member that wants a lease, holds it and gives it back.

use crate::fence::Token;
use crate::lease::{Answer, Command, Owner, Refusal};
use crate::timing::{ClockError, Nanos};
use thiserror::Error;

/// What there is to do for a holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// Take this to the voters; the answer comes back with the number.
    Send {
        /// The number of the question.
        number: u64,
        /// The question.
        command: Command,
    },
    /// The lease is held: acts may begin.
    Got {
        /// By this grant.
        token: Token,
    },
    /// It is held no more: what it does is to be over, and nothing may begin.
    Lost,
    /// The voters will not have it.
    Refused(Refusal),
}

/// Why an act may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NotNow {
    /// The lease is not held.
    #[error("the lease is not held")]
    NotHeld,
    /// The act could outlast the lease.
    #[error("the act may take {within}ns, and {left}ns of the lease are left")]
    TooShort {
        /// What it may take.
        within: Nanos,
        /// What is left.
        left: Nanos,
    },
}

/// The lease as it is held: until when on the own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Hold {
    token: Token,
    until: Nanos,
}

/// One question on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Asked {
    number: u64,
    at: Nanos,
}

/// Wants one lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    lease: String,
    owner: Owner,
    span: Nanos,
    error: ClockError,
    wait: bool,
    wanted: bool,
    hold: Option<Hold>,
    /// The last grant heard of.
    token: Option<Token>,
    asked: Option<Asked>,
    ask_at: Nanos,
    last_number: u64,
    /// Until when acts that have begun may last.
    busy_until: Nanos,
    /// Asked for, and not known to be given back.
    owed: bool,
}

impl Holder {
    /// Wants a lease from now on; `wait`: in the queue for it.
    pub fn new(lease: &str, owner: Owner, span: Nanos, error: ClockError, wait: bool) -> Self {
        // Danger: an answer to a question of a former life must not be taken for one to its own.
        let last_number = owner.incarnation << 32;
        Holder {
            lease: lease.to_owned(),
            owner,
            span,
            error,
            wait,
            wanted: true,
            hold: None,
            token: None,
            asked: None,
            ask_at: 0,
            last_number,
            busy_until: 0,
            owed: false,
        }
    }

    /// Begins an act that ends within so long, whatever comes; the token to show to whoever is
    /// acted upon.
    ///
    /// # Errors
    /// The lease is not held for that long. The check is no proof by itself: the process may be
    /// stopped right after it, and then only the token's check at the other end holds.
    pub fn act(&mut self, now: Nanos, within: Nanos) -> Result<Token, NotNow> {
        let hold = self.hold.filter(|hold| now < hold.until && self.wanted);
        let Hold { token, until } = hold.ok_or(NotNow::NotHeld)?;
        let end = now.saturating_add(within);
        if end > until {
            return Err(NotNow::TooShort { within, left: until - now });
        }
        self.busy_until = self.busy_until.max(end);
        Ok(token)
    }

    /// All acts that have begun are over.
    pub fn rest(&mut self) {
        self.busy_until = 0;
    }

    /// Wants the lease again after it was given back.
    pub fn want(&mut self) {
        self.wanted = true;
    }

    /// Gives the lease back as soon as no act can be under way, or leaves the queue.
    pub fn give_back(&mut self) {
        if self.wanted {
            (self.wanted, self.asked, self.ask_at) = (false, None, 0);
        }
    }

    /// The token and until when it is held on the own clock.
    pub fn held(&self, now: Nanos) -> Option<(Token, Nanos)> {
        self.hold.filter(|hold| now < hold.until).map(|hold| (hold.token, hold.until))
    }

    /// Whether there is nothing left to do for one that gave its lease back.
    pub fn is_over(&self) -> bool {
        !self.wanted && !self.owed
    }

    /// How long an answer is waited for, and a third of which span is left for it: asked again
    /// three times before the span is over.
    fn pause(&self) -> Nanos {
        self.span / 3
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Nanos, steps: &mut Vec<Step>) {
        if self.hold.is_some_and(|hold| hold.until <= now) {
            self.hold = None;
            steps.push(Step::Lost);
            self.ask_at = self.ask_at.min(now);
        }
        if now < self.ask_at {
            return;
        }
        let (lease, owner) = (self.lease.clone(), self.owner.clone());
        let command = match self.hold {
            _ if !self.wanted && !self.owed => return,
            // Danger: given back with an act under way, the next holder would act beside it.
            _ if !self.wanted && now < self.busy_until => return,
            _ if !self.wanted => {
                self.hold = None;
                // A grant that this one never heard of ends with its span.
                match self.token {
                    Some(token) => Command::Release { lease, owner, token },
                    None => Command::Leave { lease, owner },
                }
            }
            Some(hold) => Command::Renew { lease, owner, token: hold.token },
            None => {
                let (span, wait) = (self.span, self.wait);
                Command::Acquire { lease, owner, span, wait }
            }
        };
        self.last_number += 1;
        self.owed = true;
        let number = self.last_number;
        // Danger: the span counts from here, before the question leaves. Counted from the
        // answer, a slow one would stretch it past what the leader waits for.
        self.asked = Some(Asked { number, at: now });
        self.ask_at = now.saturating_add(self.pause());
        steps.push(Step::Send { number, command });
    }

    /// An answer to a question has come; one to any but the last asked is passed over.
    pub fn answered(&mut self, now: Nanos, number: u64, answer: &Answer, steps: &mut Vec<Step>) {
        let Some(asked) = self.asked.filter(|asked| asked.number == number) else { return };
        self.asked = None;
        if !self.wanted {
            (self.owed, self.token) = (false, None);
            return;
        }
        match answer {
            Answer::Granted { token } => {
                let until = asked.at.saturating_add(self.error.holders(self.span));
                let before = self.hold.map(|hold| hold.token);
                if until <= now {
                    // Too late to be of use; it is asked again at once.
                    self.ask_at = now;
                    return;
                }
                if before.is_some_and(|before| before != *token) {
                    steps.push(Step::Lost);
                }
                self.hold = Some(Hold { token: *token, until });
                self.token = Some(*token);
                if before != Some(*token) {
                    steps.push(Step::Got { token: *token });
                }
            }
            Answer::Held { .. } | Answer::Done => self.lose(steps),
            // Revoked: what is held stays held until its span is over, and is not renewed.
            Answer::Refused(Refusal::Revoked) => {}
            Answer::Refused(Refusal::NotHeld) => {
                self.lose(steps);
                self.ask_at = now;
            }
            Answer::Refused(refusal) => {
                self.lose(steps);
                steps.push(Step::Refused(*refusal));
            }
        }
    }

    fn lose(&mut self, steps: &mut Vec<Step>) {
        if self.hold.take().is_some() {
            steps.push(Step::Lost);
        }
    }

    /// Who was asked does not answer: another may be asked now.
    pub fn unanswered(&mut self, now: Nanos) {
        if self.asked.is_some() {
            self.ask_at = self.ask_at.min(now);
        }
    }

    /// When [`Holder::tick`] has something to do.
    pub fn next(&self) -> Nanos {
        let busy = if self.wanted { 0 } else { self.busy_until };
        let ask = self.ask_at.max(busy);
        self.hold.map_or(ask, |hold| ask.min(hold.until))
    }
}
