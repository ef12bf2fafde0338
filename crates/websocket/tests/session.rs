//! Sessions under drawn traffic, splits, failures and orders, read by an implementation of the
//! protocol that shares nothing with this one.

use mintshelf_websocket::frame::{FrameDecoder, Peer};
use mintshelf_websocket::session::{
    ClosedBy, EvictionRequest, Resume, Session, SessionAction, SessionConfig,
};
use mintshelf_websocket::timers::TimerConfig;
use proptest::prelude::*;
use std::io::{self, Cursor, Read, Write};
use std::rc::Rc;
use tungstenite::protocol::frame::coding::{Control, Data, OpCode};
use tungstenite::protocol::frame::{Frame, FrameHeader};
use tungstenite::protocol::Role;
use tungstenite::{Message, WebSocket};

const S: u64 = 1_000_000_000;

fn set(resume: Option<Resume>) -> Rc<SessionConfig> {
    let timers = TimerConfig {
        idle_timeout_ns: 300 * S,
        max_lifetime_ns: 10_000 * S,
        ping_interval_ns: 30 * S,
        pong_timeout_ns: 10 * S,
        write_stall_timeout_ns: 20 * S,
        message_timeout_ns: 60 * S,
        close_timeout_ns: 5 * S,
    };
    Rc::new(SessionConfig { timers, max_message_bytes: 1 << 20, buffer_bytes: 8 << 10, resume })
}

fn frame(payload: &[u8], opcode: OpCode, last: bool, mask: Option<[u8; 4]>) -> Vec<u8> {
    let header = FrameHeader { is_final: last, opcode, mask, ..FrameHeader::default() };
    let frame = Frame::from_payload(header, payload.to_vec().into());
    let mut bytes = Vec::new();
    frame.format(&mut bytes).unwrap();
    bytes
}

/// A message in fragments, with pings between them, as an end sends it.
#[derive(Debug, Clone)]
struct Drawn {
    parts: Vec<Vec<u8>>,
    ping: bool,
    mask: [u8; 4],
}

impl Drawn {
    fn bytes(&self, from: Peer) -> Vec<u8> {
        let mask = (from == Peer::Client).then_some(self.mask);
        let mut bytes = Vec::new();
        for (n, part) in self.parts.iter().enumerate() {
            let opcode = if n == 0 { Data::Binary } else { Data::Continue };
            let last = n + 1 == self.parts.len();
            bytes.extend(frame(part, OpCode::Data(opcode), last, mask));
            if self.ping {
                bytes.extend(frame(b"are you there", OpCode::Control(Control::Ping), true, mask));
            }
        }
        bytes
    }
}

fn drawn() -> impl Strategy<Value = Drawn> {
    let length = prop_oneof![0usize..10, 120usize..130, 65_530usize..65_540, 0usize..2_000];
    let part = length.prop_map(|length| (0..length).map(|n| n as u8).collect());
    (prop::collection::vec(part, 1..4), any::<bool>(), any::<[u8; 4]>())
        .prop_map(|(parts, ping, mask)| Drawn { parts, ping, mask })
}

/// What an end reads, and nowhere to write.
struct Wire(Cursor<Vec<u8>>);

impl Read for Wire {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read(buffer)
    }
}

impl Write for Wire {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whole messages that an independent end reads, and whether it broke off in the middle.
fn read(bytes: &[u8], reader: Peer) -> Result<(Vec<Message>, bool), tungstenite::Error> {
    let role = if reader == Peer::Client { Role::Client } else { Role::Server };
    let mut socket = WebSocket::from_raw_socket(Wire(Cursor::new(bytes.to_vec())), role, None);
    let mut seen = Vec::new();
    loop {
        match socket.read() {
            Ok(message) => seen.push(message),
            Err(tungstenite::Error::ConnectionClosed) => return Ok((seen, false)),
            Err(tungstenite::Error::Protocol(
                tungstenite::error::ProtocolError::ResetWithoutClosingHandshake,
            )) => return Ok((seen, true)),
            Err(tungstenite::Error::AlreadyClosed) => return Ok((seen, false)),
            Err(error) => return Err(error),
        }
    }
}

fn flush(session: &mut Session, end: Peer, most: usize, now: u64) -> Vec<u8> {
    let count = session.pending_output(end).len().min(most);
    let bytes = session.pending_output(end)[..count].to_vec();
    if count > 0 {
        session.record_written(end, count, now);
    }
    bytes
}

#[test]
fn a_frame_split_at_every_byte_passes_unchanged() {
    for from in [Peer::Client, Peer::Server] {
        let mask = (from == Peer::Client).then_some([9, 8, 7, 6]);
        let mut bytes = frame(b"", OpCode::Data(Data::Text), true, mask);
        bytes.extend(frame(b"pong", OpCode::Control(Control::Pong), true, mask));
        bytes.extend(frame(&[5; 300], OpCode::Data(Data::Binary), false, mask));
        bytes.extend(frame(b"ping", OpCode::Control(Control::Ping), true, mask));
        bytes.extend(frame(&[6; 10], OpCode::Data(Data::Continue), true, mask));
        for cut in 0..=bytes.len() {
            let mut session = Session::new(set(None), false, 1, 0);
            let mut out = Vec::new();
            for part in [&bytes[..cut], &bytes[cut..]] {
                session.receive(from, part, 0);
                out.extend(flush(&mut session, from.other(), usize::MAX, 0));
            }
            assert_eq!(out, bytes, "cut at {cut}");
            assert!(session.is_between_messages());
        }
    }
}

#[test]
fn a_whole_closing_handshake_passes_and_ends_it() {
    let mut session = Session::new(set(None), false, 1, 0);
    let said = frame(&[3, 0xe8, b'b', b'y', b'e'], OpCode::Control(Control::Close), true, None);
    session.receive(Peer::Server, &said, S);
    assert_eq!(flush(&mut session, Peer::Client, usize::MAX, S), said);
    assert_eq!(session.end(), None);
    let mask = Some([1, 2, 3, 4]);
    let answer = frame(&[3, 0xe8], OpCode::Control(Control::Close), true, mask);
    session.receive(Peer::Client, &answer, S);
    assert_eq!(flush(&mut session, Peer::Server, usize::MAX, S), answer);
    let over = session.end().unwrap();
    assert_eq!((over.by, over.code), (ClosedBy::Server, 1000));
    assert!(session.closed_cleanly(Peer::Client) && session.closed_cleanly(Peer::Server));
}

#[test]
fn a_socket_moves_with_its_first_message_and_with_what_waits() {
    let message =
        |text: &str| frame(text.as_bytes(), OpCode::Data(Data::Text), true, Some([1, 2, 3, 4]));
    let mut session = Session::new(set(Some(Resume::FirstMessage)), false, 1, 0);
    let (first, second, third) = (message("devices 7"), message("faster"), message("slower"));
    session.receive(Peer::Client, &[&first[..], &second[..]].concat(), 0);
    flush(&mut session, Peer::Server, usize::MAX, 0);
    // The third waits whole when the server dies.
    session.receive(Peer::Client, &third, 0);
    session.peer_disconnected(Peer::Server, S);
    assert_eq!(session.take_action(), Some(SessionAction::ServerLost));
    assert!(!session.wants_read(Peer::Client));
    session.migrate_or_close(7, 2 * S);
    assert_eq!(session.take_action(), Some(SessionAction::Migrate));
    assert_eq!(session.complete_migration(2 * S), Vec::<u8>::new());
    let out = flush(&mut session, Peer::Server, usize::MAX, 2 * S);
    assert_eq!(out, [first.clone(), third.clone()].concat());
    assert!(session.pending_output(Peer::Client).is_empty(), "the client has seen nothing of it");
    // Again, and the server has got half of a message: that can't be restored.
    session.receive(Peer::Client, &second, 3 * S);
    flush(&mut session, Peer::Server, 3, 3 * S);
    session.peer_disconnected(Peer::Server, 3 * S);
    session.take_action();
    session.migrate_or_close(7, 3 * S);
    assert_eq!(session.take_action(), None);
    let told = flush(&mut session, Peer::Client, usize::MAX, 3 * S);
    let (seen, _) = read(&told, Peer::Client).unwrap();
    let Message::Close(Some(close)) = &seen[0] else { panic!("{seen:?}") };
    assert_eq!(u16::from(close.code), 1012);
    assert!(close.reason.contains("come back in 7 s"), "{}", close.reason);
}

#[test]
fn a_server_to_be_left_is_left_between_messages_and_told() {
    let part = |payload: &[u8], code, last| frame(payload, OpCode::Data(code), last, None);
    let mut session = Session::new(set(Some(Resume::Handshake)), false, 1, 0);
    session.receive(Peer::Server, &part(b"half", Data::Text, false), 0);
    let leave = EvictionRequest { close_code: 1012, reason: "drained".into(), may_migrate: true };
    session.evict(leave, S);
    assert_eq!(session.take_action(), None, "not within a message");
    let rest = [part(b"whole", Data::Continue, true), part(b"next", Data::Text, true)].concat();
    session.receive(Peer::Server, &rest, 2 * S);
    assert_eq!(session.take_action(), Some(SessionAction::Migrate));
    let farewell = session.complete_migration(2 * S);
    let (seen, _) = read(&farewell, Peer::Server).unwrap();
    assert!(matches!(&seen[..], [Message::Close(Some(close))] if u16::from(close.code) == 1001));
    let out = flush(&mut session, Peer::Client, usize::MAX, 2 * S);
    let (seen, _) = read(&out, Peer::Client).unwrap();
    assert_eq!(seen, [Message::text("halfwhole")]);
    // Another does not come to the end of its message: closed when that has taken too long.
    session.receive(Peer::Server, &part(b"half", Data::Text, false), 3 * S);
    let leave = EvictionRequest { close_code: 1012, reason: "drained".into(), may_migrate: true };
    session.evict(leave, 3 * S);
    session.handle_timers(session.next_deadline());
    assert_eq!(
        session.next_deadline(),
        13 * S,
        "within its time to close, then that of the answer"
    );
    let out = flush(&mut session, Peer::Client, usize::MAX, 8 * S);
    assert!(out.ends_with(b"drained"));
}

/// What happens to a session.
#[derive(Debug, Clone)]
enum Step {
    /// An end sends so many bytes more of its stream.
    Bytes(bool, usize),
    /// An end takes so many bytes.
    Takes(bool, usize),
    Eof(bool),
    Evict(bool),
    Wait(u64),
    Doubt,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (any::<bool>(), prop_oneof![1usize..20, 1usize..9_000]).prop_map(|(e, n)| Step::Bytes(e, n)),
        12 => (any::<bool>(), prop_oneof![1usize..20, 1usize..99_000]).prop_map(|(e, n)| Step::Takes(e, n)),
        1 => any::<bool>().prop_map(Step::Eof),
        1 => any::<bool>().prop_map(Step::Evict),
        2 => (0u64..40).prop_map(Step::Wait),
        1 => Just(Step::Doubt),
    ]
}

fn end(client: bool) -> Peer {
    if client {
        Peer::Client
    } else {
        Peer::Server
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// However the two ends talk, break off, stand still and move: what an end has read is a
    /// right beginning of what the protocol allows, with one close frame at most and at its end;
    /// each server that takes over is spoken to from the start of a message; queues are bounded;
    /// and the socket ends in bounded time once it has begun to.
    #[test]
    fn whatever_happens_each_end_reads_whole_messages_and_one_close(
        client in prop::collection::vec(drawn(), 1..6),
        server in prop::collection::vec(drawn(), 1..6),
        steps in prop::collection::vec(step(), 1..120),
        resume in prop::option::of(prop_oneof![
            Just(Resume::Handshake), Just(Resume::FirstMessage)
        ]),
        takes_over in any::<bool>(),
    ) {
        let says = |all: &[Drawn], from| -> Vec<u8> { all.iter().flat_map(|d| d.bytes(from)).collect() };
        let client_says = says(&client, Peer::Client);
        let server_says = says(&server, Peer::Server);
        let set = set(resume);
        let mut session = Session::new(set.clone(), false, 7, 0);
        let (mut now, mut at) = (0u64, [0usize; 2]);
        let mut client_read = Vec::new();
        let mut servers_read = vec![Vec::new()];
        let mut eof = [false; 2];
        let mut stopped = false;
        let take = |session: &mut Session, who: Peer, most, now, client_read: &mut Vec<u8>, servers: &mut Vec<Vec<u8>>| {
            let bytes = flush(session, who, most, now);
            match who {
                Peer::Client => client_read.extend(bytes),
                Peer::Server => servers.last_mut().unwrap().extend(bytes),
            }
        };
        for step in steps {
            match step {
                Step::Bytes(c, count) => {
                    let who = end(c);
                    let of = if c { &client_says } else { &server_says };
                    if session.wants_read(who) && !eof[c as usize] {
                        let from = at[c as usize];
                        let to = (from + count).min(of.len());
                        session.receive(who, &of[from..to], now);
                        at[c as usize] = to;
                    }
                }
                Step::Takes(c, count) => take(&mut session, end(c), count, now, &mut client_read, &mut servers_read),
                Step::Eof(c) => if session.wants_read(end(c)) && !eof[c as usize] {
                    eof[c as usize] = true;
                    session.peer_disconnected(end(c), now);
                },
                Step::Evict(may_migrate) => {
                    session.evict(EvictionRequest { close_code: 1012, reason: "x".into(), may_migrate }, now);
                }
                Step::Wait(seconds) => {
                    let until = now + seconds * S;
                    // Each time is kept, and none comes again without end.
                    for _ in 0..200 {
                        now = now.max(session.next_deadline().min(until));
                        if session.end().is_some() {
                            now = until;
                        }
                        if now < until { session.handle_timers(now) } else { break }
                    }
                    prop_assert!(now == until, "it has no rest");
                }
                Step::Doubt => session.probe_server(now),
            }
            if session.take_action() == Some(SessionAction::ServerLost) {
                session.migrate_or_close(3, now);
            }
            if session.take_action() == Some(SessionAction::Migrate) {
                if takes_over {
                    session.complete_migration(now);
                    servers_read.push(Vec::new());
                    eof[0] = false;
                    // A new server begins anew.
                    at[0] = 0;
                } else {
                    session.fail_migration(3, now);
                }
            }
            prop_assert!(session.buffered_bytes() < 4 * (set.buffer_bytes + 9_000) + 66_000);
            if session.end().is_some() { stopped = true; break; }
        }
        if !stopped {
            session.peer_disconnected(Peer::Client, now);
            for _ in 0..50 {
                if session.end().is_some() { break; }
                session.take_action();
                session.migrate_or_close(1, now);
                now = now.max(session.next_deadline().min(now + S));
                session.handle_timers(now);
                session.fail_migration(1, now);
                take(&mut session, Peer::Server, usize::MAX, now, &mut client_read, &mut servers_read);
            }
            prop_assert!(session.end().is_some(), "it does not end");
        }
        let (seen, _) = read(&client_read, Peer::Client).map_err(|e| TestCaseError::fail(e.to_string()))?;
        let closes = seen.iter().filter(|m| m.is_close()).count();
        prop_assert!(closes <= 1);
        // Nothing comes behind the close frame.
        let mut follower = FrameDecoder::new(Peer::Server, false, 1 << 20);
        let mut behind = false;
        let mut last = false;
        for byte in &client_read {
            prop_assert!(!last, "bytes behind a close frame");
            follower.follow(&[*byte], &mut Vec::new(), |control| {
                behind = matches!(control, mintshelf_websocket::frame::Control::Close(_));
                mintshelf_websocket::frame::Fate::Swallow
            }).map_err(|e| TestCaseError::fail(format!("{e:?}")))?;
            last = behind;
        }
        for read_by in &servers_read {
            read(read_by, Peer::Server).map_err(|e| TestCaseError::fail(e.to_string()))?;
        }
        // Whole messages, as they were said, in their order.
        let said: Vec<Vec<u8>> = client.iter().map(|d| d.parts.concat()).collect();
        for (n, read_by) in servers_read.iter().enumerate() {
            let (seen, _) = read(read_by, Peer::Server).unwrap();
            let data: Vec<Vec<u8>> = seen.into_iter().filter(Message::is_binary).map(|m| m.into_data().to_vec()).collect();
            if n == 0 {
                prop_assert!(said.starts_with(&data));
            } else {
                prop_assert!(data.iter().all(|message| said.contains(message)));
            }
        }
    }
}

#[test]
fn a_close_that_says_nothing_passes_both_ways() {
    let mut session = Session::new(set(None), false, 1, 0);
    let said = frame(&[], OpCode::Control(Control::Close), true, Some([1, 2, 3, 4]));
    session.receive(Peer::Client, &said, S);
    assert_eq!(flush(&mut session, Peer::Server, usize::MAX, S), said);
    assert!(session.wants_read(Peer::Server));
    let answer = frame(&[], OpCode::Control(Control::Close), true, None);
    session.receive(Peer::Server, &answer, S);
    assert_eq!(flush(&mut session, Peer::Client, usize::MAX, S), answer);
    let over = session.end().unwrap();
    assert_eq!((over.by, over.code), (ClosedBy::Client, 1005));
}
