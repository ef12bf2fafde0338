//! What all cases share: the record, processes, free ports, temporary files.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;

/// The request of `prctl` that ends a process together with the thread that started it.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(request: i32, argument: usize, ...) -> i32;
}

/// Sends a signal to one process that this case started.
pub fn signal(pid: u32, number: i32) -> bool {
    let Ok(pid) = i32::try_from(pid) else { return false };
    // SAFETY: kill has no memory effects.
    pid > 1 && unsafe { kill(pid, number) == 0 }
}

/// One run of a case.
pub struct Run {
    started: Instant,
    record: Mutex<File>,
    /// Whether the disruption happens.
    pub trouble: bool,
    pub temp: PathBuf,
}

impl Run {
    pub fn new(folder: &Path) -> std::io::Result<Arc<Self>> {
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let temp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&temp)?;
        let record = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Arc::new(Run { started: Instant::now(), record, trouble, temp }))
    }

    pub fn ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    pub fn log(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        print!("{line}");
        if let Ok(mut file) = self.record.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.temp.join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.file(name);
        // Renamed into place, so that nobody reads a part of it.
        let next = self.file(&format!("{name}.next"));
        std::fs::write(&next, text).expect("temporary file");
        std::fs::rename(&next, &path).expect("temporary file");
        path
    }

    /// Starts a command of the deploy file, `exec target/release/...`, from the root.
    pub fn start(&self, name: &str, command: &str, variables: &[(&str, String)]) -> Process {
        let output = File::create(self.file(&format!("{name}.log"))).expect("log file");
        let errors = output.try_clone().expect("log file");
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", command]).stdin(Stdio::null()).stdout(output).stderr(errors);
        shell.envs(variables.iter().map(|(name, value)| (name, value)));
        // If this case is ended from outside, so is what it started.
        // SAFETY: prctl is safe to call between fork and exec.
        unsafe {
            shell.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL as usize) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let child = shell.spawn().expect("process");
        self.log(format!("start {name} (process {}): {command}", child.id()));
        Process { child }
    }

    pub fn output_of(&self, name: &str) -> String {
        std::fs::read_to_string(self.file(&format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.temp);
    }
}

/// A process that this case started; ended when dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, number: i32) {
        signal(self.pid(), number);
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a free loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().expect("free port")
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    condition()
}

pub fn listens(address: SocketAddr) -> bool {
    TcpStream::connect_timeout(&address, Duration::from_millis(200)).is_ok()
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
