//! Hosts balancers: reads lines of input and writes one reply per batch.

use crate::wire::vocabulary::{message, reply, INSTANCE_PREFIX};
use crate::wire::{write_action, Message, Reader, WireError, WireErrorKind};
use mintshelf_balancer::api::{Action, Event, Settings};
use mintshelf_balancer::decide::Balancer;
use mintshelf_time::Nanos;
use std::collections::HashMap;

/// The balancers of a process, and the reply to the current batch.
#[derive(Default)]
pub struct Host {
    reader: Reader,
    instances: HashMap<u64, Balancer>,
    now: Nanos,
    /// Number of the instance that receives the events.
    target: u64,
    /// Number of the instance named last in the reply.
    reply_instance: Option<u64>,
    reply: String,
    actions: Vec<Action>,
}

impl Host {
    /// Processes a line without its line ending; returns whether a reply is ready.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the line violates the protocol.
    pub fn read_line(&mut self, text: &str) -> Result<bool, WireError> {
        match self.reader.read_line(text)? {
            None => {}
            Some(Message::BatchBegin(now)) => self.begin_batch(now)?,
            Some(Message::Target(number)) => self.target = number,
            Some(Message::Start { seed, settings }) => self.start(seed, *settings),
            Some(Message::Killed) => {
                self.instances.remove(&self.target);
            }
            Some(Message::Event(event)) => self.handle(event)?,
            Some(Message::BatchEnd) => {
                self.reply.push_str(reply::END);
                self.reply.push('\n');
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Returns the reply that is ready and begins an empty one.
    #[must_use]
    pub fn take_reply(&mut self) -> String {
        std::mem::take(&mut self.reply)
    }

    /// Returns the number of lines read.
    #[must_use]
    pub fn lines(&self) -> u64 {
        self.reader.lines()
    }

    /// Checks that the input may end at this point.
    ///
    /// # Errors
    ///
    /// [`WireError`] if a batch is incomplete.
    pub fn finish(&self) -> Result<(), WireError> {
        self.reader.finish()
    }

    fn begin_batch(&mut self, now: Nanos) -> Result<(), WireError> {
        if now < self.now {
            return Err(self.error(message::BATCH_BEGIN, WireErrorKind::ClockBackwards));
        }
        self.now = now;
        self.reply_instance = None;
        Ok(())
    }

    fn start(&mut self, seed: u64, settings: Settings) {
        let balancer = Balancer::new(settings, seed, self.now, &mut self.actions);
        self.instances.insert(self.target, balancer);
        self.write_actions();
    }

    fn handle(&mut self, event: Event) -> Result<(), WireError> {
        let Some(instance) = self.instances.get_mut(&self.target) else {
            return Err(self.error(message::TARGET, WireErrorKind::NotAttached));
        };
        instance.handle(self.now, event, &mut self.actions);
        self.write_actions();
        Ok(())
    }

    fn error(&self, field: &str, kind: WireErrorKind) -> WireError {
        WireError { line: self.reader.lines(), field: field.into(), kind }
    }

    /// Moves the actions of the target instance into the reply.
    fn write_actions(&mut self) {
        // The protocol has no message to drop a timer; the timer fires and has no effect.
        self.actions.retain(|action| !matches!(action, Action::DropTimer { .. }));
        if !self.actions.is_empty() && self.reply_instance != Some(self.target) {
            self.reply.push_str(&instance_line(self.target));
            self.reply_instance = Some(self.target);
        }
        for action in self.actions.drain(..) {
            write_action(&mut self.reply, &action);
        }
    }
}

/// Returns the line that names the instance of the actions after it.
fn instance_line(number: u64) -> String {
    format!("{} {INSTANCE_PREFIX}{number}\n", reply::INSTANCE)
}
