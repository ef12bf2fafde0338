//! A link between two processes that a test can hold, delay, cut and garble, each way by itself.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How often a connection's thread looks at what the test wants.
const LOOK: Duration = Duration::from_millis(2);
/// Bytes of one way that wait in a relay; more stay with the sender, as on a full link.
const BUFFER: usize = 256 << 10;

/// One of a link's two ways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// From who connects to who listens.
    There,
    /// Back.
    Back,
}

#[derive(Debug, Default, Clone)]
struct Conduct {
    held: bool,
    delay: Duration,
    /// Breaks the connection when so many more bytes have gone.
    break_after: Option<u64>,
    /// Changes the byte that goes after so many more.
    garble_after: Option<u64>,
    /// Bytes that went so far.
    gone: u64,
}

#[derive(Debug, Default)]
struct Shared {
    ways: [Mutex<Conduct>; 2],
    refuses: AtomicBool,
    ends: AtomicBool,
    /// Counts the times that all connections were broken; one of a former count breaks.
    breaks: Mutex<u64>,
    /// Connections carried so far.
    carried: Mutex<u64>,
}

/// Listens at an address of its own and carries bytes to another.
#[derive(Debug)]
pub struct Relay {
    /// Where to connect in place of the other process.
    pub at: SocketAddr,
    shared: Arc<Shared>,
    accepts: Option<JoinHandle<()>>,
}

impl Relay {
    /// Carries to `to`, whether or not somebody listens there yet.
    pub fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("an address of its own");
        listener.set_nonblocking(true).expect("a socket that does not block");
        let at = listener.local_addr().expect("its address");
        let shared = Arc::new(Shared::default());
        let of = shared.clone();
        let accepts = thread::spawn(move || {
            let mut pumps: Vec<JoinHandle<()>> = Vec::new();
            while !of.ends.load(Ordering::Relaxed) {
                let Ok((from, _)) = listener.accept() else {
                    thread::sleep(LOOK);
                    continue;
                };
                pumps.retain(|pump| !pump.is_finished());
                if of.refuses.load(Ordering::Relaxed) {
                    crate::socket_reset(from);
                    continue;
                }
                let Ok(onward) = TcpStream::connect(to) else { continue };
                *of.carried.lock().unwrap() += 1;
                pumps.extend(carry(&of, from, onward));
            }
            pumps.into_iter().for_each(|pump| drop(pump.join()));
        });
        Relay { at, shared, accepts: Some(accepts) }
    }

    fn conduct(&self, way: Way, change: impl FnOnce(&mut Conduct)) {
        change(&mut self.shared.ways[way as usize].lock().unwrap());
    }

    /// Lets nothing through one way; what is sent meanwhile waits, as TCP would have it, and goes
    /// when it is let go.
    pub fn hold(&self, way: Way) {
        self.conduct(way, |conduct| conduct.held = true);
    }

    /// Lets go what was held, and what comes after it.
    pub fn let_go(&self, way: Way) {
        self.conduct(way, |conduct| conduct.held = false);
    }

    /// Each byte of one way takes so much longer from now on.
    pub fn delay(&self, way: Way, delay: Duration) {
        self.conduct(way, |conduct| conduct.delay = delay);
    }

    /// Breaks the connection after so many more bytes one way, in the middle of whatever it is.
    pub fn break_after(&self, way: Way, bytes: u64) {
        self.conduct(way, |conduct| conduct.break_after = Some(bytes));
    }

    /// Changes the byte that comes after so many more one way.
    pub fn garble_after(&self, way: Way, bytes: u64) {
        self.conduct(way, |conduct| conduct.garble_after = Some(bytes));
    }

    /// Breaks all connections now; new ones are carried.
    pub fn break_all(&self) {
        *self.shared.breaks.lock().unwrap() += 1;
    }

    /// Refuses new connections, or carries them again.
    pub fn refuse(&self, refuses: bool) {
        self.shared.refuses.store(refuses, Ordering::Relaxed);
    }

    /// Cuts the link both ways: nothing passes, and no new connection comes up.
    pub fn cut(&self) {
        self.refuse(true);
        [Way::There, Way::Back].into_iter().for_each(|way| self.hold(way));
    }

    /// Everything passes again, at once and unchanged; what was held goes.
    pub fn heal(&self) {
        self.refuse(false);
        for way in [Way::There, Way::Back] {
            self.conduct(way, |conduct| {
                *conduct = Conduct { gone: conduct.gone, ..Conduct::default() }
            });
        }
    }

    /// Bytes that went one way, over all connections.
    pub fn gone(&self, way: Way) -> u64 {
        self.shared.ways[way as usize].lock().unwrap().gone
    }

    /// Connections carried so far.
    pub fn carried(&self) -> u64 {
        *self.shared.carried.lock().unwrap()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.ends.store(true, Ordering::Relaxed);
        self.accepts.take().map(JoinHandle::join);
    }
}

/// Two threads for one connection, one for each way.
fn carry(shared: &Arc<Shared>, from: TcpStream, onward: TcpStream) -> Vec<JoinHandle<()>> {
    let born = *shared.breaks.lock().unwrap();
    let broken = Arc::new(AtomicBool::new(false));
    let mut pumps = Vec::new();
    for (way, source, sink) in [(Way::There, &from, &onward), (Way::Back, &onward, &from)] {
        let (Ok(source), Ok(sink)) = (source.try_clone(), sink.try_clone()) else { continue };
        let (shared, broken) = (shared.clone(), broken.clone());
        pumps.push(thread::spawn(move || {
            let stop = || {
                shared.ends.load(Ordering::Relaxed)
                    || broken.load(Ordering::Relaxed)
                    || *shared.breaks.lock().unwrap() != born
            };
            let whole = pump(&shared.ways[way as usize], source, &sink, stop);
            if !whole {
                broken.store(true, Ordering::Relaxed);
                crate::socket_reset(sink);
            }
        }));
    }
    pumps
}

/// Carries one way until its end, which it passes on; false if the connection broke.
fn pump(
    way: &Mutex<Conduct>,
    mut source: TcpStream,
    mut sink: &TcpStream,
    stop: impl Fn() -> bool,
) -> bool {
    let mut waiting: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let (mut held_bytes, mut ended, mut buffer) = (0, false, vec![0; 16 << 10]);
    source.set_nonblocking(false).expect("a socket that blocks");
    source.set_read_timeout(Some(LOOK)).expect("a time-out");
    loop {
        if stop() {
            return false;
        }
        if !ended && held_bytes < BUFFER {
            match source.read(&mut buffer) {
                Ok(0) => ended = true,
                Ok(n) => {
                    held_bytes += n;
                    waiting.push_back((Instant::now(), buffer[..n].to_vec()));
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        } else {
            thread::sleep(LOOK);
        }
        while let Some((came, bytes)) = waiting.front_mut() {
            let mut conduct = way.lock().unwrap();
            if conduct.held || came.elapsed() < conduct.delay {
                break;
            }
            if let Some(left) = conduct.garble_after {
                match bytes.get_mut(left as usize) {
                    Some(byte) => {
                        *byte ^= 0xff;
                        conduct.garble_after = None;
                    }
                    None => conduct.garble_after = Some(left - bytes.len() as u64),
                }
            }
            let goes =
                conduct.break_after.map_or(bytes.len(), |left| bytes.len().min(left as usize));
            let breaks = conduct.break_after == Some(goes as u64);
            conduct.break_after = conduct.break_after.map(|left| left - goes as u64);
            if breaks {
                conduct.break_after = None;
            }
            conduct.gone += goes as u64;
            drop(conduct);
            if sink.write_all(&bytes[..goes]).is_err() || breaks {
                return false;
            }
            held_bytes -= bytes.len();
            waiting.pop_front();
        }
        if ended && waiting.is_empty() {
            return sink.shutdown(std::net::Shutdown::Write).is_ok();
        }
    }
}
