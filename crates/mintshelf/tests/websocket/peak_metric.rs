//! The peak of a metric over a time.

use mintshelf_test_support::metric;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Samples a metric from its start until it is dropped.
pub struct PeakMetric {
    peak: Arc<Mutex<f64>>,
    stopped: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl PeakMetric {
    pub fn start(admin: SocketAddr, name: &'static str) -> Self {
        let peak = Arc::new(Mutex::new(0.0));
        let stopped = Arc::new(AtomicBool::new(false));
        let (thread_peak, is_stopped) = (peak.clone(), stopped.clone());
        let thread = thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                let value = metric(admin, name);
                let mut peak = thread_peak.lock().unwrap();
                *peak = value.max(*peak);
                drop(peak);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        PeakMetric { peak, stopped, thread: Some(thread) }
    }

    /// The highest value so far.
    pub fn get(&self) -> f64 {
        *self.peak.lock().unwrap()
    }
}

impl Drop for PeakMetric {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        let ended = self.thread.take().map(|thread| thread.join().is_ok());
        assert!(thread::panicking() || ended == Some(true));
    }
}
