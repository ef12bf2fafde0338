//! The processes of a bench, and connections through them.

use super::common::{wait_for, Process};
use super::io::{read_head, write};
use super::{BenchError, ADMIN, DAEMON, PROGRAM, ROLE, SERVERS};
use std::process::{Command, Stdio};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Opens a socket at an address.
pub async fn open(to: &str) -> Result<TcpStream, BenchError> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    // In lower case, as the HTTP library of the daemon writes it to servers.
    let request = format!(
        "GET /live HTTP/1.1\r\nHost: {to}\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
         Sec-WebSocket-Version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
    );
    write(&stream, request.as_bytes()).await?;
    let response = timeout(Duration::from_secs(20), read_head(&stream)).await??;
    match response.starts_with(b"HTTP/1.1 101") {
        true => Ok(stream),
        false => Err(String::from_utf8_lossy(&response).into_owned().into()),
    }
}

/// Starts a process, which has `role` in its environment.
pub fn child(program: &str, args: &[&str], role: &str) -> Result<Process, BenchError> {
    let mut command = Command::new(program);
    Ok(Process(command.args(args).env(ROLE, role).stderr(Stdio::null()).spawn()?))
}

/// Sends a signal by its name.
pub fn signal(process: &Process, name: &str) {
    let _ = Command::new("kill").args(["-s", name, &process.0.id().to_string()]).status();
}

/// Servers and a daemon; they end when this is dropped.
pub struct Deployment {
    pub servers: Vec<Process>,
    pub daemon: Process,
    file: std::path::PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Starts the servers and a daemon in front of them.
pub fn start(name: &str, class: &str, websocket: &str) -> Result<Deployment, BenchError> {
    let own_program = std::env::current_exe()?;
    let own_program = own_program.to_str().ok_or("the program's path")?;
    let servers = SERVERS.map(|at| child(own_program, &[at], "server"));
    let servers = servers.into_iter().collect::<Result<Vec<_>, _>>()?;
    let endpoints = SERVERS.map(|at| format!("\"{at}\"")).join(", ");
    let text = format!(
        "listen = \"{DAEMON}\"\n[admin]\naddress = \"{ADMIN}\"\n\
         [limits]\nsockets = 40000\nmemory = \"512MiB\"\nwebsockets = 12000\n\
         [classes.live]\naim = \"400ms\"\ndeadline = \"2s\"\n[classes.live.sockets]\n{class}\n\
         [clusters.c]\nendpoints = [{endpoints}]\n\
         [[routes]]\nclass = \"live\"\ncluster = \"c\"\nwebsocket = {websocket}\n"
    );
    let file = std::env::temp_dir().join(format!("mintshelf-{name}-{}.toml", std::process::id()));
    std::fs::write(&file, text)?;
    let path = file.to_str().ok_or("the file's path")?;
    SERVERS.into_iter().for_each(wait_for);
    let daemon = child(PROGRAM, &["run", "--config", path], "")?;
    wait_for(DAEMON);
    Ok(Deployment { servers, daemon, file })
}

/// The sum of a metric of the daemon over all labels.
pub fn metric(name: &str) -> f64 {
    use std::io::{Read, Write};
    let Ok(mut stream) = std::net::TcpStream::connect(ADMIN) else { return 0.0 };
    let _ = stream.write_all(b"GET /-/metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
