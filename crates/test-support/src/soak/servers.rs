//! Servers of a soak: each listens at an address of its own and behaves as the scenario says.

use super::receive_time::stamp_received;
use super::records::{AttemptOutcome, AttemptRecord, Records, ServerRecord};
use super::scenario::{Behavior, SeededRandom};
use super::stream::{MessageStream, Received};
use crate::addresses::free_address;
use crate::message::ok_response;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

const REJECTED: &[u8] = b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
const ERROR: &[u8] = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
/// Longest time after which a server closes an idle connection, where it closes them early.
const CLOSE_IDLE_MAX_MS: usize = 100;
/// Range of the service time of a request, in milliseconds.
const WORK_MS: (usize, usize) = (2, 40);

/// All servers of a run.
pub(super) struct Servers {
    records: Rc<RefCell<Records>>,
    behaviors: RefCell<Vec<Behavior>>,
    random: RefCell<SeededRandom>,
}

impl Servers {
    pub(super) fn new(records: Rc<RefCell<Records>>, random: SeededRandom) -> Rc<Self> {
        Rc::new(Servers { records, behaviors: RefCell::default(), random: RefCell::new(random) })
    }

    /// Starts a server; its number.
    pub(super) async fn start(self: &Rc<Self>) -> usize {
        let address = free_address();
        let listener = TcpListener::bind(address).await.expect("an address for a server");
        stamp_received(&listener);
        let number = {
            let mut records = self.records.borrow_mut();
            records.servers.push(ServerRecord::new(address));
            records.servers.len() - 1
        };
        self.behaviors.borrow_mut().push(Behavior::Serve);
        let servers = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                servers.records.borrow_mut().connections += 1;
                spawn_local(servers.clone().serve(number, MessageStream::new(stream)));
            }
        });
        number
    }

    /// Sets what a server does from now on.
    pub(super) fn set_behavior(&self, number: usize, behavior: Behavior) {
        self.behaviors.borrow_mut()[number] = behavior;
    }

    async fn serve(self: Rc<Self>, number: usize, mut stream: MessageStream) {
        while let Received::Message(request, began_at) = stream.read().await {
            let transaction = request.header("x-txn").unwrap_or_default().to_string();
            let remaining = request.header("x-remaining-ms").and_then(|text| text.parse().ok());
            let attempt = {
                let mut records = self.records.borrow_mut();
                records.attempts.push(AttemptRecord {
                    server: number,
                    transaction: transaction.clone(),
                    began_at,
                    read_at: Instant::now(),
                    remaining: remaining.map(Duration::from_millis),
                    outcome: AttemptOutcome::Open,
                    ended_at: None,
                });
                records.attempts.len() - 1
            };
            let outcome = self.respond(number, &transaction, &mut stream).await;
            self.record_end(attempt, outcome);
            match self.behavior(number) {
                Behavior::Reset | Behavior::BreakOff if outcome == AttemptOutcome::MayHaveRun => {
                    return stream.reset();
                }
                Behavior::CloseIdle => {
                    let idle = self.random.borrow_mut().millis(0, CLOSE_IDLE_MAX_MS);
                    return sleep(idle).await;
                }
                _ => {}
            }
        }
    }

    fn record_end(&self, attempt: usize, outcome: AttemptOutcome) {
        let mut records = self.records.borrow_mut();
        records.attempts[attempt].outcome = outcome;
        records.attempts[attempt].ended_at = Some(Instant::now());
    }

    fn behavior(&self, number: usize) -> Behavior {
        self.behaviors.borrow()[number]
    }

    /// Responds to a request by the current behavior; the outcome.
    async fn respond(
        &self,
        number: usize,
        transaction: &str,
        stream: &mut MessageStream,
    ) -> AttemptOutcome {
        let (response, outcome) = match self.behavior(number) {
            Behavior::Full => (REJECTED.to_vec(), AttemptOutcome::Rejected),
            Behavior::Fail => (ERROR.to_vec(), AttemptOutcome::MayHaveRun),
            Behavior::Reset => return AttemptOutcome::MayHaveRun,
            Behavior::Hang => {
                stream.ended().await;
                return AttemptOutcome::MayHaveRun;
            }
            Behavior::BreakOff => {
                let response = ok_response(&format!("{transaction} by {number}"));
                // It is incomplete whether or not it can be written.
                let _ = stream.write(&response[..response.len() - 1]).await;
                return AttemptOutcome::MayHaveRun;
            }
            Behavior::Serve | Behavior::CloseIdle => {
                let work = self.random.borrow_mut().millis(WORK_MS.0, WORK_MS.1);
                tokio::select! {
                    () = sleep(work) => {}
                    () = stream.ended() => return AttemptOutcome::MayHaveRun,
                }
                (ok_response(&format!("{transaction} by {number}")), AttemptOutcome::Served)
            }
        };
        match stream.write(&response).await {
            Ok(()) => outcome,
            Err(_) => AttemptOutcome::MayHaveRun,
        }
    }
}
