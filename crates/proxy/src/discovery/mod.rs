//! Discovery: its calls, one after the other, and what is made of their answers.

mod call;
pub mod list;

use crate::endpoints::EndpointListObserver;
use call::{Caller, Received, ANSWER_GRACE};
use list::{read_list, Fleet};
use mintshelf_balancer::api::ListKind;
use mintshelf_discovery::revision::{Verdict, PROOF_PACE};
use mintshelf_discovery::watch::{CallEnd, Next, Watch};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Shortest time between two calls of a watch, well within what keeps it going.
const WATCH_PACE: Duration = Duration::from_millis(20);
/// Pace of calls to an agent that pushes: it answers at once even with no news.
const AGENT_PACE: Duration = Duration::from_millis(50);
/// An agent that waits for news waits no longer than this: another may have its place.
const AGENT_WAIT: Duration = Duration::from_millis(500);
/// One that says nothing for so long is asked anew on another connection: it is silent while it
/// has nothing to go by, and what it gets after that counts at once.
const AGENT_GRACE: Duration = Duration::from_millis(500);

/// The service that lists the servers, at an address that may change.
#[derive(Debug)]
pub struct Discovery {
    fleet: RefCell<Fleet>,
    at: Cell<SocketAddr>,
    begun: Instant,
}

impl Discovery {
    /// A service that has not been asked yet.
    pub fn new(fleet: Fleet, at: SocketAddr) -> Self {
        Discovery { fleet: RefCell::new(fleet), at: Cell::new(at), begun: Instant::now() }
    }

    /// Turns to another address; whether it is another. Calls under way go on.
    pub fn move_to(&self, at: SocketAddr) -> bool {
        self.at.replace(at) != at
    }

    /// Passes on the list that the configuration brought.
    pub fn cached(&self, text: Option<&str>, sink: &impl EndpointListObserver) {
        let servers = text.and_then(|text| self.fleet.borrow_mut().take_known(text));
        sink.listed(ListKind::Cached, self.revision(), servers.unwrap_or_default());
    }

    fn revision(&self) -> u64 {
        self.fleet.borrow().revision()
    }

    /// Watches until a call fails.
    pub async fn watch(self: Rc<Self>, sink: impl EndpointListObserver) {
        let (mut caller, mut watch) = (Caller::new(self.at.get()), Watch::default());
        loop {
            let asked = Instant::now();
            let answer = caller.news(self.revision(), watch.wait(), watch.grace()).await;
            let end = self.heard(&mut caller, &sink, answer).await;
            match watch.ended(end) {
                Next::GoOn => {}
                Next::Anew => caller = Caller::new(self.at.get()),
                Next::Fail => return self.failed(&sink),
            }
            // A watch that is answered at once, over and over, must not spin.
            sleep(WATCH_PACE.saturating_sub(asked.elapsed())).await;
        }
    }

    /// Asks for the whole list once.
    pub async fn fetch(self: Rc<Self>, sink: impl EndpointListObserver) {
        let mut caller = Caller::new(self.at.get());
        let answer = caller.call("", ANSWER_GRACE).await;
        if self.heard(&mut caller, &sink, answer).await != CallEnd::Answered {
            self.failed(&sink);
        }
    }

    /// Follows an agent that lists are pushed to. Its silence is no failed call.
    pub async fn follow(self: Rc<Self>, sink: impl EndpointListObserver) {
        let mut caller = Caller::new(self.at.get());
        loop {
            if caller.to != self.at.get() {
                caller = Caller::new(self.at.get());
            }
            let asked = Instant::now();
            let answer = caller.news(self.revision(), AGENT_WAIT, AGENT_GRACE).await;
            self.heard(&mut caller, &sink, answer).await;
            sleep(AGENT_PACE.saturating_sub(asked.elapsed())).await;
        }
    }

    fn failed(&self, sink: &impl EndpointListObserver) {
        sink.listed(ListKind::Failed, self.revision(), Vec::new());
    }

    /// Makes of an answer what its revision allows. Danger: an older list would undo what has
    /// been told since; a service that counts anew would never have news for what is held.
    async fn heard(
        &self,
        caller: &mut Caller,
        sink: &impl EndpointListObserver,
        mut answer: Received,
    ) -> CallEnd {
        loop {
            let list = read_list(&answer.bytes);
            let whole = list.well_formed && answer.whole;
            let verdict = self.fleet.borrow_mut().judge(self.begun.elapsed(), &list, whole);
            match verdict {
                Verdict::Take => {
                    let (kind, servers) = self.fleet.borrow_mut().take(list, answer.whole);
                    if whole || !servers.is_empty() {
                        sink.listed(kind, self.revision(), servers);
                    }
                    return answer.end(whole);
                }
                Verdict::Doubt if !whole || caller.to != self.at.get() => {
                    return answer.end(false);
                }
                Verdict::Doubt => {
                    sleep(PROOF_PACE).await;
                    answer = caller.call("", ANSWER_GRACE).await;
                }
            }
        }
    }
}
