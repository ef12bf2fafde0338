//! Hosts instances of the decision module on the line protocol: standard
//! input to standard output, one reply for each batch.

use mintshelf_balancer::api::{Action, Nanos};
use mintshelf_balancer::decide::Balancer;
use mintshelf_benchlink::wire::{write_action, Message, Reader, WireError};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::process::ExitCode;

#[derive(Default)]
struct Host {
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
    fn line(&mut self, text: &str) -> Result<bool, WireError> {
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

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        let read =
            input.read_until(b'\n', &mut bytes).map_err(|e| format!("standard input: {e}"))?;
        if read == 0 {
            return host.reader.finish().map_err(|e| e.to_string());
        }
        let end = bytes.strip_suffix(b"\n").map_or(bytes.len(), <[u8]>::len);
        let text = std::str::from_utf8(&bytes[..end])
            .map_err(|e| format!("line {}: text: {e}", host.reader.lines() + 1))?;
        if host.line(text).map_err(|e| e.to_string())? {
            output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("standard output: {e}"))?;
            host.reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("mintshelf-benchlink: {what}");
            ExitCode::FAILURE
        }
    }
}
