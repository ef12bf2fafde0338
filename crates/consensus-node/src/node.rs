//! A voter as it runs: its store, its links to the other voters, and the members that ask it.
//!
//! It wants a thread of its own: each write is synced in place, and nothing else waits for it.

use crate::clock;
use crate::frame::{
    codec, open_up, pack, unpack, Frame, Hello, LinkError, Report, Speaker, VERSION,
};
use crate::store::{Store, StoreError};
use futures_util::{SinkExt, StreamExt};
use mintshelf_consensus::error::ReplicaError;
use mintshelf_consensus::message::encode;
use mintshelf_consensus::persistent_state::PersistentState;
use mintshelf_consensus::replica::{Replica, ReplicaStatus};
use mintshelf_consensus::write_batch::{ProposalId, ProposalResponse};
use mintshelf_lease::timing::{Nanos, Timing, MS, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};
use tokio_util::bytes::Bytes;
use tokio_util::codec::Framed;

/// Frames that wait for one link; more are dropped, and asked for again by their protocol.
const LINK_QUEUE: usize = 256;
/// Frames that wait for the voter; links wait when it is full.
const INBOX: usize = 1_024;
/// Links at one time: every other voter's and its members'.
const LINKS_MAX: usize = 2_100;
/// Who has not said who it is by then is shut out.
const HELLO_WITHIN: Duration = Duration::from_secs(2);
/// A write that does not go through by then ends its link.
const WRITE_WITHIN: Duration = Duration::from_secs(5);
/// First and longest pause between two tries to reach a voter.
const REDIAL: [Nanos; 2] = [50 * MS, SECOND];
/// Questions whose answers are awaited; the oldest go first.
const ASKED_MAX: usize = 8_192;

/// What a voter needs to run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The fleet's name.
    pub fleet: String,
    /// This voter's number.
    pub id: u64,
    /// Where the others listen, by number; who has the higher number dials.
    pub others: BTreeMap<u64, SocketAddr>,
    /// The fleet's spans.
    pub spans: Timing,
}

/// Why a voter stopped.
#[derive(Debug, Error)]
pub enum NodeError {
    /// Its store.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// What it holds or was told.
    #[error(transparent)]
    Voter(#[from] ReplicaError),
}

/// One link, as the voter knows it.
struct Link {
    speaker: Speaker,
    out: mpsc::Sender<Bytes>,
}

enum Inbox {
    Up { link: u64, speaker: Speaker, out: mpsc::Sender<Bytes> },
    Frame { link: u64, frame: Frame },
    Down { link: u64 },
}

/// Runs a voter until `stop` is done, or it can't go on. `status` is told what it says of itself.
///
/// # Errors
/// Its store fails or is behind what it has promised: it must not go on.
pub async fn run(
    plan: Plan,
    store: Store,
    stored: PersistentState,
    listener: TcpListener,
    status: watch::Sender<Option<ReplicaStatus>>,
    stop: impl Future<Output = ()>,
) -> Result<(), NodeError> {
    let life = store.opened();
    let voter: Replica = Replica::new(plan.id, &stored, &plan.spans, life)?;
    let (inbox, mut frames) = mpsc::channel(INBOX);
    let mut tasks = JoinSet::new();
    tasks.spawn(accept(plan.clone(), listener, inbox.clone()));
    for (id, at) in plan.others.iter().filter(|(id, _)| **id < plan.id) {
        tasks.spawn(dial(plan.clone(), *id, *at, inbox.clone()));
    }
    drop(inbox);
    let mut ticks = interval(Duration::from_nanos(voter.tick_interval()));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (links, peers, asked) = (HashMap::new(), BTreeMap::new(), BTreeMap::new());
    let mut node = Node { voter, store, links, peers, asked };
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => return Ok(()),
            _ = ticks.tick() => node.voter.tick(clock::now()),
            Some(event) = frames.recv() => {
                node.take(event)?;
                // What has come meanwhile shares one write.
                while let Ok(event) = frames.try_recv() {
                    node.take(event)?;
                }
            }
        }
        node.drive()?;
        status.send_if_modified(|said| {
            let now = Some(node.voter.status());
            let differs = *said != now;
            *said = now;
            differs
        });
    }
}

struct Node {
    voter: Replica,
    store: Store,
    links: HashMap<u64, Link>,
    /// The last link of each other voter; it may be down.
    peers: BTreeMap<u64, u64>,
    asked: BTreeMap<ProposalId, (u64, u64)>,
}

impl Node {
    fn take(&mut self, event: Inbox) -> Result<(), NodeError> {
        match event {
            Inbox::Up { link, speaker, out } => {
                // A voter has one link: what came before is gone at the other end.
                if let Speaker::Voter(id) = speaker {
                    let before = self.peers.insert(id, link);
                    before.into_iter().for_each(|before| drop(self.links.remove(&before)));
                }
                self.links.insert(link, Link { speaker, out });
            }
            Inbox::Down { link } => {
                self.links.remove(&link);
            }
            Inbox::Frame { link, frame } => self.frame(link, frame)?,
        }
        Ok(())
    }

    fn frame(&mut self, link: u64, frame: Frame) -> Result<(), NodeError> {
        let Some(Link { speaker, .. }) = self.links.get(&link) else { return Ok(()) };
        match (speaker, frame) {
            (Speaker::Voter(_), Frame::Raft(bytes)) => {
                match self.voter.handle_message(clock::now(), &bytes) {
                    Ok(()) => {}
                    Err(error @ ReplicaError::StoreBehind { .. }) => return Err(error.into()),
                    Err(error) => self.shut(link, &error.to_string()),
                }
            }
            (Speaker::Member(_), Frame::Ask { number, command }) => {
                match self.voter.propose(&command) {
                    Ok(ticket) => {
                        self.asked.insert(ticket, (link, number));
                        while self.asked.len() > ASKED_MAX {
                            self.asked.pop_first();
                        }
                    }
                    Err(_) => self.say(link, &Frame::NotNow { number }),
                }
            }
            (Speaker::Member(_), Frame::Tell) => {
                let report = self.report();
                self.say(link, &Frame::Told(Box::new(report)));
            }
            _ => self.shut(link, "a frame that is not its speaker's to send"),
        }
        Ok(())
    }

    fn report(&self) -> Report {
        let member = |link: &&Link| matches!(link.speaker, Speaker::Member(_));
        let leases = self.voter.leases().iter();
        Report {
            status: self.voter.status(),
            life: self.store.opened(),
            members: self.links.values().filter(member).count() as u32,
            leases: leases.map(|(name, lease)| (name.to_owned(), lease.clone())).collect(),
        }
    }

    fn shut(&mut self, link: u64, why: &str) {
        if let Some(Link { speaker, .. }) = self.links.remove(&link) {
            tracing::warn!(?speaker, why, "a link of the fleet is shut");
        }
    }

    fn say(&self, link: u64, frame: &Frame) {
        if let Some(link) = self.links.get(&link) {
            // Full: its protocol asks again.
            let _ = link.out.try_send(pack(frame));
        }
    }

    fn post(&self, messages: Vec<raft::eraftpb::Message>) -> Result<(), NodeError> {
        for message in messages {
            if let Some(link) = self.peers.get(&message.to) {
                self.say(*link, &Frame::Raft(encode(&message)?));
            }
        }
        Ok(())
    }

    /// Writes, syncs and sends until there is nothing more to do.
    fn drive(&mut self) -> Result<(), NodeError> {
        while let Some(mut batch) = self.voter.next_batch(clock::now())? {
            self.post(std::mem::take(&mut batch.immediate_messages))?;
            for ProposalResponse { proposal, response: answer } in
                std::mem::take(&mut batch.responses)
            {
                if let Some((link, number)) = self.asked.remove(&proposal) {
                    self.say(link, &Frame::Answer { number, answer });
                }
            }
            if !batch.is_empty() {
                self.store.write(&batch)?;
            }
            let messages = self.voter.batch_synced(clock::now());
            self.post(messages)?;
        }
        Ok(())
    }
}

fn hello(plan: &Plan) -> Bytes {
    let speaker = Speaker::Voter(plan.id);
    pack(&Hello { version: VERSION, fleet: plan.fleet.clone(), speaker })
}

pub(crate) type Wire = Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>;

/// Says who this is and hears who that is.
pub(crate) async fn greet(
    stream: TcpStream,
    own: Bytes,
    fleet: &str,
) -> Result<(Wire, Speaker), LinkError> {
    let garbled = |why: &str| LinkError::Garbled(why.to_owned());
    let _ = stream.set_nodelay(true);
    let mut wire = Framed::new(stream, codec());
    let met = async {
        wire.send(own).await.map_err(|error| garbled(&error.to_string()))?;
        match wire.next().await {
            Some(Ok(bytes)) => unpack::<Hello>(&bytes),
            Some(Err(error)) => Err(garbled(&error.to_string())),
            None => Err(garbled("closed before it said who it is")),
        }
    };
    let theirs = timeout(HELLO_WITHIN, met).await.map_err(|_| garbled("says nothing"))??;
    theirs.check(fleet)?;
    open_up(wire.codec_mut());
    Ok((wire, theirs.speaker))
}

async fn accept(plan: Plan, listener: TcpListener, inbox: mpsc::Sender<Inbox>) {
    let (mut links, mut number) = (JoinSet::new(), 0u64);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = links.join_next() => continue,
        };
        let Ok((stream, from)) = accepted else {
            // Out of descriptors: those that close make room.
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        if links.len() >= LINKS_MAX {
            continue;
        }
        number += 1;
        let (plan, inbox, link) = (plan.clone(), inbox.clone(), number << 1);
        links.spawn(async move {
            let met =
                greet(stream, hello(&plan), &plan.fleet).await.and_then(|(wire, who)| match who {
                    Speaker::Voter(id) if id <= plan.id || !plan.others.contains_key(&id) => {
                        Err(LinkError::Stranger(format!("voter {id}")))
                    }
                    who => Ok((wire, who)),
                });
            match met {
                Ok((wire, who)) => serve(link, wire, who, inbox).await,
                Err(error) => tracing::warn!(%from, %error, "shut out of the fleet"),
            }
        });
    }
}

async fn dial(plan: Plan, id: u64, at: SocketAddr, inbox: mpsc::Sender<Inbox>) {
    let mut rng = Pcg32::seed_from_u64(clock::now() ^ plan.id << 32 ^ id);
    let (mut pause, mut number, mut said) = (REDIAL[0], 0u64, None);
    loop {
        let stream = timeout(HELLO_WITHIN, TcpStream::connect(at)).await;
        if let Ok(Ok(stream)) = stream {
            number += 1;
            let link = (id << 40 | number) << 1 | 1;
            let met = greet(stream, hello(&plan), &plan.fleet).await.and_then(|(wire, who)| {
                let right = who == Speaker::Voter(id);
                right.then_some(wire).ok_or_else(|| LinkError::Stranger(format!("{who:?}")))
            });
            match met {
                Ok(wire) => {
                    (pause, said) = (REDIAL[0], None);
                    serve(link, wire, Speaker::Voter(id), inbox.clone()).await;
                }
                Err(error) => {
                    // One line for each cause, not for each try.
                    if said.replace(error.clone()).as_ref() != Some(&error) {
                        tracing::warn!(voter = id, %at, %error, "not the voter that the file names");
                    }
                }
            }
        }
        let drawn = pause / 2 + rng.next_u64() % (pause / 2);
        sleep(Duration::from_nanos(drawn)).await;
        pause = (pause * 2).min(REDIAL[1]);
    }
}

/// Carries frames both ways until one side ends.
async fn serve(link: u64, wire: Wire, speaker: Speaker, inbox: mpsc::Sender<Inbox>) {
    let (out, mut queue) = mpsc::channel(LINK_QUEUE);
    let (mut sink, mut stream) = wire.split();
    if inbox.send(Inbox::Up { link, speaker: speaker.clone(), out }).await.is_err() {
        return;
    }
    let write = async {
        while let Some(bytes) = queue.recv().await {
            if !matches!(timeout(WRITE_WITHIN, sink.send(bytes)).await, Ok(Ok(()))) {
                return;
            }
        }
    };
    let read = async {
        while let Some(Ok(bytes)) = stream.next().await {
            match unpack::<Frame>(&bytes) {
                Ok(frame) => {
                    if inbox.send(Inbox::Frame { link, frame }).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    tracing::warn!(?speaker, %error, "a link of the fleet is shut");
                    return;
                }
            }
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
    let _ = inbox.send(Inbox::Down { link }).await;
}
