//! Hosts instances of the decision module: lines in, a reply for each batch out.

use crate::wire::{write_action, Message, Reader, WireError};
use mintshelf_balancer::api::{Action, Nanos};
use mintshelf_balancer::decide::Balancer;
use std::collections::HashMap;

/// All instances of one process, and what they have said since the last reply.
#[derive(Default)]
pub struct Host {
    reader: Reader,
    instances: HashMap<u64, Balancer>,
    now: Nanos,
    target: u64,
    said: Option<u64>,
    reply: String,
    actions: Vec<Action>,
}

impl Host {
    fn bad(&self, field: &str, what: &str) -> WireError {
        WireError { line: self.reader.lines(), field: field.into(), what: what.into() }
    }

    /// Takes one line; true when a reply is ready.
    pub fn line(&mut self, text: &str) -> Result<bool, WireError> {
        match self.reader.line(text)? {
            None => {}
            Some(Message::Clock(now)) => {
                if now < self.now {
                    return Err(self.bad("clock", "moves backwards"));
                }
                self.now = now;
                self.said = None;
            }
            Some(Message::Target(number)) => self.target = number,
            Some(Message::Attach { seed, settings }) => {
                let balancer = Balancer::new(*settings, seed, self.now, &mut self.actions);
                self.instances.insert(self.target, balancer);
                self.flush_actions();
            }
            Some(Message::Killed) => {
                self.instances.remove(&self.target);
            }
            Some(Message::Event(event)) => {
                let Some(instance) = self.instances.get_mut(&self.target) else {
                    return Err(self.bad("target_instance", "names an instance not attached"));
                };
                instance.handle(self.now, event, &mut self.actions);
                self.flush_actions();
            }
            Some(Message::YourTurn) => {
                self.reply.push_str("done\n");
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// The reply that is ready; the next one begins.
    pub fn reply(&mut self) -> String {
        std::mem::take(&mut self.reply)
    }

    /// How many lines have come.
    pub fn lines(&self) -> u64 {
        self.reader.lines()
    }

    /// The end of input, which may not come inside a message.
    pub fn finish(&self) -> Result<(), WireError> {
        self.reader.finish()
    }

    fn flush_actions(&mut self) {
        // The simulator's wire cannot take a timer back; it fires and does nothing.
        self.actions.retain(|action| !matches!(action, Action::DropTimer { .. }));
        if !self.actions.is_empty() && self.said != Some(self.target) {
            self.reply.push_str("from sidecar_");
            self.reply.push_str(&self.target.to_string());
            self.reply.push('\n');
            self.said = Some(self.target);
        }
        for action in self.actions.drain(..) {
            write_action(&mut self.reply, &action);
        }
    }
}
