//! Tracks what the current server has received, which decides whether and how a socket can migrate.

use super::first_message::FirstMessage;
use super::peer_state::client_decoder;
use super::types::Resume;
use crate::frame::{ControlAction, FrameDecoder};

/// The data by which a socket migrates to another server.
#[derive(Debug)]
pub(super) struct ResumeState {
    resume: Option<Resume>,
    is_compressed: bool,
    /// Decodes the bytes written to the server, to detect whether the bytes end at a message
    /// boundary. `None` if the socket can't migrate.
    written_decoder: Option<FrameDecoder>,
    /// The client's first message, if it has to be replayed to other servers.
    first_message: Option<FirstMessage>,
}

impl ResumeState {
    /// Creates the state of a socket that opens now. The socket never migrates if `resume` is
    /// `None`.
    pub(super) fn new(resume: Option<Resume>, is_compressed: bool) -> Self {
        let replays_first_message = resume == Some(Resume::FirstMessage);
        ResumeState {
            resume,
            is_compressed,
            written_decoder: resume.map(|_| client_decoder(is_compressed)),
            first_message: replays_first_message.then(|| FirstMessage::new(is_compressed)),
        }
    }

    /// Records forwarded bytes that the client sent. A socket whose first message is too long to be
    /// stored does not migrate.
    pub(super) fn record_sent(&mut self, bytes: &[u8]) {
        let Some(first_message) = &mut self.first_message else { return };
        if !first_message.append(bytes) {
            self.first_message = None;
            self.written_decoder = None;
        }
    }

    /// Records bytes that were written to the server.
    pub(super) fn record_written(&mut self, bytes: &[u8]) {
        let Some(decoder) = &mut self.written_decoder else { return };
        let mut discarded = Vec::new();
        if decoder.forward(bytes, &mut discarded, |_| ControlAction::Discard).is_err() {
            self.written_decoder = None;
        }
    }

    /// Returns whether the socket may migrate once the server has received only complete messages.
    pub(super) fn may_migrate(&self) -> bool {
        self.written_decoder.is_some()
    }

    /// Returns whether the server has received only complete messages.
    pub(super) fn is_at_message_boundary(&self) -> bool {
        self.written_decoder.as_ref().is_some_and(FrameDecoder::is_at_message_boundary)
    }

    /// Resets the state for a new server. Returns the bytes that the new server must be sent first:
    /// the client's first message, if the message is replayed and the old server had received it.
    pub(super) fn replace_server(&mut self) -> &[u8] {
        let has_received_message =
            self.written_decoder.as_ref().is_some_and(|decoder| decoder.completed_messages() > 0);
        self.written_decoder = self.resume.map(|_| client_decoder(self.is_compressed));
        match &self.first_message {
            Some(first_message) if has_received_message => first_message.bytes(),
            _ => &[],
        }
    }
}
