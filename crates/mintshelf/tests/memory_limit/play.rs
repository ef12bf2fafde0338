//! Plays a crowd against a process, with sound clients beside it.

use crate::limits::{Limits, LIMITS, PROGRAM_MB};
use crate::proxies::{start_daemon, start_sidecar, Proxy};
use mintshelf_test_support::{connect, request, Crowd, CrowdPlan, Message};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which a crowd stays.
const CROWD_TIME: Duration = Duration::from_millis(2_500);
/// Held by the crowd that is played: crowds beside each other would measure each other.
static ONE_CROWD: Mutex<()> = Mutex::new(());

/// Waits until no other test plays a crowd.
pub(crate) fn lock_crowds() -> MutexGuard<'static, ()> {
    ONE_CROWD.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the sound clients beside a crowd saw.
#[derive(Debug, Default)]
pub(crate) struct SoundClients {
    served: AtomicUsize,
    rejected: AtomicUsize,
    unanswered: AtomicUsize,
    longest_wait_ms: AtomicU64,
}

impl SoundClients {
    /// Sends requests one after another, each on a new connection, for as long as the crowd stays.
    fn run(&self, address: SocketAddr, name: usize) {
        let started_at = Instant::now();
        let mut number = 0;
        while started_at.elapsed() < CROWD_TIME {
            number += 1;
            let sent_at = Instant::now();
            let response = send_sound(address, &request("safe", &format!("sound-{name}-{number}")));
            let counter = match response.map(|response| response.status()) {
                Some(200) => &self.served,
                Some(_) => &self.rejected,
                None => &self.unanswered,
            };
            counter.fetch_add(1, Ordering::Relaxed);
            let wait_ms = u64::try_from(sent_at.elapsed().as_millis()).unwrap();
            self.longest_wait_ms.fetch_max(wait_ms, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Sends a request on a new connection; `None` if the connection ends without a response.
pub(crate) fn send_sound(address: SocketAddr, request: &[u8]) -> Option<Message> {
    let mut stream: TcpStream = connect(address)?;
    stream.write_all(request).ok()?;
    Message::read(&mut stream)
}

pub(crate) fn megabytes(bytes: usize) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}

/// Plays a crowd with a few sound clients beside it. The process must stay below its memory limit,
/// and the sound clients must be served in time.
pub(crate) fn play(proxy: &impl Proxy, limits: Limits, plan: CrowdPlan) -> Arc<SoundClients> {
    let address = proxy.listen_address();
    let sound = Arc::new(SoundClients::default());
    let crowd = Crowd::start(address, plan);
    let threads: Vec<_> = (0..5)
        .map(|name| {
            let sound = sound.clone();
            thread::spawn(move || sound.run(address, name))
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let mut peak_mb = megabytes(proxy.peak_memory());
    if cfg!(debug_assertions) {
        // The code of an unoptimized program is larger than that of the one that is delivered.
        peak_mb = peak_mb - megabytes(proxy.memory("RssFile:")) + PROGRAM_MB;
    }
    eprintln!("{limits:?}: peak {peak_mb:.1} MB, {} connections, {sound:?}", crowd.connections());
    drop(crowd);
    assert!(peak_mb < limits.memory_mb as f64, "{limits:?}: peak {peak_mb:.1} MB");
    sound
}

/// Plays a crowd against the platform's sidecar with each of the limits, and against the daemon with
/// the first of them.
pub(crate) fn play_all(servers: &[SocketAddr], plan: &CrowdPlan, max_wait: Duration) {
    let _one_crowd = lock_crowds();
    for limits in LIMITS {
        let (_discovery, sidecar) = start_sidecar(servers, limits);
        let sound = play(&sidecar, limits, plan.clone());
        assert_eq!(sound.unanswered.load(Ordering::Relaxed), 0, "{limits:?}: {sound:?}");
        let longest_wait = Duration::from_millis(sound.longest_wait_ms.load(Ordering::Relaxed));
        assert!(longest_wait <= max_wait, "{limits:?}: {sound:?}");
        assert!(sound.served.load(Ordering::Relaxed) > 0, "{limits:?}: {sound:?}");
    }
    let daemon = start_daemon(servers, LIMITS[0]);
    play(&daemon, LIMITS[0], plan.clone());
}
