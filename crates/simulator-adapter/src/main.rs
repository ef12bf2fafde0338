//! Hosts instances of the decision module on the line protocol: standard
//! input to standard output, one reply for each batch.

use mintshelf_simulator_adapter::host::Host;
use std::io::{self, BufRead, BufReader, Write};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        let read =
            input.read_until(b'\n', &mut bytes).map_err(|e| format!("standard input: {e}"))?;
        if read == 0 {
            return host.finish().map_err(|e| e.to_string());
        }
        let end = bytes.strip_suffix(b"\n").map_or(bytes.len(), <[u8]>::len);
        let text = std::str::from_utf8(&bytes[..end])
            .map_err(|e| format!("line {}: text: {e}", host.lines() + 1))?;
        if host.line(text).map_err(|e| e.to_string())? {
            output
                .write_all(host.reply().as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("standard output: {e}"))?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("mintshelf-simulator-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}
