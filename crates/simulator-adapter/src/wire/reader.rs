//! Parses the messages of batches line by line and stores the endpoint lists that they define.

use super::error::{WireError, WireErrorKind};
use super::event::read_event;
use super::fields::Fields;
use super::vocabulary::{field, message, ENDPOINT_STATES, INSTANCE_PREFIX, LIST_KINDS};
use mintshelf_balancer::api::{Event, ListKind, ListedServer, Settings};
use mintshelf_balancer::settings::parse_settings;
use mintshelf_time::Nanos;
use std::collections::HashMap;
use std::sync::Arc;

/// Exclusive upper bound of the numbers of endpoint lists.
const LIST_NUMBER_LIMIT: u32 = 16;

/// A message of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A batch begins at this time.
    BatchBegin(Nanos),
    /// The following messages concern this instance.
    Target(u64),
    /// The target instance starts with a seed and settings.
    Start {
        /// The seed of the instance's random number generator.
        seed: u64,
        /// The settings of the instance.
        settings: Box<Settings>,
    },
    /// The target instance is killed.
    Killed,
    /// An event of the target instance.
    Event(Event),
    /// All messages of the batch have been read.
    BatchEnd,
}

/// An endpoint list whose entries have not all been read.
#[derive(Debug)]
struct IncompleteList {
    number: u32,
    length: usize,
    entries: Vec<ListedServer>,
}

/// Parses messages line by line, and stores endpoint lists by number.
#[derive(Debug, Default)]
pub struct Reader {
    line: u64,
    endpoint_lists: HashMap<u32, Arc<[ListedServer]>>,
    incomplete_list: Option<IncompleteList>,
    is_in_batch: bool,
    has_target: bool,
}

impl Reader {
    /// Returns the number of lines read.
    #[must_use]
    pub fn lines(&self) -> u64 {
        self.line
    }

    /// Parses a line without its line ending; returns `None` for a line that is only part of an
    /// endpoint list.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the line violates the protocol.
    pub fn read_line(&mut self, text: &str) -> Result<Option<Message>, WireError> {
        self.line += 1;
        let mut fields = Fields::new(self.line, text);
        let name = fields.next_word(field::MESSAGE)?;
        self.check_order(name, &fields)?;
        let message = self.read_message(name, &mut fields)?;
        fields.end(name)?;
        Ok(message)
    }

    /// Checks that the input may end at this point.
    ///
    /// # Errors
    ///
    /// [`WireError`] if a batch is incomplete.
    pub fn finish(&self) -> Result<(), WireError> {
        if self.is_in_batch {
            let kind = WireErrorKind::UnfinishedBatch;
            return Err(WireError { line: self.line + 1, field: message::BATCH_END.into(), kind });
        }
        Ok(())
    }

    /// Checks that the message is permitted at this point.
    fn check_order(&self, name: &str, fields: &Fields) -> Result<(), WireError> {
        if self.incomplete_list.is_some() && name != message::LIST_ENTRY {
            return Err(fields.error(name, WireErrorKind::ListIncomplete));
        }
        if !self.is_in_batch && name != message::BATCH_BEGIN {
            return Err(fields.error(name, WireErrorKind::OutsideBatch));
        }
        if message::OF_TARGET.contains(&name) && !self.has_target {
            return Err(fields.error(name, WireErrorKind::NoTarget));
        }
        Ok(())
    }

    fn read_message(
        &mut self,
        name: &str,
        fields: &mut Fields,
    ) -> Result<Option<Message>, WireError> {
        Ok(Some(match name {
            message::BATCH_BEGIN => self.read_batch_begin(fields)?,
            message::BATCH_END => {
                self.is_in_batch = false;
                Message::BatchEnd
            }
            message::TARGET => self.read_target(fields)?,
            message::START => read_start(fields)?,
            message::KILLED => Message::Killed,
            message::LIST_BEGIN => return self.read_list_header(fields).map(|()| None),
            message::LIST_ENTRY => return self.read_list_entry(fields).map(|()| None),
            message::LIST_ARRIVED => Message::Event(self.read_list_update(fields)?),
            _ => Message::Event(read_event(name, fields)?),
        }))
    }

    fn read_batch_begin(&mut self, fields: &mut Fields) -> Result<Message, WireError> {
        if self.is_in_batch {
            return Err(fields.error(message::BATCH_BEGIN, WireErrorKind::InsideBatch));
        }
        let now = fields.number(field::TIME)?;
        self.is_in_batch = true;
        self.has_target = false;
        Ok(Message::BatchBegin(now))
    }

    fn read_target(&mut self, fields: &mut Fields) -> Result<Message, WireError> {
        let word = fields.next_word(field::INSTANCE)?;
        let number = word.strip_prefix(INSTANCE_PREFIX).and_then(|number| number.parse().ok());
        let number = number.ok_or_else(|| {
            fields.error(field::INSTANCE, WireErrorKind::NotAnInstance(word.to_string()))
        })?;
        self.has_target = true;
        Ok(Message::Target(number))
    }

    fn read_list_header(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let number: u32 = fields.number(field::LIST_NUMBER)?;
        if number >= LIST_NUMBER_LIMIT {
            return Err(fields.error(field::LIST_NUMBER, WireErrorKind::ListNumberTooLarge(number)));
        }
        let length: usize = fields.number(field::LIST_LENGTH)?;
        if length == 0 {
            self.endpoint_lists.insert(number, Arc::from(Vec::new()));
        } else {
            let entries = Vec::new();
            self.incomplete_list = Some(IncompleteList { number, length, entries });
        }
        Ok(())
    }

    fn read_list_entry(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let Some(mut list) = self.incomplete_list.take() else {
            return Err(fields.error(message::LIST_ENTRY, WireErrorKind::OutsideList));
        };
        list.entries.push(ListedServer {
            id: fields.number(field::SERVER)?,
            zone: fields.number_or(field::ZONE, 0)?,
            hardware_model: fields.number_or(field::HARDWARE_MODEL, 0)?,
            failure_domain: fields.number_or(field::FAILURE_DOMAIN, 0)?,
            state: fields.choice(field::ENDPOINT_STATE, ENDPOINT_STATES)?,
            size: fields.finite(field::SIZE)?,
            started_at: fields.number_or(field::STARTED_AT, 0)?,
        });
        if list.entries.len() == list.length {
            self.endpoint_lists.insert(list.number, list.entries.into());
        } else {
            self.incomplete_list = Some(list);
        }
        Ok(())
    }

    fn read_list_update(&self, fields: &mut Fields) -> Result<Event, WireError> {
        let kind = fields.choice(field::LIST_KIND, LIST_KINDS)?;
        let revision = fields.number_or(field::LIST_REVISION, 0)?;
        let list = fields.optional(field::LIST_NUMBER)?;
        let entries = match kind {
            ListKind::Failed => Arc::from(Vec::new()),
            _ => self.find_list(fields, list)?,
        };
        Ok(Event::EndpointListUpdate { kind, revision, entries })
    }

    fn find_list(
        &self,
        fields: &Fields,
        word: Option<&str>,
    ) -> Result<Arc<[ListedServer]>, WireError> {
        let word = word.ok_or_else(|| fields.error(field::LIST_NUMBER, WireErrorKind::Missing))?;
        let number: u32 = fields.parse(field::LIST_NUMBER, word)?;
        let list = self.endpoint_lists.get(&number).cloned();
        list.ok_or_else(|| fields.error(field::LIST_NUMBER, WireErrorKind::UnknownList(number)))
    }
}

fn read_start(fields: &mut Fields) -> Result<Message, WireError> {
    let seed = fields.number(field::SEED)?;
    let settings = parse_settings(fields.rest_of_line(field::SETTINGS)?)
        .map_err(|cause| fields.error(field::SETTINGS, cause.into()))?;
    Ok(Message::Start { seed, settings: Box::new(settings) })
}
