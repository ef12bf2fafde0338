//! The line protocol: text to events, actions to text. No decisions here.

use mintshelf_balancer::api::*;
use mintshelf_balancer::settings::parse_settings;
use std::collections::HashMap;
use std::fmt::Write;
use std::str::FromStr;
use std::sync::Arc;

/// What is wrong with the input, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError {
    /// Line number, from 1.
    pub line: u64,
    /// The field at fault, or the message's name.
    pub field: String,
    /// What is wrong.
    pub what: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.what)
    }
}

impl std::error::Error for WireError {}

/// One message of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A batch begins at this time.
    Clock(Nanos),
    /// Following messages are for this instance.
    Target(u64),
    /// The target starts.
    Attach {
        /// Seed of its random draws.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// The target dies.
    Killed,
    /// Something happened to the target.
    Event(Event),
    /// The batch ends.
    YourTurn,
}

/// Reads messages line by line, keeping the numbered lists.
#[derive(Debug, Default)]
pub struct Reader {
    line: u64,
    lists: HashMap<u32, Arc<[ListedServer]>>,
    filling: Option<(u32, usize, Vec<ListedServer>)>,
    in_batch: bool,
    has_target: bool,
}

const LIST_NUMBERS: u32 = 16;
const CALLED: &[(&str, Outcome)] = &[
    ("delivered", Outcome::Ok),
    ("app_error", Outcome::Error),
    ("shed", Outcome::Full),
    ("expired", Outcome::TimedOut),
    ("dial_failed", Outcome::ConnectFailed),
    ("dropped", Outcome::Reset),
    ("revoked", Outcome::Cancelled),
    ("unused", Outcome::Unused),
];
const CONDITIONS: &[(&str, EndpointState)] = &[
    ("live", EndpointState::Live),
    ("quiescing", EndpointState::Draining),
    ("dead", EndpointState::Removed),
];
const LIST_KINDS: &[(&str, ListKind)] = &[
    ("diff", ListKind::Changes),
    ("snapshot", ListKind::Full),
    ("disk", ListKind::Cached),
    ("error", ListKind::Failed),
];

/// The fields of one line, taken in order by name.
struct Fields<'a> {
    line: u64,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    fn err(&self, field: &str, what: impl Into<String>) -> WireError {
        WireError { line: self.line, field: field.to_string(), what: what.into() }
    }

    fn text(&mut self, field: &str) -> Result<&'a str, WireError> {
        self.rest.take().ok_or_else(|| self.err(field, "is missing"))
    }

    fn word(&mut self, field: &str) -> Result<&'a str, WireError> {
        let rest = self.text(field)?;
        let (word, rest) = match rest.split_once(' ') {
            Some((word, rest)) => (word, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if word.is_empty() {
            return Err(self.err(field, "is empty"));
        }
        Ok(word)
    }

    fn optional(&mut self, field: &str) -> Result<Option<&'a str>, WireError> {
        self.word(field).map(|w| (w != "-").then_some(w))
    }

    fn parse<T: FromStr>(&self, field: &str, word: &str) -> Result<T, WireError> {
        word.parse().map_err(|_| self.err(field, format!("'{word}' is not a number it can take")))
    }

    fn number<T: FromStr>(&mut self, field: &str) -> Result<T, WireError> {
        let word = self.word(field)?;
        self.parse(field, word)
    }

    fn number_or<T: FromStr>(&mut self, field: &str, absent: T) -> Result<T, WireError> {
        match self.optional(field)? {
            Some(word) => self.parse(field, word),
            None => Ok(absent),
        }
    }

    fn finite(&self, field: &str, word: &str) -> Result<f64, WireError> {
        let value: f64 = self.parse(field, word)?;
        if !value.is_finite() {
            return Err(self.err(field, format!("'{word}' is not a finite number")));
        }
        Ok(value)
    }

    fn one_of<T: Copy>(&mut self, field: &str, names: &[(&str, T)]) -> Result<T, WireError> {
        let word = self.word(field)?;
        names
            .iter()
            .find(|(name, _)| *name == word)
            .map(|(_, value)| *value)
            .ok_or_else(|| self.err(field, format!("'{word}' is not known")))
    }

    fn report(&mut self, field: &str) -> Result<Option<Vec<f64>>, WireError> {
        let Some(word) = self.optional(field)? else {
            return Ok(None);
        };
        word.split(',')
            .map(|part| self.finite(field, part))
            .collect::<Result<Vec<_>, _>>()
            .map(Some)
    }

    fn bytes(&mut self, field: &str) -> Result<Vec<u8>, WireError> {
        let Some(word) = self.optional(field)? else {
            return Ok(Vec::new());
        };
        if !word.is_ascii() || word.len() % 2 != 0 {
            return Err(self.err(field, "is not whole bytes of hex digits"));
        }
        (0..word.len())
            .step_by(2)
            .map(|at| {
                u8::from_str_radix(&word[at..at + 2], 16)
                    .map_err(|_| self.err(field, "is not hex digits"))
            })
            .collect()
    }

    fn end(&self, message: &str) -> Result<(), WireError> {
        match self.rest {
            None => Ok(()),
            Some(extra) => Err(self.err(message, format!("has more than its fields: '{extra}'"))),
        }
    }
}

impl Reader {
    /// A reader at the start of its input.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lines read so far.
    pub fn lines(&self) -> u64 {
        self.line
    }

    /// Takes one line; lines that complete nothing yet give `None`.
    pub fn line(&mut self, text: &str) -> Result<Option<Message>, WireError> {
        self.line += 1;
        let mut f = Fields { line: self.line, rest: Some(text) };
        let name = f.word("message name")?;
        if self.filling.is_some() && name != "server" {
            return Err(f.err(name, "comes where a listed server is due"));
        }
        if !self.in_batch && name != "clock" {
            return Err(f.err(name, "comes before a 'clock' line"));
        }
        let needs_target = matches!(
            name,
            "attach"
                | "killed"
                | "update"
                | "submit"
                | "under_way"
                | "resolved"
                | "abandoned"
                | "timer"
                | "health"
                | "peer_data"
        );
        if needs_target && !self.has_target {
            return Err(f.err(name, "comes before a 'target_instance' line"));
        }
        let message = match name {
            "clock" => {
                if self.in_batch {
                    return Err(f.err("clock", "comes inside a batch"));
                }
                let now = f.number("clock")?;
                self.in_batch = true;
                self.has_target = false;
                Some(Message::Clock(now))
            }
            "your_turn" => {
                self.in_batch = false;
                Some(Message::YourTurn)
            }
            "target_instance" => {
                let word = f.word("i")?;
                let number = instance_number(word)
                    .ok_or_else(|| f.err("i", format!("'{word}' is not an instance")))?;
                self.has_target = true;
                Some(Message::Target(number))
            }
            "attach" => {
                let seed = f.number("prng")?;
                let settings = parse_settings(f.text("profile-data")?)
                    .map_err(|cause| f.err("profile-data", cause.to_string()))?;
                Some(Message::Attach { seed, settings: Box::new(settings) })
            }
            "killed" => Some(Message::Killed),
            "census" => {
                let number: u32 = f.number("set-id")?;
                if number >= LIST_NUMBERS {
                    return Err(f.err("set-id", format!("{number} is past 15")));
                }
                let count: usize = f.number("hosts")?;
                if count == 0 {
                    self.lists.insert(number, Arc::from(Vec::new()));
                } else {
                    self.filling = Some((number, count, Vec::new()));
                }
                None
            }
            "server" => {
                self.server(&mut f)?;
                None
            }
            "update" => Some(Message::Event(self.update(&mut f)?)),
            _ => Some(Message::Event(event(name, &mut f)?)),
        };
        f.end(name)?;
        Ok(message)
    }

    /// Says whether the input may end here.
    pub fn finish(&self) -> Result<(), WireError> {
        if self.in_batch {
            return Err(WireError {
                line: self.line + 1,
                field: "your_turn".into(),
                what: "is missing: the input ends inside a batch".into(),
            });
        }
        Ok(())
    }

    fn server(&mut self, f: &mut Fields) -> Result<(), WireError> {
        let Some((number, count, mut entries)) = self.filling.take() else {
            return Err(f.err("server", "comes outside a list"));
        };
        let entry = ListedServer {
            id: f.number("server")?,
            zone: f.number_or("rack-zone", 0)?,
            kind: f.number_or("shape", 0)?,
            cell: f.number_or("stripe", 0)?,
            state: f.one_of("condition", CONDITIONS)?,
            size: {
                let word = f.word("size")?;
                f.finite("size", word)?
            },
            started_at: f.number_or("boot-time", 0)?,
        };
        entries.push(entry);
        if entries.len() == count {
            self.lists.insert(number, entries.into());
        } else {
            self.filling = Some((number, count, entries));
        }
        Ok(())
    }

    fn update(&self, f: &mut Fields) -> Result<Event, WireError> {
        let kind = f.one_of("how", LIST_KINDS)?;
        let version = f.number_or("index", 0)?;
        let number = f.optional("set-id")?;
        let entries = if kind == ListKind::Failed {
            Arc::from(Vec::new())
        } else {
            let word = number.ok_or_else(|| f.err("set-id", "is missing"))?;
            let number: u32 = f.parse("set-id", word)?;
            self.lists
                .get(&number)
                .cloned()
                .ok_or_else(|| f.err("set-id", format!("list {number} was never given")))?
        };
        Ok(Event::Servers { kind, version, entries })
    }
}

fn event(name: &str, f: &mut Fields) -> Result<Event, WireError> {
    Ok(match name {
        "submit" => {
            let id = f.word("op-id")?.into();
            let class = f.number("grade")?;
            let key = match f.optional("subject")? {
                None => None,
                Some(word) => Some(
                    u64::from_str_radix(word, 16)
                        .map_err(|_| f.err("subject", format!("'{word}' is not a key")))?,
                ),
            };
            let cost: Nanos = f.number_or("cost", 0)?;
            let tenant = f.number_or("org", 0)?;
            let bits: u32 = f.number_or("attrs", 0)?;
            Event::Request {
                id,
                class,
                tenant,
                key,
                cost_hint: (bits & 1 != 0 && cost > 0).then_some(cost),
                repeat: bits & 2 != 0,
                client_timeout: f.number("grace")?,
            }
        }
        "under_way" => {
            let id = f.word("op-id")?.into();
            let _: ServerId = f.number("server")?;
            let _: Nanos = f.number("took")?;
            Event::StreamStarted { id, attempt: f.number("leg")? }
        }
        "resolved" => Event::AttemptEnded {
            id: f.word("op-id")?.into(),
            outcome: f.one_of("verdict", CALLED)?,
            attempt: f.number("leg")?,
            finished: f.one_of("complete", &[("1", true), ("0", false)])?,
            took: f.number_or("took", 0)?,
            server: f.number("server")?,
            report: f.report("metrics")?,
        },
        "abandoned" => Event::ClientDisconnected { id: f.word("op-id")?.into() },
        "timer" => Event::Timer { token: f.number("label")? },
        "health" => Event::Probed {
            outcome: f.one_of("verdict", CALLED)?,
            server: f.number("server")?,
            took: f.number_or("took", 0)?,
            report: f.report("metrics")?,
        },
        "peer_data" => Event::Gossip { from: f.number("src-peer")?, payload: f.bytes("octets")? },
        _ => return Err(f.err(name, "is not a known message")),
    })
}

fn instance_number(word: &str) -> Option<u64> {
    word.strip_prefix("sidecar_")?.parse().ok()
}

/// Writes one action as a line of the reply.
pub fn write_action(out: &mut String, action: &Action) {
    // Writing to a String cannot fail.
    let _ = match action {
        Action::Send { id, server, timeout_at } => {
            writeln!(out, "forward {id} {server} {timeout_at}")
        }
        Action::Cancel { id, attempt } => writeln!(out, "retract {id} {attempt}"),
        Action::Reject { id, retry_after } => writeln!(out, "shed {id} {retry_after}"),
        Action::Fail { id } => writeln!(out, "drop_request {id}"),
        Action::SetTimer { after, token } => writeln!(out, "set_timer {after} {token}"),
        // The wire has no message for it.
        Action::DropTimer { .. } => Ok(()),
        Action::Probe { server } => writeln!(out, "probe {server}"),
        Action::CloseIdle { server } => writeln!(out, "drop_conns {server}"),
        Action::SendGossip { peer, payload } => {
            let _ = match peer {
                Some(peer) => write!(out, "signal {peer} "),
                None => write!(out, "signal all "),
            };
            if payload.is_empty() {
                out.push('-');
            }
            for byte in payload {
                let _ = write!(out, "{byte:02x}");
            }
            writeln!(out)
        }
        Action::Watch { on } => writeln!(out, "stream_changes {}", u8::from(*on)),
        Action::FetchServers => writeln!(out, "pull"),
        Action::Log { text } => writeln!(out, "debug {}", text.replace(['\n', '\r'], " ")),
    };
}
