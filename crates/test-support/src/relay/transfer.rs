//! One direction of one connection: reads from the source, applies faults, writes on.

use super::{DirectionState, POLL_INTERVAL};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::Instant;

/// Bytes that wait in a direction; further ones stay with the sender, as on a full link.
const MAX_QUEUED_BYTES: usize = 256 << 10;
/// Bytes read at once.
const READ_SIZE: usize = 16 << 10;

/// The end of a transfer.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The source ended, all bytes were carried and the end was forwarded.
    Complete,
    /// The connection broke or has to be broken.
    Broken,
}

/// A connection failed, or a fault breaks it.
struct Broken;

/// Bytes on their way.
struct Chunk {
    read_at: Instant,
    bytes: Vec<u8>,
}

/// The state of one direction of a connection.
pub(super) struct Transfer<'a> {
    direction: &'a Mutex<DirectionState>,
    source: TcpStream,
    destination: &'a TcpStream,
    queue: VecDeque<Chunk>,
    queued_bytes: usize,
    source_ended: bool,
    buffer: Vec<u8>,
}

impl<'a> Transfer<'a> {
    pub(super) fn new(
        direction: &'a Mutex<DirectionState>,
        source: TcpStream,
        destination: &'a TcpStream,
    ) -> Self {
        source.set_nonblocking(false).expect("a blocking socket");
        source.set_read_timeout(Some(POLL_INTERVAL)).expect("a read timeout");
        Transfer {
            direction,
            source,
            destination,
            queue: VecDeque::new(),
            queued_bytes: 0,
            source_ended: false,
            buffer: vec![0; READ_SIZE],
        }
    }

    /// Carries bytes until the source ends or the connection breaks.
    pub(super) fn run(mut self, is_broken: impl Fn() -> bool) -> Outcome {
        while !is_broken() {
            if self.read().and_then(|()| self.write()).is_err() {
                return Outcome::Broken;
            }
            if self.source_ended && self.queue.is_empty() {
                return match self.destination.shutdown(Shutdown::Write) {
                    Ok(()) => Outcome::Complete,
                    Err(_) => Outcome::Broken,
                };
            }
        }
        Outcome::Broken
    }

    /// Reads once if the queue is not full, for at most the poll interval.
    fn read(&mut self) -> Result<(), Broken> {
        if self.source_ended || self.queued_bytes >= MAX_QUEUED_BYTES {
            thread::sleep(POLL_INTERVAL);
            return Ok(());
        }
        match self.source.read(&mut self.buffer) {
            Ok(0) => self.source_ended = true,
            Ok(count) => {
                self.queued_bytes += count;
                let bytes = self.buffer[..count].to_vec();
                self.queue.push_back(Chunk { read_at: Instant::now(), bytes });
            }
            Err(error) if is_timeout(error.kind()) => {}
            Err(_) => return Err(Broken),
        }
        Ok(())
    }

    /// Writes all chunks that are neither held nor delayed.
    fn write(&mut self) -> Result<(), Broken> {
        while let Some(chunk) = self.queue.front_mut() {
            let mut state = self.direction.lock().unwrap();
            if state.held || chunk.read_at.elapsed() < state.delay {
                break;
            }
            state.corrupt(&mut chunk.bytes);
            let passed = state.pass(chunk.bytes.len());
            drop(state);
            let mut destination = self.destination;
            let written = destination.write_all(&chunk.bytes[..passed.bytes]);
            if written.is_err() || passed.breaks {
                return Err(Broken);
            }
            self.queued_bytes -= chunk.bytes.len();
            self.queue.pop_front();
        }
        Ok(())
    }
}

fn is_timeout(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// The part of a chunk that passes before the connection breaks.
struct Passed {
    bytes: usize,
    breaks: bool,
}

impl DirectionState {
    /// Changes the byte that is due, if it lies in this chunk.
    fn corrupt(&mut self, bytes: &mut [u8]) {
        let Some(remaining) = self.corrupt_after else { return };
        match usize::try_from(remaining).ok().and_then(|index| bytes.get_mut(index)) {
            Some(byte) => {
                *byte ^= 0xff;
                self.corrupt_after = None;
            }
            None => self.corrupt_after = Some(remaining - bytes.len() as u64),
        }
    }

    /// Counts a chunk as carried, up to the byte at which the connection breaks.
    fn pass(&mut self, length: usize) -> Passed {
        let remaining = self
            .break_after
            .map_or(length, |remaining| usize::try_from(remaining).unwrap_or(usize::MAX));
        let bytes = length.min(remaining);
        let breaks = self.break_after == Some(bytes as u64);
        self.break_after = match self.break_after {
            Some(remaining) if !breaks => Some(remaining - bytes as u64),
            _ => None,
        };
        self.carried_bytes += bytes as u64;
        Passed { bytes, breaks }
    }
}
