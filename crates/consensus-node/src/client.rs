//! A member that holds one lease: it asks one voter, and another when that one does not answer.

use crate::clock;
use crate::frame::{pack, unpack, Frame, Hello, Report, Speaker, VERSION};
use crate::node::{greet, Wire};
use futures_util::{SinkExt, StreamExt};
use mintshelf_lease::client::{ActiveGrant, HolderAction, LeaseClient, LeaseConfig};
use mintshelf_lease::command::{Command, Owner, Rejection, Response};
use mintshelf_lease::fence::Token;
use mintshelf_lease::timing::{ClockError, Nanos, MS};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A voter that has not answered by then is left for another.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_500);
/// Pause before the next voter is tried.
const MOVE_ON: Duration = Duration::from_millis(60);

/// How often all voters are asked in turn.
const ROUNDS: u32 = 5;

/// What is wanted of whom.
#[derive(Debug, Clone)]
pub struct Want {
    /// The fleet's name.
    pub fleet: String,
    /// Where its voters listen.
    pub voters: Vec<SocketAddr>,
    /// Who asks.
    pub owner: Owner,
    /// The lease.
    pub lease: String,
    /// Its span.
    pub span: Nanos,
    /// The clocks' error.
    pub error: ClockError,
    /// Whether to queue for it.
    pub wait: bool,
}

/// How it stands with a lease. The token is good until the time on [`clock::now`], no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Standing {
    /// The grant, and until when it is held.
    pub held: Option<(Token, Nanos)>,
    /// Why the voters will not have it.
    pub refused: Option<Rejection>,
}

/// Asks for a lease, holds it and tells how it stands, until `stop` is done; then gives it back.
pub async fn hold(
    want: Want,
    standing: watch::Sender<Standing>,
    stop: impl std::future::Future<Output = ()>,
) {
    let Want { owner, lease, span, error, wait, .. } = want.clone();
    let mut holder =
        LeaseClient::new(LeaseConfig { lease, owner, duration: span, clock_error: error, wait });
    let (mut at, mut left) = (0usize, None);
    tokio::pin!(stop);
    loop {
        if want.voters.is_empty() || holder.is_released() {
            return;
        }
        let talk = talk(&want, want.voters[at % want.voters.len()], &mut holder, &standing);
        tokio::select! {
            () = talk => at += 1,
            () = &mut stop, if left.is_none() => {
                holder.release();
                // Given back if a voter hears of it in time; else it ends with its span.
                left = Some(clock::now() + span);
                standing.send_replace(Standing::default());
                continue;
            }
        }
        if left.is_some_and(|until| clock::now() >= until) {
            return;
        }
        // With no voter at hand the lease runs out all the same.
        show(&holder, &standing, None);
        sleep(MOVE_ON).await;
    }
}

/// A link to one voter.
async fn reach(fleet: &str, owner: Owner, voter: SocketAddr) -> Option<Wire> {
    let speaker = Speaker::Member(owner);
    let own = pack(&Hello { version: VERSION, fleet: fleet.to_owned(), speaker });
    let stream = timeout(ANSWER_WITHIN, TcpStream::connect(voter)).await.ok()?.ok()?;
    match greet(stream, own, fleet).await {
        Ok((wire, Speaker::Voter(_))) => Some(wire),
        Ok(_) => None,
        Err(error) => {
            tracing::warn!(%voter, %error, "no voter of this fleet");
            None
        }
    }
}

/// Sends one frame and takes the next that comes.
async fn exchange(wire: &mut Wire, frame: &Frame) -> Option<Frame> {
    let both = async {
        wire.send(pack(frame)).await.ok()?;
        let bytes = wire.next().await?.ok()?;
        unpack(&bytes).ok()
    };
    timeout(ANSWER_WITHIN, both).await.ok().flatten()
}

/// What one voter says of itself; none if it does not answer.
pub async fn tell(fleet: &str, owner: Owner, voter: SocketAddr) -> Option<Report> {
    let mut wire = reach(fleet, owner, voter).await?;
    match exchange(&mut wire, &Frame::Tell).await? {
        Frame::Told(report) => Some(*report),
        _ => None,
    }
}

/// One question, put to each voter in turn until one has an answer; a few rounds of them, since an
/// election may be under way. Only for commands that can come twice, which all can.
pub async fn ask(
    fleet: &str,
    owner: Owner,
    voters: &[SocketAddr],
    command: Command,
) -> Option<Response> {
    // Each is put on a link of its own, where no other is.
    let question = Frame::Ask { number: 0, command };
    for _ in 0..ROUNDS {
        for voter in voters {
            let Some(mut wire) = reach(fleet, owner.clone(), *voter).await else { continue };
            if let Some(Frame::Answer { number: 0, answer }) = exchange(&mut wire, &question).await
            {
                return Some(answer);
            }
        }
        sleep(MOVE_ON).await;
    }
    None
}

fn show(holder: &LeaseClient, standing: &watch::Sender<Standing>, refused: Option<Rejection>) {
    let held = holder.active_grant(clock::now());
    let held = held.map(|ActiveGrant { token, expires_at }| (token, expires_at));
    standing.send_if_modified(|said| {
        let now = Standing { held, refused: refused.or(said.refused.filter(|_| held.is_none())) };
        let differs = *said != now;
        *said = now;
        differs
    });
}

/// Talks to one voter until it does not answer.
async fn talk(
    want: &Want,
    voter: SocketAddr,
    holder: &mut LeaseClient,
    standing: &watch::Sender<Standing>,
) {
    let Some(mut wire) = reach(&want.fleet, want.owner.clone(), voter).await else { return };
    let mut asked_at = None;
    holder.handle_no_response(clock::now());
    loop {
        let mut steps = Vec::new();
        holder.tick(clock::now(), &mut steps);
        show(holder, standing, None);
        for step in steps {
            let HolderAction::Send { request_id: number, command } = step else { continue };
            let frame = pack(&Frame::Ask { number, command });
            if !matches!(timeout(ANSWER_WITHIN, wire.send(frame)).await, Ok(Ok(()))) {
                return;
            }
            asked_at.get_or_insert_with(clock::now);
        }
        if holder.is_released() {
            return;
        }
        let now = clock::now();
        let patience = asked_at.map(|at: Nanos| at + ANSWER_WITHIN.as_nanos() as Nanos);
        if patience.is_some_and(|until| until <= now) {
            return;
        }
        let until = patience.unwrap_or(Nanos::MAX).min(holder.next_tick_at());
        let pause = Duration::from_nanos(until.saturating_sub(now).clamp(MS, 1_000 * MS));
        let frame = match timeout(pause, wire.next()).await {
            Err(_) => continue,
            Ok(Some(Ok(bytes))) => unpack::<Frame>(&bytes),
            Ok(_) => return,
        };
        match frame {
            Ok(Frame::Answer { number, answer }) => {
                asked_at = None;
                let mut steps = Vec::new();
                holder.handle_response(clock::now(), number, &answer, &mut steps);
                let refused = steps.iter().find_map(|step| match step {
                    HolderAction::Rejected(refusal) => Some(*refusal),
                    _ => None,
                });
                show(holder, standing, refused);
            }
            // Another may know who leads.
            Ok(Frame::NotNow { .. }) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
